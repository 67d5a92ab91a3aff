package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Pattern: a host returns from a restart and looks the emptiest of all, so that all entries send to it at once. It must
// get few flows until its answers are fast, but take what no other host can take, as when all hosts are new.
func TestHostThatHasJustStartedIsPaced(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.hosts[0]
	h.member.Target.Slots = 8
	tn.startAgent(h)
	require.Zero(t, h.agent.PaceLimit(), "pace is off")
	h.agent.Paced = true
	restart := func() {
		target := *h.member.Target
		target.StartedMs++
		h.member.Target = &target
		var out Output
		h.agent.UpdateTarget(tn.now, target, true, &out)
	}
	restart()
	require.Equal(t, 2, h.agent.PaceLimit())
	h.agent.busyCount = 2
	check := func(hdr Header) Code {
		code, _ := h.agent.checkNewFlow(tn.now, flowOf(1), &hdr)
		return code
	}
	require.Equal(t, CodeBusy, check(Header{}))
	require.Equal(t, CodeNone, check(Header{Mark: Mark{Code: CodeForce}}), "no other host")
	require.Equal(t, CodeNone, check(Header{Attempt: 1}), "a retransmission is never forced")
	for range 1000 {
		tn.now = tn.now.Add(20 * time.Millisecond)
		h.agent.busyCount = max(h.agent.PaceLimit(), 2)
		var out Output
		h.agent.recordAnswer(tn.now, flowOf(1), &agentFlow{busy: true, busySince: tn.now.Add(-30 * time.Millisecond)}, &out)
	}
	require.Zero(t, h.agent.PaceLimit(), "the answers are fast")
	require.Equal(t, CodeNone, check(Header{}))
	var out Output
	h.agent.TargetAbsent(tn.now, tn.now, &out)
	require.Equal(t, 2, h.agent.PaceLimit())
	restart()
	require.Equal(t, facts.TargetReady, h.agent.target.State)
}

// Pattern: a release or a loss of power leaves half or all of the hosts new. Their pace must not refuse flows that no
// other host can take: all callers must get an answer to their first SYN.
func TestNewFleetServesWhatItGets(t *testing.T) {
	for _, established := range []int{0, 3} {
		tn := newTestNetwork(t, 1, 6)
		for i, h := range tn.hosts {
			h.member.Target.Slots = 8
			if i >= established {
				tn.startAgent(h)
				h.agent.Paced = true
				var out Output
				h.agent.startPace("started", &out)
			}
		}
		tn.updateEntry(0)
		for n := range 40 {
			tn.openFlow(0, n)
		}
		require.Contains(t, tn.decisionReasons(ActionRefused), "pace")
	}
}
