package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newStartedEntry returns a network whose first entry has just started and knows no host yet, and a function that gives
// it the members.
func newStartedEntry(t *testing.T) (tn *testNetwork, learnMembers func()) {
	tn = newTestNetwork(t, 1, 3)
	e := tn.entries[0]
	tn.entries[0] = &Entry{Self: e.Self, Codec: e.Codec, Policy: e.Policy}
	tn.entries[0].Update(tn.now, tn.plan, NewDirectory(nil))
	return tn, func() {
		tn.updateEntry(0)
		tn.releaseHeld()
	}
}

func (tn *testNetwork) releaseHeld() {
	var out Output
	tn.entries[0].ReleaseHeld(tn.now, &out)
	tn.queueOutput(tn.entries[0].Self, &out)
	tn.deliverAll()
}

// Pattern: an entry that returns after a loss of power gets the SYNs of its callers before it has read the members from
// the store. It dropped them, so that each waited for its next copy, for 200 ms or 400 ms.
func TestSYNsBeforeFirstHostAreHeld(t *testing.T) {
	tn, learnMembers := newStartedEntry(t)
	const flows = 100
	for n := range flows {
		tn.send(0, Header{Source: caller(n), SYN: true})
	}
	tn.now = tn.now.Add(150 * time.Millisecond)
	require.Empty(t, tn.toCaller)
	learnMembers()
	require.Len(t, tn.toCaller, flows)
	for _, hdr := range tn.toCaller {
		require.True(t, hdr.SYNACK)
	}
}

func TestCopiesOfHeldSYNAreOneFlow(t *testing.T) {
	tn, learnMembers := newStartedEntry(t)
	tn.send(0, Header{Source: caller(1), SYN: true})
	tn.now = tn.now.Add(200 * time.Millisecond)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
	learnMembers()
	received := 0
	for _, h := range tn.hosts {
		received += countSYNs(h.target)
	}
	require.Equal(t, 1, received)
}

// A caller whose SYN can't be placed must not wait longer than for its objective: the last copy is reset, which is true
// because no host has seen the flow.
func TestHeldSYNIsGivenUp(t *testing.T) {
	tn, _ := newStartedEntry(t)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: lastAttempt})
	tn.now = tn.now.Add(holdTimeout)
	tn.releaseHeld()
	require.Empty(t, tn.toCaller)
	tn.now = tn.now.Add(time.Millisecond)
	tn.releaseHeld()
	require.Len(t, tn.toCaller, 1)
	require.True(t, tn.toCaller[0].RST)
	require.Empty(t, tn.entries[0].held)
}

func TestHeldSYNsAreBounded(t *testing.T) {
	tn, _ := newStartedEntry(t)
	for n := range 2 * maxHeldSYNs {
		tn.send(0, Header{Source: caller(n), SYN: true})
	}
	require.Len(t, tn.entries[0].held, maxHeldSYNs)
}

// A SYN on a 4-tuple whose holder is being searched for begins a new flow. The search for the old flow once went on and
// reset the new one, which a target held.
func TestSYNEndsSearchForEarlierFlow(t *testing.T) {
	tn := newTestNetwork(t, 2, 5)
	h := tn.openFlow(0, 1)
	h.startTarget()
	other := tn.hosts[(indexOf(tn, h)+1)%len(tn.hosts)]
	other.agent.digest++ // Keeps the search open: the denial is inconclusive.
	tn.send(1, Header{Source: caller(1), Acknowledged: 1, Length: 1})
	require.Len(t, tn.entries[1].searches, 1)
	before := len(tn.toCaller)
	tn.send(1, Header{Source: caller(1), SYN: true})
	require.True(t, tn.toCaller[before].SYNACK)
	tn.send(1, Header{Source: caller(1), Acknowledged: tn.toCaller[before].Sequence + 1})
	other.agent.digest--
	for range 5 {
		tn.advance(locateRetryInterval)
	}
	require.Empty(t, tn.decisionReasons(ActionReset))
	require.Empty(t, tn.entries[1].searches)
	_, known := tn.entries[1].flows.Peek(flowOf(1))
	require.True(t, known)
}

// Pattern: a fleet in several data centres of which none is loaded. Work must stay in the data centre of the entry, and
// an entry of the same data centre must find a flow among the hosts that it asks first.
func TestFlowsStayInDataCentre(t *testing.T) {
	tn := newTestNetwork(t, 2, 60)
	for i, h := range tn.hosts {
		h.member.DataCentre = string(rune('a' + i%6))
	}
	for i, e := range tn.entries {
		e.DataCentre = "a"
		tn.updateEntry(i)
	}
	tn.updateAgents()
	for n := range 50 {
		h := tn.openFlow(0, n)
		require.Equal(t, "a", h.member.DataCentre)
		tn.advance(10 * time.Millisecond)
		before := len(tn.decisions)
		answered, _ := tn.sendRequest(1, n, h)
		require.True(t, answered)
		for _, d := range tn.decisions[before:] {
			require.LessOrEqual(t, d.Count, maxCandidates)
		}
		tn.send(0, Header{Source: caller(n), Acknowledged: h.target.initialSequence[flowOf(n)] + 2, FIN: true})
	}
}
