package caller

import (
	"encoding/json"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	movedConnections = 2000
	locatedFlows     = 10000
)

func heapAfterCollection() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkSetUp opens connections through the sprayed path; bytes count both ends of each.
func BenchmarkSetUp(b *testing.B) {
	s := newSite(b, 2)
	s.dial()
	before := heapAfterCollection()
	begin := time.Now()
	n := 0
	for b.Loop() {
		s.dial()
		n++
	}
	b.ReportMetric(float64(n)/time.Since(begin).Seconds(), "flows/s")
	b.ReportMetric(float64(heapAfterCollection()-before)/float64(n), "B/flowBothEnds")
}

// BenchmarkMove moves 2,000 idle connections off an agent.
func BenchmarkMove(b *testing.B) {
	s := newSite(b, 2)
	s.setRoute(s.members[:1])
	for range movedConnections {
		s.dial()
	}
	flows := s.agents[0].flows.all()
	record, err := json.Marshal(flows[0].record(time.Now()))
	require.NoError(b, err)
	from := 0
	for b.Loop() {
		for moved := 0; moved < movedConnections; {
			moved += s.move(from, 1-from)
		}
		for s.agents[from].granter.outstanding.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		from = 1 - from
	}
	b.ReportMetric(float64(len(record)), "B/record")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*movedConnections), "us/flow")
}

// BenchmarkLocate asks two other agents for 10,000 flows that a changed table sent here.
func BenchmarkLocate(b *testing.B) {
	s := newSite(b, 3)
	for b.Loop() {
		b.StopTimer()
		for i := range locatedFlows {
			key := gue.Flow{
				Caller:  gue.EndpointOf(netip.AddrPortFrom(netip.MustParseAddr("10.2.0.1"), uint16(i+1024))),
				Service: gue.EndpointOf(testService.Address),
			}
			s.agents[1].noteHeldFor(key)
			s.agents[0].pendFor(key)
		}
		b.StartTimer()
		for s.agents[0].Counters.Located.Get() < uint64(locatedFlows) {
			s.agents[0].askPending()
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		s.agents[0].forgetAll()
		s.agents[0].Counters.Located.Set(0)
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*locatedFlows), "us/flow")
}

func (t *Terminator) noteHeldFor(key gue.Flow) {
	f, found := t.flows.findOrAdd(key, key.Hash(t.Keys.Hash))
	if !found {
		f.epoch = 1
		f.boundary = &boundary{}
		f.mutex.Unlock()
	}
}

func (t *Terminator) pendFor(key gue.Flow) {
	f, found := t.flows.findOrAdd(key, key.Hash(t.Keys.Hash))
	if !found {
		f.state = statePending
		f.lastSeen = time.Now()
		f.mutex.Unlock()
	}
}

func (t *Terminator) askPending() {
	now := time.Now()
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == statePending && f.asked.IsZero() && len(t.locator.questions) < locateQueueLength/2 {
			t.askHeld(f, now)
		}
		f.mutex.Unlock()
	}
}

func (t *Terminator) forgetAll() {
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		t.flows.remove(f)
		f.mutex.Unlock()
	}
}

// BenchmarkAgentFlow opens flows by hand-made segments, so that only the agent's end of each is held.
func BenchmarkAgentFlow(b *testing.B) {
	s := newSite(b, 1)
	agent := s.agents[0]
	before := heapAfterCollection()
	n := 0
	for b.Loop() {
		from := gue.Endpoint{Address: [4]byte{10, 3, byte(n >> 16), byte(n >> 8)}, Port: uint16(1024 + n&0xff)}
		opening := segment{from: from, to: gue.EndpointOf(testService.Address), sequence: 1, flags: header.TCPFlagSyn, window: 1000}
		agent.receive(tagged(opening), time.Now())
		answer := opening
		answer.sequence = 2
		answer.acknowledgment = gue.Flow{Caller: from, Service: opening.to}.InitialSequence(testKeys.Hash, 1) + 1
		answer.flags = header.TCPFlagAck
		f := agent.flows.find(gue.Flow{Caller: from, Service: opening.to}, gue.Flow{Caller: from, Service: opening.to}.Hash(testKeys.Hash))
		for !f.answered() {
			time.Sleep(10 * time.Microsecond)
		}
		agent.receive(tagged(answer), time.Now())
		for !f.attached() {
			time.Sleep(10 * time.Microsecond)
		}
		n++
	}
	b.ReportMetric(float64(heapAfterCollection()-before)/float64(n), "B/flowAgent")
}

func tagged(s segment) []byte {
	d := append(make([]byte, gue.HeaderLength), s.bytes()...)
	gue.Header{Service: 1, Generation: 1}.Put(d, testKeys.Packet)
	return d
}

func (f *flow) answered() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.opened
}

func (f *flow) attached() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.conn != nil
}
