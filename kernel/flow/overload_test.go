package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	callerDelay = 3 * time.Millisecond
	localDelay  = 250 * time.Microsecond
	remoteDelay = 1400 * time.Microsecond
	modelSlots  = 2
	modelQueue  = 8
	modelAnswer = 1000
	giveUpAfter = 1400 * time.Millisecond
)

// kind is a kind of request. value is what an answer in time is worth.
type kind struct {
	route     plan.Route
	deadline  time.Duration
	work      time.Duration
	share     float64
	value     float64
	lateValue float64
	// once is set if a request of which a target may have run a part is not tried again.
	once bool
}

// kindResult counts the requests of one kind.
type kindResult struct {
	asked, inTime, late, failed, resets int
}

// model runs entries, agents, targets and callers with delays. It is deterministic for a seed.
type model struct {
	now    time.Time
	end    time.Time
	random *rand.Rand
	// arrivals is separate, so that two runs of a seed have the same requests.
	arrivals     *rand.Rand
	events       eventQueue
	sequence     int
	kinds        []kind
	results      []kindResult
	entries      []*Entry
	hosts        map[netip.Addr]*modelHost
	dataCentre   map[netip.Addr]string
	callers      map[gue.Endpoint]*modelRequest
	callerNumber int
	// work is how long a target processes the request of a caller.
	work     map[gue.Endpoint]time.Duration
	onAccept func(entry string, h *modelHost)
	// rate is the number of requests in a second that begin in a data centre.
	rate    func(dataCentre string) float64
	members []facts.Member
	// fault, if not nil, handles a request that has a slot and reports whether it did.
	fault func(h *modelHost, f gue.Flow) bool
	// errors holds the callers whose answer is an error.
	errors map[gue.Endpoint]bool
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelRequest is a request of a caller, which opens up to three flows for it.
type modelRequest struct {
	kind       int
	dataCentre string
	begun      time.Time
	tries      int
	caller     gue.Endpoint
	entry      *Entry
	answered   bool
	work       time.Duration
}

// modelHost is an agent with a target that serves flows in order and bounces SYNs that its queue can't hold.
type modelHost struct {
	agent   *Agent
	address netip.AddrPort
	held    map[gue.Flow]bool
	queue   []gue.Flow
	serving int
	dead    bool
}

// newModel returns a model with the given numbers of entries and hosts in each data centre.
func newModel(seed uint64, kinds []kind, dataCentres map[string][2]int) *model {
	m := &model{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), kinds: kinds, results: make([]kindResult, len(kinds)),
		hosts: map[netip.Addr]*modelHost{}, dataCentre: map[netip.Addr]string{}, callers: map[gue.Endpoint]*modelRequest{}, work: map[gue.Endpoint]time.Duration{},
	}
	p := &plan.Plan{Version: 1}
	for _, k := range kinds {
		p.Routes = append(p.Routes, k.route)
	}
	p.Index()
	var members []facts.Member
	names := make([]string, 0, len(dataCentres))
	for name := range dataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	for d, name := range names {
		for i := range dataCentres[name][0] {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), testPort)
			m.dataCentre[a.Addr()] = name
			m.entries = append(m.entries, &Entry{Self: a, DataCentre: name, Codec: testCodec{}, Policy: placement.LeastExpectedWait{}, Contention: true})
		}
		for i := range dataCentres[name][1] {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 1, byte(i)}), testPort)
			t := facts.Target{ID: a.String(), StartedMs: 1, State: facts.TargetReady, Slots: modelSlots}
			h := &modelHost{address: a, held: map[gue.Flow]bool{}, agent: &Agent{
				Contention: true,
				Self:       a, Service: "s", Target: netip.AddrPortFrom(a.Addr(), testPort+1), Codec: testCodec{},
			}}
			h.agent.SetPlan(p)
			h.agent.UpdateTarget(m.now, t, true, &Output{})
			m.hosts[a.Addr()], m.dataCentre[a.Addr()] = h, name
			members = append(members, facts.Member{
				Instance: name + "-" + strconv.Itoa(i), Role: facts.RoleAgent, Service: "s", DataCentre: name, Packets: a, State: facts.StateServing, Target: &t,
			})
		}
	}
	m.members, m.errors = members, map[gue.Endpoint]bool{}
	for _, e := range m.entries {
		e.Update(m.now, p, NewDirectory(members))
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now.Add(d), sequence: m.sequence, do: do})
}

// run lets requests begin for the given time and then ends the last of them.
func (m *model) run(d time.Duration) {
	m.end = m.now.Add(d)
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		seen := map[string]bool{}
		for _, e := range m.entries {
			if !seen[e.DataCentre] && !yield(e.DataCentre) {
				return
			}
			seen[e.DataCentre] = true
		}
	}) {
		m.arrive(name)
	}
	m.sweep()
	for m.events.Len() > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.do()
	}
}

func (m *model) sweep() {
	for _, e := range m.entries {
		e.Sweep(m.now)
	}
	for _, h := range m.hosts {
		h.agent.Sweep(m.now, &Output{})
	}
	if m.now.Before(m.end.Add(5 * time.Second)) {
		m.after(100*time.Millisecond, m.sweep)
	}
}

// arrive begins a request of a random kind and plans the next arrival.
func (m *model) arrive(dataCentre string) {
	if m.now.After(m.end) {
		return
	}
	share, k := m.arrivals.Float64(), 0
	for share -= m.kinds[0].share; share >= 0 && k < len(m.kinds)-1; share -= m.kinds[k].share {
		k++
	}
	m.results[k].asked++
	// The sum of four exponential times has half its mean as standard deviation.
	work := 0.0
	for range 4 {
		work += m.arrivals.ExpFloat64() / 4
	}
	m.open(&modelRequest{kind: k, dataCentre: dataCentre, begun: m.now, work: time.Duration(work * float64(m.kinds[k].work))})
	m.after(time.Duration(m.arrivals.ExpFloat64()/m.rate(dataCentre)*float64(time.Second)), func() { m.arrive(dataCentre) })
}

// open opens a flow for a request, or ends the request if it has had its tries.
func (m *model) open(r *modelRequest) {
	if r.tries == 3 || m.now.Sub(r.begun) > m.kinds[r.kind].deadline {
		m.results[r.kind].failed++
		return
	}
	r.tries++
	r.answered = false
	m.callerNumber++
	r.caller = gue.Endpoint{Address: [4]byte{100, byte(m.callerNumber >> 16), byte(m.callerNumber >> 8), byte(m.callerNumber)}, Port: 1024}
	var near []*Entry
	for _, e := range m.entries {
		if e.DataCentre == r.dataCentre {
			near = append(near, e)
		}
	}
	r.entry = near[m.random.IntN(len(near))]
	m.callers[r.caller], m.work[r.caller] = r, r.work
	c := r.caller
	for attempt, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		m.after(at, func() {
			if m.callers[c] == r && !r.answered {
				m.fromCaller(r, Header{SYN: true, Attempt: uint32(attempt)})
			}
		})
	}
	m.after(giveUpAfter, func() {
		if m.callers[c] == r && !r.answered {
			delete(m.callers, c)
			m.open(r)
		}
	})
}

func (m *model) fromCaller(r *modelRequest, hdr Header) {
	hdr.Source, hdr.Destination = r.caller, m.kinds[r.kind].route.Address
	e, packet := r.entry, encode(hdr)
	m.after(callerDelay, func() { m.toEntry(e, netip.AddrPort{}, packet) })
}

func (m *model) toEntry(e *Entry, from netip.AddrPort, packet []byte) {
	var out Output
	e.HandlePacket(m.now, from, packet, &out)
	m.send(e.Self, &out)
}

// send delivers the packets of a step.
func (m *model) send(from netip.AddrPort, out *Output) {
	for _, s := range out.Packets {
		packet, to := slices.Clone(s.Packet), s.To
		delay := localDelay
		if m.dataCentre[from.Addr()] != m.dataCentre[to.Addr()] {
			delay = remoteDelay
		}
		h := m.hosts[to.Addr()]
		switch {
		case h != nil && to == h.address:
			m.after(delay, func() {
				var out Output
				h.agent.HandleEntryPacket(m.now, from, packet, &out)
				m.send(h.address, &out)
			})
		case h != nil:
			m.toTarget(h, packet)
		case m.dataCentre[to.Addr()] != "":
			i := slices.IndexFunc(m.entries, func(e *Entry) bool { return e.Self == to })
			m.after(delay, func() { m.toEntry(m.entries[i], from, packet) })
		default:
			m.after(callerDelay, func() { m.toCaller(decode(packet)) })
		}
	}
}

// toTarget gives the target of a host a packet of a caller.
func (m *model) toTarget(h *modelHost, packet []byte) {
	hdr := decode(packet)
	f := hdr.FlowFromCaller()
	if h.dead {
		return
	}
	switch {
	case hdr.SYN && !h.held[f] && len(h.held) >= modelSlots+modelQueue:
		packet[12] |= 16
		packet[25] = 0
		m.fromTarget(h, packet)
	case hdr.SYN:
		if !h.held[f] && m.onAccept != nil {
			b := [4]byte{}
			copy(b[:], packet[26:30])
			m.onAccept(m.dataCentre[netip.AddrFrom4(b)], h)
		}
		h.held[f] = true
		m.fromTarget(h, encode(Header{Source: hdr.Destination, Destination: hdr.Source, SYNACK: true, Sequence: 1}))
	case hdr.Length > 0 && h.held[f]:
		h.queue = append(h.queue, f)
		m.serve(h)
	}
}

// serve starts the requests that a target has slots for.
func (m *model) serve(h *modelHost) {
	for h.serving < modelSlots && len(h.queue) > 0 {
		f := h.queue[0]
		h.queue = h.queue[1:]
		h.serving++
		if m.fault == nil || !m.fault(h, f) {
			m.answerAfter(h, f, m.work[f.Caller], modelAnswer, false)
		}
	}
}

func (m *model) fromTarget(h *modelHost, packet []byte) {
	var out Output
	h.agent.HandleTargetPacket(m.now, packet, &out)
	m.send(h.address, &out)
}

// toCaller gives a caller a packet.
func (m *model) toCaller(hdr Header) {
	r := m.callers[hdr.Destination]
	if r == nil {
		return
	}
	result, k := &m.results[r.kind], m.kinds[r.kind]
	switch {
	case hdr.RST:
		delete(m.callers, hdr.Destination)
		result.resets++
		m.tryAgain(r)
	case hdr.SYNACK:
		if !r.answered {
			r.answered = true
			m.fromCaller(r, Header{Acknowledged: hdr.Sequence + 1, Length: 1, Sequence: 1})
		}
	case hdr.Length > 0:
		delete(m.callers, hdr.Destination)
		m.fromCaller(r, Header{Acknowledged: hdr.Sequence + 1, FIN: true, Sequence: 2})
		if m.errors[hdr.Destination] {
			m.tryAgain(r)
			return
		}
		switch elapsed := m.now.Sub(r.begun); {
		case elapsed <= k.route.Objective:
			result.inTime++
		case elapsed <= k.deadline:
			result.late++
		default:
			result.failed++
		}
	}
}

// value returns what the answers are worth, as a share of what answers in time to all requests would be.
func (m *model) value() float64 {
	got, all := 0.0, 0.0
	for i, r := range m.results {
		got += m.kinds[i].value * (float64(r.inTime) + m.kinds[i].lateValue*float64(r.late))
		all += m.kinds[i].value * float64(r.asked)
	}
	return got / all
}

// table formats the results by kind, in percent of the requests.
func (m *model) table() string {
	text := ""
	for i, r := range m.results {
		percent := func(n int) float64 { return 100 * float64(n) / float64(max(r.asked, 1)) }
		text += fmt.Sprintf("  %-9s %5d asked, in time %5.1f, late %5.1f, failed %5.1f, resets %5.1f\n", m.kinds[i].route.Name, r.asked,
			percent(r.inTime), percent(r.late), percent(r.failed), percent(r.resets))
	}
	return text
}
