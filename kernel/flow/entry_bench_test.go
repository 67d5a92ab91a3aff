package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// benchHosts and benchFlows are those of a large installation's entry.
const (
	benchHosts = 34
	benchFlows = 4000
)

func benchFlow(n int) gue.Flow {
	f := gue.Flow{Service: testService}
	binary.BigEndian.PutUint32(f.Caller.Address[:], 100<<24|uint32(n))
	f.Caller.Port = 1024
	return f
}

func benchEntry(b *testing.B) (*Entry, []facts.Member) {
	var members []facts.Member
	for i := range benchHosts {
		members = append(members, facts.Member{
			Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, Service: "s", State: facts.StateServing,
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), testPort),
			Target:  &facts.Target{ID: fmt.Sprintf("t-%d", i), StartedMs: 1, State: facts.TargetReady, Slots: 3},
		})
	}
	p := &plan.Plan{Version: 1, Routes: []plan.Route{{Address: testService, Shares: []plan.Share{{Service: "s", Weight: 1}}}}}
	p.Index()
	e := &Entry{Self: address(1), Codec: testCodec{}, Policy: placement.LeastWait{}}
	e.Use(time.Unix(1000, 0), p, NewDirectory(members))
	b.ReportAllocs()
	return e, members
}

// packetOf is a packet from the flow's caller.
func packetOf(f gue.Flow, v View) []byte {
	v.Source, v.Destination = f.Caller, f.Service
	return encode(v)
}

// BenchmarkPlace opens flows.
func BenchmarkPlace(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for i := 0; b.Loop(); i++ {
		out.Clear()
		e.Step(now, netip.AddrPort{}, packetOf(benchFlow(i%benchFlows), View{Opening: true}), &out)
	}
}

// BenchmarkCarry forwards packets of known flows.
func BenchmarkCarry(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for n := range benchFlows {
		out.Clear()
		e.Step(now, netip.AddrPort{}, packetOf(benchFlow(n), View{Opening: true}), &out)
	}
	for i := 0; b.Loop(); i++ {
		out.Clear()
		e.Step(now, netip.AddrPort{}, packetOf(benchFlow(i%benchFlows), View{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
	}
}

// BenchmarkSearch finds that nobody holds a flow.
func BenchmarkSearch(b *testing.B) {
	e, members := benchEntry(b)
	now := time.Unix(2000, 0)
	digest := uint32(e.directory.Group("s").Digest)
	var out Output
	for i := 0; b.Loop(); i++ {
		f := benchFlow(i % benchFlows)
		out.Clear()
		e.Step(now, netip.AddrPort{}, packetOf(f, View{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
		for _, m := range members {
			p := packetOf(f, View{Length: 1, Sequence: 1, Acknowledged: 1})
			e.Codec.SetMark(p, Mark{Code: CodeNotHere, Value: digest})
			e.Step(now, m.Packets, p, &out)
		}
	}
}

// BenchmarkSweep looks at every flow.
func BenchmarkSweep(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for n := range benchFlows {
		out.Clear()
		e.Step(now, netip.AddrPort{}, packetOf(benchFlow(n), View{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
	}
	for b.Loop() {
		e.Sweep(now)
	}
}
