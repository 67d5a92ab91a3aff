package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	// loadHosts and loadFlows are those of an entry with a thin link in a fleet that has lost power.
	loadHosts    = 49
	loadFlows    = 1000
	requestBytes = 300
	thinLinkMbps = 10
	loadTick     = 100 * time.Millisecond
)

// newSearchLoad returns a network with one entry on a thin link, whose targets hold no flows. If known is set, the agents
// know that, because they have run since their targets started.
func newSearchLoad(t *testing.T, known bool) *testNetwork {
	tn := newTestNetwork(t, 1, loadHosts)
	tn.entries[0].LinkMbps = thinLinkMbps
	for _, h := range tn.hosts {
		h.agent.sawAllSYNs = known
	}
	return tn
}

// sendLostFlows sends a packet of each of the flows that were open before the loss of power.
func (tn *testNetwork) sendLostFlows(count int) {
	for n := range count {
		tn.send(0, Header{Source: caller(n), Acknowledged: 1, Length: requestBytes})
	}
}

// runLoad runs the periodic work for the given time and returns how many bytes the entry sent.
func (tn *testNetwork) runLoad(d time.Duration, done func() bool) int {
	before := tn.sentBytes[tn.entries[0].Self]
	for end := tn.now.Add(d); tn.now.Before(end) && !done(); {
		tn.advance(loadTick)
	}
	return tn.sentBytes[tn.entries[0].Self] - before
}

func never() bool { return false }

// budgetBytes returns what searches may send within the given time.
func budgetBytes(d time.Duration) int {
	return int(searchLinkShare * thinLinkMbps * 1e6 / 8 * (d + 2*budgetWindow).Seconds())
}

// Pattern: all machines lost power, and callers go on with flows that no target holds any more. With a copy of the
// packet to each host, an entry on a link of 10 Mbit/s needed 30 MB, lost its answers and callers' SYNs, and searched for
// 15 s (annex grown, trouble-2).
func TestLostFlowsAreResetSoon(t *testing.T) {
	tn := newSearchLoad(t, true)
	tn.sendLostFlows(loadFlows)
	tn.runLoad(3*time.Second, func() bool { return len(tn.entries[0].searches) == 0 })
	require.Empty(t, tn.entries[0].searches)
	require.Len(t, tn.decisionReasons(ActionReset), loadFlows)
	require.Empty(t, tn.decisionReasons(ActionUncertain))
	perFlow := tn.sentBytes[tn.entries[0].Self] / loadFlows
	require.Less(t, perFlow, loadHosts*(requestBytes+testHeaderLength)/10, "a tenth of a copy of the packet to each host")
	before := len(tn.toCaller)
	tn.send(0, Header{Source: caller(loadFlows + 1), SYN: true})
	require.True(t, tn.toCaller[before].SYNACK)
}

// Pattern: agents were restarted beside targets that kept running, so they are unsure, and half of the hosts are silent.
// The searches must stay within their share of the link, and must not reset a flow.
func TestUnansweredSearchesStayWithinTheirShareOfTheLink(t *testing.T) {
	tn := newSearchLoad(t, false)
	silent := map[netip.AddrPort]bool{}
	for _, h := range tn.hosts[:loadHosts/2] {
		silent[h.member.Packets] = true
	}
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return silent[to] }
	const duration = 2 * time.Second
	tn.sendLostFlows(loadFlows)
	require.Less(t, tn.runLoad(duration, never), budgetBytes(duration))
	require.Empty(t, tn.decisionReasons(ActionReset))
}

// Pattern: one host of many doesn't answer while flows that others hold move to another entry. Each must be found at
// once, and the silent host must be asked less and less often.
func TestSilentHostDelaysNoOtherFlow(t *testing.T) {
	tn := newTestNetwork(t, 2, loadHosts)
	tn.entries[1].LinkMbps = thinLinkMbps
	silent := tn.hosts[0]
	holders := map[int]*testHost{}
	for n := range 20 {
		if h := tn.openFlow(0, n); h != silent {
			holders[n] = h
		}
	}
	asked := 0
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool {
		if to == silent.member.Packets {
			asked++
		}
		return to == silent.member.Packets
	}
	for n, h := range holders {
		answered, reset := tn.sendRequest(1, n, h)
		require.True(t, answered)
		require.False(t, reset)
	}
	tn.sendLostFlows(1)
	asked = 0
	tn.runLoad(searchTimeout, never)
	require.LessOrEqual(t, asked, 6)
}

// A question, and its answer, must name the same flows.
func TestQuestionsRoundTrip(t *testing.T) {
	flows := []gue.Flow{flowOf(1), flowOf(700)}
	question := appendQuestion(nil, 77, flows)
	require.Len(t, question, questionNumberLength+2*flowLength)
	var seen []gue.Flow
	data, ok := appendAnswers(nil, question, func(f gue.Flow) answer { seen = append(seen, f); return answerDenied })
	require.True(t, ok)
	require.Equal(t, flows, seen)
	number, answers, ok := decodeAnswers(data)
	require.True(t, ok)
	require.Equal(t, uint32(77), number)
	require.Equal(t, []byte{byte(answerDenied), byte(answerDenied)}, answers)
}

// Questions and answers come from the network, and must not stop the process whatever they contain.
func FuzzQuestions(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1}, byte(CodeAsk))
	f.Add(appendQuestion(nil, 1, []gue.Flow{flowOf(1)}), byte(CodeAnswers))
	f.Fuzz(func(t *testing.T, data []byte, code byte) {
		tn := newTestNetwork(t, 1, 2)
		tn.sendUnknownPacket(0, 1)
		packet := testCodec{}.EncodeMessage(data)
		if len(packet)-testHeaderLength > 1200 {
			return
		}
		testCodec{}.SetMark(packet, Mark{Code: Code(code), Value: 1})
		var out Output
		tn.entries[0].HandlePacket(tn.now, tn.hosts[0].member.Packets, packet, &out)
		out.Clear()
		tn.hosts[0].agent.HandleEntryPacket(tn.now, tn.entries[0].Self, packet, &out)
	})
}

// An agent denies flows that it does not track only if it saw the start of its target.
func TestAgentKnowsAllFlowsIfItSawTheTargetStart(t *testing.T) {
	started := time.UnixMilli(1_000_000)
	target := func(offset time.Duration) *testHost {
		h := newTestNetwork(t, 1, 1).hosts[0]
		h.agent = &Agent{Self: h.member.Packets, Service: "s", Target: targetAddress(h), Codec: testCodec{}}
		h.agent.Start(started)
		h.member.Target.StartedMs = started.Add(offset).UnixMilli()
		var out Output
		h.agent.UpdateTarget(started.Add(20*time.Millisecond), *h.member.Target, true, &out)
		return h
	}
	require.Equal(t, answerDenied, target(-50*time.Millisecond).agent.answerFor(flowOf(1)))
	require.Equal(t, answerUnsure, target(-time.Second).agent.answerFor(flowOf(1)))
	require.Equal(t, answerUnsure, target(time.Minute).agent.answerFor(flowOf(1)), "the clock was set")
	h := target(-50 * time.Millisecond)
	h.agent.NoteStoredTarget(*h.member.Target)
	require.Equal(t, answerUnsure, h.agent.answerFor(flowOf(1)), "an earlier process of the agent knew the target")
	h = target(-time.Second)
	restarted := *h.member.Target
	restarted.StartedMs += 5000
	var out Output
	h.agent.UpdateTarget(started.Add(5*time.Second), restarted, true, &out)
	require.Equal(t, answerDenied, h.agent.answerFor(flowOf(1)))
}

// Pattern: the rotation changes several times a second while entries return, and agents that had no target yet refused
// flows, which were placed beyond the likeliest hosts. An entry on a thin link must find each of them without asking the
// whole fleet, which its share of the link does not allow.
func TestFlowsBeyondLikeliestHostsAreFoundAtOnce(t *testing.T) {
	const hosts, dataCentres, flows = 160, 6, 8
	tn := newTestNetwork(t, 2, hosts)
	for i, h := range tn.hosts {
		h.member.DataCentre = string(rune('a' + i%dataCentres))
	}
	for i, e := range tn.entries {
		e.DataCentre, e.LinkMbps = "a", thinLinkMbps
		tn.updateEntry(i)
	}
	tn.updateAgents()
	e := tn.entries[0]
	for n := range flows {
		likeliest := e.directory.Group("s").rank(flowOf(n), "a", nil)[:maxCandidates]
		for _, r := range likeliest {
			e.hostLoadOf(r.host.Instance).refusedUntil = tn.now.Add(time.Millisecond)
		}
		h := tn.openFlow(0, n)
		require.Equal(t, "a", h.member.DataCentre)
		for _, r := range likeliest {
			e.hostLoadOf(r.host.Instance).refusedUntil = time.Time{}
		}
		answered, reset := tn.sendRequest(1, n, h)
		require.True(t, answered)
		require.False(t, reset)
	}
}

// Pattern: all processes are killed, targets keep their long flows, and agents return a second or more after the
// entries. The questions that were lost meanwhile must not delay those that the agents can answer. The annex (scale-1)
// lost 0.03 of its worth to that.
func TestFlowsAreFoundOnceAgentsReturn(t *testing.T) {
	const hosts, outage = 7, 1500 * time.Millisecond
	tn := newTestNetwork(t, 1, hosts)
	holders := map[int]*testHost{}
	for n := range 10 {
		holders[n] = tn.openFlow(0, n)
	}
	tn.startEntry(0)
	down := true
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return down && to != tn.entries[0].Self }
	for n, h := range holders {
		tn.sendRequest(0, n, h)
	}
	for end := tn.now.Add(outage); tn.now.Before(end); {
		tn.advance(loadTick)
	}
	down = false
	for _, h := range tn.hosts {
		tn.startAgent(h)
	}
	tn.updateAgents()
	before := len(tn.toCaller)
	for range 3 {
		tn.advance(loadTick)
	}
	require.Len(t, tn.decisionReasons(ActionFound), len(holders))
	require.Len(t, tn.toCaller, before+len(holders))
}

// A step that stops early must have asked all hosts of the searches that it no longer counts as due.
func TestStepThatStopsEarlyLosesNoQuestion(t *testing.T) {
	const hosts, flows = 3, 2 * maxPacketsPerStep
	tn := newSearchLoad(t, false)
	e := tn.entries[0]
	e.LinkMbps = 1000
	tn.hosts = tn.hosts[:hosts]
	tn.updateEntry(0)
	for n := range flows {
		tn.sendUnknownPacket(0, n)
		s := e.searches[flowOf(n)].search
		s.answers[0], s.due = answerUnsure, true
	}
	e.questions = nil
	var out Output
	steps := 1
	for ; e.ContinueSearches(tn.now, false, &out); steps++ {
		out.Clear()
	}
	require.Greater(t, steps, 1)
	asked := 0
	for _, q := range e.questions {
		asked += len(q.flows)
	}
	require.Equal(t, flows*(hosts-1), asked)
}
