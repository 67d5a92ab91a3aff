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

// BenchmarkSetUp opens connections whose packets go to random agents. The reported bytes include both ends of each
// connection.
func BenchmarkSetUp(b *testing.B) {
	tb := newTestbed(b, 2)
	tb.dial()
	before := heapAfterCollection()
	begin := time.Now()
	n := 0
	for b.Loop() {
		tb.dial()
		n++
	}
	b.ReportMetric(float64(n)/time.Since(begin).Seconds(), "flows/s")
	b.ReportMetric(float64(heapAfterCollection()-before)/float64(n), "B/flowBothEnds")
}

// BenchmarkMove moves 2,000 idle connections from one agent to another.
func BenchmarkMove(b *testing.B) {
	tb := newTestbed(b, 2)
	tb.setRoute(tb.members[:1])
	for range movedConnections {
		tb.dial()
	}
	flows := tb.agents[0].flows.all()
	record, err := json.Marshal(flows[0].record(time.Now()))
	require.NoError(b, err)
	from := 0
	for b.Loop() {
		for moved := 0; moved < movedConnections; {
			moved += tb.move(from, 1-from)
		}
		for tb.agents[from].granter.outstanding.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		from = 1 - from
	}
	b.ReportMetric(float64(len(record)), "B/record")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*movedConnections), "us/flow")
}

// BenchmarkLocate asks two other agents for the holders of 10,000 flows, as after a change of the table.
func BenchmarkLocate(b *testing.B) {
	tb := newTestbed(b, 3)
	for b.Loop() {
		b.StopTimer()
		for i := range locatedFlows {
			key := gue.Flow{
				Caller:  gue.EndpointOf(netip.AddrPortFrom(netip.MustParseAddr("10.2.0.1"), uint16(i+1024))),
				Service: gue.EndpointOf(testService.Address),
			}
			tb.agents[1].addLocalFlow(key)
			tb.agents[0].addPendingFlow(key)
		}
		b.StartTimer()
		for tb.agents[0].Counters.Located.Get() < uint64(locatedFlows) {
			tb.agents[0].lookUpPending()
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		tb.agents[0].removeAllFlows()
		tb.agents[0].Counters.Located.Set(0)
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*locatedFlows), "us/flow")
}

func (t *Terminator) addLocalFlow(key gue.Flow) {
	f, found := t.flows.findOrAdd(key, key.Hash(t.Keys.Hash))
	if !found {
		f.epoch = 1
		f.requestBoundary = &requestBoundary{}
		f.mutex.Unlock()
	}
}

func (t *Terminator) addPendingFlow(key gue.Flow) {
	f, found := t.flows.findOrAdd(key, key.Hash(t.Keys.Hash))
	if !found {
		f.state = statePending
		f.lastSeen = time.Now()
		f.mutex.Unlock()
	}
}

func (t *Terminator) lookUpPending() {
	now := time.Now()
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == statePending && f.lookupAt.IsZero() && len(t.locator.lookups) < locateQueueLength/2 {
			t.repeatLookup(f, now)
		}
		f.mutex.Unlock()
	}
}

func (t *Terminator) removeAllFlows() {
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		t.flows.remove(f)
		f.mutex.Unlock()
	}
}

// BenchmarkAgentFlow opens flows with hand-built segments, so that the reported bytes include the agent's end only.
func BenchmarkAgentFlow(b *testing.B) {
	tb := newTestbed(b, 1)
	agent := tb.agents[0]
	before := heapAfterCollection()
	n := 0
	for b.Loop() {
		from := gue.Endpoint{Address: [4]byte{10, 3, byte(n >> 16), byte(n >> 8)}, Port: uint16(1024 + n&0xff)}
		syn := segment{from: from, to: gue.EndpointOf(testService.Address), sequence: 1, flags: header.TCPFlagSyn, window: 1000}
		agent.receive(encapsulate(syn), time.Now())
		ack := syn
		ack.sequence = 2
		ack.acknowledgment = gue.Flow{Caller: from, Service: syn.to}.InitialSequence(testKeys.Hash, 1) + 1
		ack.flags = header.TCPFlagAck
		f := agent.flows.find(gue.Flow{Caller: from, Service: syn.to}, gue.Flow{Caller: from, Service: syn.to}.Hash(testKeys.Hash))
		for !f.hasSentSYNACK() {
			time.Sleep(10 * time.Microsecond)
		}
		agent.receive(encapsulate(ack), time.Now())
		for !f.hasConn() {
			time.Sleep(10 * time.Microsecond)
		}
		n++
	}
	b.ReportMetric(float64(heapAfterCollection()-before)/float64(n), "B/flowAgent")
}

func encapsulate(s segment) []byte {
	d := append(make([]byte, gue.HeaderLength), s.encode()...)
	gue.Header{Service: 1, Generation: 1}.Put(d, testKeys.Packet)
	return d
}

func (f *flow) hasSentSYNACK() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.opened
}

func (f *flow) hasConn() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.conn != nil
}
