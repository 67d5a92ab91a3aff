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

// benchHosts and benchFlows are the numbers of an entry in a large installation.
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
	e.Update(time.Unix(1000, 0), p, NewDirectory(members))
	b.ReportAllocs()
	return e, members
}

// callerPacket returns a packet from the flow's caller.
func callerPacket(f gue.Flow, hdr Header) []byte {
	hdr.Source, hdr.Destination = f.Caller, f.Service
	return encode(hdr)
}

// BenchmarkPlace measures placing new flows.
func BenchmarkPlace(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for i := 0; b.Loop(); i++ {
		out.Clear()
		e.HandlePacket(now, netip.AddrPort{}, callerPacket(benchFlow(i%benchFlows), Header{SYN: true}), &out)
	}
}

// BenchmarkForward measures forwarding packets of known flows.
func BenchmarkForward(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for n := range benchFlows {
		out.Clear()
		e.HandlePacket(now, netip.AddrPort{}, callerPacket(benchFlow(n), Header{SYN: true}), &out)
	}
	for i := 0; b.Loop(); i++ {
		out.Clear()
		e.HandlePacket(now, netip.AddrPort{}, callerPacket(benchFlow(i%benchFlows), Header{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
	}
}

// BenchmarkSearch measures searches that all hosts deny.
func BenchmarkSearch(b *testing.B) {
	e, members := benchEntry(b)
	now := time.Unix(2000, 0)
	digest := uint32(e.directory.Group("s").Digest)
	var out Output
	for i := 0; b.Loop(); i++ {
		f := benchFlow(i % benchFlows)
		out.Clear()
		e.HandlePacket(now, netip.AddrPort{}, callerPacket(f, Header{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
		for _, m := range members {
			p := callerPacket(f, Header{Length: 1, Sequence: 1, Acknowledged: 1})
			e.Codec.SetMark(p, Mark{Code: CodeNotHere, Value: digest})
			e.HandlePacket(now, m.Packets, p, &out)
		}
	}
}

// BenchmarkSweep measures a sweep over all flows.
func BenchmarkSweep(b *testing.B) {
	e, _ := benchEntry(b)
	now := time.Unix(2000, 0)
	var out Output
	for n := range benchFlows {
		out.Clear()
		e.HandlePacket(now, netip.AddrPort{}, callerPacket(benchFlow(n), Header{Length: 1, Sequence: 1, Acknowledged: 1}), &out)
	}
	for b.Loop() {
		e.Sweep(now)
	}
}
