package flow

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// dump writes all that a value refers to, also unexported fields and maps, so that two dumps are equal if the states are.
func dump(b *strings.Builder, v reflect.Value, seen map[uintptr]int) {
	switch v.Kind() {
	case reflect.Pointer:
		n, known := seen[v.Pointer()]
		fmt.Fprintf(b, "&%t %d ", v.IsNil(), n)
		if !v.IsNil() && !known {
			seen[v.Pointer()] = len(seen)
			dump(b, v.Elem(), seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			dump(b, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			b.WriteString(v.Type().Field(i).Name + ":")
			dump(b, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(b, "[%d ", v.Len())
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
		fmt.Fprintf(b, "{%t %d ", v.IsNil(), len(keys))
		for _, k := range keys {
			fmt.Fprintf(b, "%v=", k)
			dump(b, v.MapIndex(k), seen)
		}
	case reflect.Func:
		fmt.Fprintf(b, "func %t ", v.IsNil())
	default:
		fmt.Fprintf(b, "%v ", v)
	}
}

func dumpEntry(e *Entry) string {
	var b strings.Builder
	dump(&b, reflect.ValueOf(e), map[uintptr]int{})
	return b.String()
}

// drawnEntry is an entry in a drawn state.
type drawnEntry struct {
	*Entry
	r       *rapid.T
	now     time.Time
	members []facts.Member
}

const drawnCallers = 12

// drawFlow returns the flow of one of a few callers to one of two routes, or to an address without a route.
func (de *drawnEntry) drawFlow() gue.Flow {
	f := flowOf(rapid.IntRange(0, drawnCallers-1).Draw(de.r, "caller"))
	f.Service.Port += uint16(rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2}).Draw(de.r, "port"))
	return f
}

func (de *drawnEntry) drawPlan() *plan.Plan {
	p := &plan.Plan{Version: 3, Routes: []plan.Route{
		{Address: testService, Shares: []plan.Share{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}, Priority: 1},
		{Address: gue.Endpoint{Address: testService.Address, Port: testService.Port + 1}, Shares: []plan.Share{{Service: "s", Weight: 1}}},
	}}
	p.Routes[0].Objective = time.Duration(rapid.SampledFrom([]int{0, 200, 250, 800}).Draw(de.r, "objective")) * time.Millisecond
	p.Routes[0].Deadline = p.Routes[0].Objective * 5
	p.Index()
	return p
}

func (de *drawnEntry) update() {
	evacuations := facts.Evacuations{Unknown: rapid.IntRange(0, 9).Draw(de.r, "unknown") == 0, Active: map[string]bool{}}
	for _, dc := range []string{"a", "b", "c"} {
		evacuations.Active[dc] = rapid.IntRange(0, 5).Draw(de.r, "evacuated") == 0
	}
	de.members = nil
	for i := range rapid.IntRange(0, 24).Draw(de.r, "hosts") {
		m := facts.Member{
			Instance: fmt.Sprint("h", i), Role: facts.RoleAgent, Packets: address(20 + i), State: facts.StateServing,
			Service: rapid.SampledFrom([]string{"s", "s", "s", "t"}).Draw(de.r, "service"), SynTrailer: i%2 == 0,
			DataCentre: rapid.SampledFrom([]string{"a", "a", "b", "c"}).Draw(de.r, "dataCentre"),
			Target:     &facts.Target{ID: fmt.Sprint(i), StartedMs: 1, State: facts.TargetReady, Slots: 2},
		}
		switch rapid.IntRange(0, 9).Draw(de.r, "state") {
		case 0:
			m.State = facts.StateDown
		case 1:
			m.Target.State = facts.TargetDraining
		case 2:
			m.Target.StartedMs = 2
		}
		de.members = append(de.members, m)
	}
	de.Update(de.now, nil, NewDirectoryWithEvacuations(de.members, evacuations))
}

// step changes the state as packets, updates and time do.
func (de *drawnEntry) step() {
	var out Output
	f := de.drawFlow()
	hdr := Header{Source: f.Caller, Destination: f.Service}
	from := address(200)
	switch rapid.IntRange(0, 11).Draw(de.r, "step") {
	case 0:
		de.now = de.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(de.r, "ms")) * time.Millisecond)
		de.Sweep(de.now)
		de.ReleaseHeld(de.now, &out)
		return
	case 1:
		if rapid.IntRange(0, 3).Draw(de.r, "update") == 0 {
			de.update()
		}
		return
	case 2, 3:
		hdr.Length, hdr.Acknowledged = 1, rapid.Uint32Range(1, 3).Draw(de.r, "acknowledged")
	case 4:
		hdr.FIN = true
	case 5, 6, 7, 8:
		if len(de.members) == 0 {
			return
		}
		hdr.SYN = true
		from = rapid.SampledFrom(de.members).Draw(de.r, "from").Packets
		if de.flows != nil && rapid.Bool().Draw(de.r, "holder") {
			if ef, known := de.flows.Peek(f); known && ef.holder != nil && ef.holder.host != nil {
				from = ef.holder.host.Packets
			}
		}
		hdr.Mark.Code = rapid.SampledFrom([]Code{CodeBusy, CodeBusy, CodeBusy, CodeRefused, CodeFull, CodeNotHere}).Draw(de.r, "code")
		hdr.Mark.Value = rapid.SampledFrom([]uint32{0, coldValue, encodeRoom(room{
			busy: rapid.IntRange(0, 6).Draw(de.r, "busy"), slots: 2, serviceTime: 20 * time.Millisecond, routeTime: 90 * time.Millisecond,
		})}).Draw(de.r, "value")
	default:
		hdr.SYN, hdr.Attempt = true, rapid.SampledFrom([]uint32{0, 0, 0, 1, 2}).Draw(de.r, "attempt")
	}
	de.HandlePacket(de.now, from, encode(hdr), &out)
}

func drawEntry(r *rapid.T) *drawnEntry {
	policies := []placement.FlowPolicy{placement.LeastWait{}, placement.LeastExpectedWait{}, placement.HashFlowPolicy{}, &placement.RoundRobin{}}
	policy := policies[rapid.IntRange(0, len(policies)-1).Draw(r, "policy")]
	de := &drawnEntry{Entry: &Entry{Self: address(1), DataCentre: "a", Codec: testCodec{}, Policy: policy}, r: r, now: time.Unix(1000, 0)}
	if rapid.IntRange(0, 9).Draw(r, "plan") > 0 {
		de.Update(de.now, de.drawPlan(), nil)
	}
	if rapid.IntRange(0, 9).Draw(r, "directory") > 0 {
		de.update()
	}
	for range rapid.IntRange(0, 60).Draw(r, "steps") {
		de.step()
	}
	return de
}

// Guards against an explanation that changes what it explains: host loads, decaying sums, the order of the flow table, the
// policy's state or buffers.
func TestWhereChangesNothing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		de := drawEntry(r)
		before := dumpEntry(de.Entry)
		for range 3 {
			de.Where(de.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "later"))*time.Millisecond), de.drawFlow())
		}
		require.Equal(r, before, dumpEntry(de.Entry))
	})
}

// Guards against an explanation by other code than that which decides: the next SYN of the caller, and the same SYN each
// time that a host returns it, must go to the hosts that were named, in the same way, and end as was said.
func TestNextSYNGoesWhereItWasSaidTo(t *testing.T) {
	events := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		de := drawEntry(r)
		f := de.drawFlow()
		w := de.Where(de.now, f)
		from, mark := address(200), Mark{}
		for i, want := range w.Steps {
			var out Output
			de.HandlePacket(de.now, from, encode(Header{Source: f.Caller, Destination: f.Service, SYN: true, Mark: mark}), &out)
			events[want.Event+fmt.Sprint(want.Action)+want.Reason+" "+want.Rule]++
			switch want.Event {
			case WhereHeld:
				require.Contains(r, de.held, f)
				require.Empty(r, out.Decisions)
			case WhereForwarded:
				require.Equal(r, want.Instance, de.directory.HostAt(out.Packets[0].To.Addr()).Instance)
				require.Empty(r, out.Decisions)
			default:
				requireDecided(r, de, want, &out)
			}
			if want.Instance == "" {
				require.Equal(r, i, len(w.Steps)-1)
				break
			}
			hl := de.hostLoads[want.Instance]
			from, mark = hl.host.Packets, hl.assumedBusy()
		}
	})
	t.Log(events)
}

// Guards against an explanation that ignores that a new flow displaces the oldest one of a full table, which changes the load
// of a host.
func TestWhereWithFullFlowTable(t *testing.T) {
	tn := newTestNetwork(t, 1, 4)
	e := tn.entries[0]
	for n := range maxFlows + 500 {
		var out Output
		f := gue.Flow{Caller: gue.Endpoint{Address: [4]byte{100, 65, byte(n >> 8), byte(n)}, Port: uint16(1 + n>>16)}, Service: testService}
		if n >= maxFlows {
			out.Decisions = append(out.Decisions, Decision{Instance: e.Where(tn.now, f).Steps[0].Instance})
		}
		e.HandlePacket(tn.now, address(200), encode(Header{Source: f.Caller, Destination: f.Service, SYN: true}), &out)
		require.Equal(t, out.Decisions[0].Instance, out.Decisions[len(out.Decisions)-1].Instance, "flow %d", n)
	}
}

// requireDecided fails unless the entry has made the decision that the step names.
func requireDecided(r *rapid.T, de *drawnEntry, want WhereStep, out *Output) {
	if want.Rule == RuleHolderLeft || want.Rule == RuleHoldEnded {
		require.Equal(r, want.Reason, out.DropReason.String())
		require.Empty(r, out.Packets)
		return
	}
	require.Len(r, out.Decisions, 1)
	d := out.Decisions[0]
	require.Equal(r, want.Action, d.Action)
	require.Equal(r, want.Instance, d.Instance)
	if want.Instance == "" {
		require.Equal(r, want.Reason, d.Reason)
		return
	}
	packet, _ := testCodec{}.SplitTrailer(out.Packets[0].Packet)
	require.Equal(r, want.Force, decode(packet).Mark.Code == CodeForce)
	require.Equal(r, want.DataCentre, de.directory.HostAt(out.Packets[0].To.Addr()).DataCentre)
}
