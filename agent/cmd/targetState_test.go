package cmd

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/announce"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/platform"
)

// newTestAgent returns an agent without sockets, peers and store.
func newTestAgent(t *testing.T) *passthroughAgent {
	logger := slog.New(slog.DiscardHandler)
	g := &peer.Gossip{
		Self: facts.Member{Instance: "agent-1", Role: facts.RoleAgent}, Pool: &peer.Pool{}, Logger: logger,
		OnChange: func(time.Time, *peer.View) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g.Start(ctx)
	return &passthroughAgent{
		settings: &Settings{}, process: &process.Process{Logger: logger}, node: &control.Node{Gossip: g},
		flowAgent: &flow.Agent{Service: "s", Codec: platform.PacketCodec{}}, tracker: announce.Tracker{Service: "s"},
		recorder: dataplane.NewRecorder(logger, metrics.NewSet()),
	}
}

// publishedState returns the state of the target that other instances get.
func (a *passthroughAgent) publishedState() (state facts.TargetState) {
	a.node.Gossip.Do(context.Background(), func(time.Time) { state = a.node.Gossip.Self.Target.State })
	return state
}

func readyTarget(startedMs int64, sequence uint64) announce.Announcement {
	return announce.Announcement{
		Service: "s", Sequence: sequence, Target: facts.Target{ID: "t", StartedMs: startedMs, State: facts.TargetReady, Slots: 2},
	}
}

// An announcement that arrived while "gone" was being published was overwritten by it, and the host got no flows until
// the state of its target changed again.
func TestGoneDoesNotOverwriteNewerAnnouncement(t *testing.T) {
	a := newTestAgent(t)
	now := time.Now()
	require.True(t, a.Accept(now, readyTarget(1, 1)))
	check := &targetCheck{agent: a, started: now.Add(time.Second)}
	check.conclude(now.Add(time.Second), true)
	require.True(t, a.Accept(now.Add(2*time.Second), readyTarget(1, 2)))
	a.publishTarget("check", 0)
	require.Equal(t, facts.TargetReady, a.publishedState())
}

// A target found absent that shows itself by a packet was still published as gone after its next announcement.
func TestTargetThatShowsItselfIsPublishedAgain(t *testing.T) {
	a := newTestAgent(t)
	now := time.Now()
	require.True(t, a.Accept(now, readyTarget(1, 1)))
	(&targetCheck{agent: a, started: now.Add(time.Second)}).conclude(now.Add(time.Second), true)
	a.publishTarget("check", 0)
	require.Equal(t, facts.TargetGone, a.publishedState())
	targetPacketHandler{a}.Packet(now.Add(time.Second), a.settings.TargetPackets, nil)
	require.True(t, a.Accept(now.Add(2*time.Second), readyTarget(1, 2)))
	require.Equal(t, facts.TargetReady, a.publishedState())
}

// Pattern: a target restarts while its clock is set back, and drains (review/2). Its announcements were answered with
// 200 and ignored. What is not taken into account must get another answer.
func TestAnnouncementThatIsIgnoredIsNotAnsweredWithSuccess(t *testing.T) {
	a := newTestAgent(t)
	now := time.Now()
	require.True(t, a.Accept(now, readyTarget(2400, 5)))
	draining := readyTarget(1000, 1)
	draining.Target.State = facts.TargetDraining
	r, err := platform.AnnouncementProtocol{}.Announcement(t.Context(), "", "10.0.0.1:1", draining)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	a.protocol = platform.AnnouncementProtocol{}
	a.protocol.Handler(a).ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, facts.TargetReady, a.publishedState())
	for n, accepted := range []bool{false, true} {
		draining.Sequence++
		require.Equal(t, accepted, a.Accept(now.Add(time.Duration(n+1)*770*time.Millisecond), draining))
	}
	require.Equal(t, facts.TargetDraining, a.publishedState())
}
