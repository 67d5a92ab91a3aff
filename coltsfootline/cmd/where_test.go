package cmd

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// headerCodec gives an entry prepared headers in place of packets.
type headerCodec struct {
	flow.Codec
	header flow.Header
}

func (c *headerCodec) Parse([]byte) (flow.Header, gue.Reason)            { return c.header, gue.ReasonNone }
func (c *headerCodec) SetMark([]byte, flow.Mark)                         {}
func (c *headerCodec) HeaderLength() int                                 { return 0 }
func (c *headerCodec) EncodeReset(b []byte, _ gue.Flow, _ uint32) []byte { return b }

// shop is an entry in the data centre north, with a route to a service of six hosts there and three in south.
type shop struct {
	entry *flow.Entry
	codec *headerCodec
	now   time.Time
	flow  gue.Flow
	hosts []facts.Member
}

func newShop() *shop {
	s := &shop{codec: &headerCodec{}, now: time.Unix(1000, 0), flow: gue.Flow{
		Caller:  gue.Endpoint{Address: [4]byte{100, 64, 0, 7}, Port: 40001},
		Service: gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443},
	}}
	s.entry = &flow.Entry{Self: address(1), DataCentre: "north", Codec: s.codec, Policy: placement.LeastExpectedWait{}, Contention: true}
	for i := range 9 {
		m := facts.Member{
			Instance: fmt.Sprint("shop-", i+1), Role: facts.RoleAgent, Service: "shop", DataCentre: "north", State: facts.StateServing,
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(20 + i)}), 9000),
			Target:  &facts.Target{ID: fmt.Sprint(i), StartedMs: 1, State: facts.TargetReady, Slots: 2},
		}
		if i >= 6 {
			m.DataCentre = "south"
		}
		s.hosts = append(s.hosts, m)
	}
	s.setPlan(7, plan.Route{
		Name: "checkout", Address: s.flow.Service, Shares: []plan.Share{{Service: "shop", Weight: 1}}, Priority: 1,
		Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	})
	s.evacuate()
	return s
}

func (s *shop) setPlan(version uint64, routes ...plan.Route) {
	p := &plan.Plan{Version: version, Routes: routes}
	p.Index()
	s.entry.NewestPlan = version
	s.entry.Update(s.now, p, nil)
}

func (s *shop) evacuate(dataCentres ...string) {
	e := facts.Evacuations{Active: map[string]bool{}}
	for _, dc := range dataCentres {
		e.Active[dc] = true
	}
	s.entry.Update(s.now, nil, flow.NewDirectoryWithEvacuations(s.hosts, e))
}

// receive lets the entry receive a packet of a caller, or one that a host returned.
func (s *shop) receive(from netip.AddrPort, port uint16, hdr flow.Header) {
	hdr.Source, hdr.Destination = s.flow.Caller, s.flow.Service
	hdr.Source.Port = port
	s.codec.header = hdr
	s.entry.HandlePacket(s.now, from, nil, &flow.Output{})
}

// fullRoom reports 4 flows on 2 slots, with a mean service time of 20 ms, and 90 ms for the route.
const fullRoom = 4<<24 | 2<<16 | 102<<8 | 137

func (s *shop) crowd(dataCentre string) {
	for i, m := range s.hosts {
		if m.DataCentre == dataCentre {
			s.receive(m.Packets, uint16(50000+i), flow.Header{SYN: true, Mark: flow.Mark{Code: flow.CodeBusy, Value: fullRoom}})
		}
	}
	s.now = s.now.Add(5 * time.Millisecond)
}

// where answers as an entry does.
func (s *shop) where(r dataplane.WhereRequest) flow.Where {
	w := s.entry.Where(s.now, gue.Flow{Caller: gue.EndpointOf(r.Caller), Service: gue.EndpointOf(r.Route)})
	w.Instance, w.Policy = "edge-1", "leastExpectedWait"
	dataplane.NameSteps(w.Steps)
	return w
}

// Guards against a text that misses what an operator asks for, and against worked cases of the page that the command no
// longer prints.
func TestWhere(t *testing.T) {
	page, err := os.ReadFile("../../docs/WHERE.md")
	require.NoError(t, err)
	for name, prepare := range map[string]func(s *shop){
		"crowded":    func(s *shop) { s.crowd("north") },
		"overloaded": func(s *shop) { s.crowd("north"); s.crowd("south") },
		"evacuated":  func(s *shop) { s.evacuate("north") },
		"oneHost":    func(s *shop) { s.hosts = s.hosts[:1]; s.evacuate() },
		"nowhere":    func(s *shop) { s.evacuate("north", "south") },
		"routeGone":  func(s *shop) { s.remember(); s.setPlan(8) },
		"remembered": func(s *shop) { s.remember() },
		"noPlan": func(s *shop) {
			s.entry = &flow.Entry{DataCentre: "north", NewestPlan: 7, Codec: s.codec, Policy: placement.LeastExpectedWait{}, Contention: true}
		},
		"draining":    func(s *shop) { s.drain() },
		"routeAbsent": func(s *shop) { s.flow.Service.Port = 80 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newShop()
			prepare(s)
			f := newFakeInstances(t)
			f.where = s.where
			arguments := []string{"where", "--caller", s.flow.Caller.String(), "--route", s.flow.Service.String()}
			text, code := f.run(arguments...)
			require.Zero(t, code)
			golden.Check(t, "testdata/where/"+name+".golden", text)
			if name == "crowded" || name == "evacuated" || name == "routeGone" {
				require.Contains(t, string(page), "$ coltsfootline "+strings.Join(arguments, " ")+"\n"+text)
			}
			if name == "crowded" {
				json, code := f.run(append(arguments, "--json")...)
				require.Zero(t, code)
				golden.Check(t, "testdata/where/crowdedJson.golden", json)
			}
		})
	}
}

// remember opens the flow and lets the caller acknowledge, so that the entry has a hint for it.
func (s *shop) remember() {
	s.receive(address(2), s.flow.Caller.Port, flow.Header{SYN: true})
	s.receive(address(2), s.flow.Caller.Port, flow.Header{Length: 10, Acknowledged: 1})
	s.receive(address(2), s.flow.Caller.Port, flow.Header{Acknowledged: 2})
	s.now = s.now.Add(30 * time.Millisecond)
}

// drain makes all targets drain, and marks a host as down.
func (s *shop) drain() {
	for _, m := range s.hosts {
		m.Target.State = facts.TargetDraining
	}
	s.hosts[0].State = facts.StateDown
	s.evacuate()
}
