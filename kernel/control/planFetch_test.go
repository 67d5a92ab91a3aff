package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// testPeers answers calls for plans in place of peers. Requests and replies pass through JSON.
type testPeers map[netip.AddrPort]func(ctx context.Context, r PlanRequest) (any, error)

func (p testPeers) Call(ctx context.Context, to netip.AddrPort, _ string, params, result any) error {
	var r PlanRequest
	text, err := json.Marshal(params)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil {
		return err
	}
	reply, err := p[to](ctx, r)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// testPeerGone is the error of a call to a peer that is gone.
type testPeerGone struct{}

func (testPeerGone) Error() string { return "gone" }

func peerAddress(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1)
}

func routesPlan(version uint64, routes int) *plan.Plan {
	p := &plan.Plan{Version: version}
	for n := range routes {
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprint("route-", n*7919%10007), Address: gue.Endpoint{Address: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 80},
			Shares: []plan.Share{{Service: fmt.Sprint("service-", n%20), Weight: 1}},
		})
	}
	p.Index()
	return p
}

// serving returns a peer that uses the last of the given plans, on a link that carries short pieces.
func serving(plans ...*plan.Plan) (*planServer, func(ctx context.Context, r PlanRequest) (any, error)) {
	s := &planServer{gate: planGate{LinkMbps: 10}}
	for _, p := range plans {
		s.remember(p)
	}
	return s, func(ctx context.Context, r PlanRequest) (any, error) { return s.reply(ctx, plans[len(plans)-1], r) }
}

// newPlans returns an instance that uses the given plan. It has no store, so that a read of the store panics.
func newPlans(peers testPeers, used *plan.Plan) *Plans {
	p := &Plans{Pool: peers, Logger: slog.New(slog.DiscardHandler), Self: peerAddress(99), OnPlan: func(*plan.Plan) {}}
	p.prepare()
	if used != nil {
		p.current.Store(used)
	}
	return p
}

func requirePlan(t *testing.T, expected, got *plan.Plan) {
	t.Helper()
	require.NotNil(t, got)
	require.Equal(t, expected.Version, got.Version)
	d := plan.Compare(expected, got)
	require.True(t, d.Empty())
}

// Failure: the responder goes away after it has sent a part of an update. The plan must come from another peer.
func TestPeerThatGoesAwayDuringTransferIsReplaced(t *testing.T) {
	next := routesPlan(2, 1450)
	_, lasting := serving(next)
	_, leaving := serving(next)
	calls := 0
	peers := testPeers{peerAddress(1): func(ctx context.Context, r PlanRequest) (any, error) {
		if calls++; calls > 3 {
			return nil, testPeerGone{}
		}
		return leaving(ctx, r)
	}}
	p := newPlans(peers, nil)
	p.ObserveVersion(2, peerAddress(1))
	p.fetchFromPeer(context.Background(), peerAddress(1))
	require.Greater(t, calls, 3)
	require.Zero(t, p.Version())
	require.True(t, p.sources.next(time.Now(), 0).Store, "the only peer failed")
	peers[peerAddress(2)] = lasting
	p.ObserveVersion(2, peerAddress(2))
	p.catchUp(context.Background())
	requirePlan(t, next, p.Current())
}

// Failure: the difference from the plan that the requester has does not lead to the new plan, because a plan of that
// version came through an instance that left out a part. The whole plan must be fetched.
func TestDifferenceThatDoesNotApplyIsReplacedByWholePlan(t *testing.T) {
	base, next, stripped := routesPlan(1, 200), routesPlan(2, 201), routesPlan(1, 200)
	stripped.Routes[9].Shares = nil
	_, reply := serving(base, next)
	p := newPlans(testPeers{peerAddress(1): reply}, stripped)
	p.ObserveVersion(2, peerAddress(1))
	p.catchUp(context.Background())
	requirePlan(t, next, p.Current())
}

// Guards against a fetch of the whole plan by an instance whose plan the responder remembers, and against a transfer that
// a newer plan interrupts.
func TestDifferenceIsSentAndSurvivesNewerPlan(t *testing.T) {
	base, next := routesPlan(1, 1000), routesPlan(2, 1900)
	s, _ := serving(base, next)
	current, sizes := next, []int{}
	p := newPlans(testPeers{peerAddress(1): func(ctx context.Context, r PlanRequest) (any, error) {
		reply, err := s.reply(ctx, current, r)
		if current == next {
			current = routesPlan(3, 1900)
			s.remember(current)
		}
		piece := reply.(PlanReply)
		require.True(t, piece.Difference)
		sizes = append(sizes, piece.Size)
		return reply, err
	}}, base)
	p.fetchFromPeer(context.Background(), peerAddress(1))
	requirePlan(t, next, p.Current())
	require.Greater(t, len(sizes), 1)
	k := updateKey{base: 1, version: 2}
	require.Equal(t, s.updates[k].data, p.server.updates[k].data, "what was fetched is passed on without being encoded again")
	d, err := p.download(context.Background(), peerAddress(1), p.Current())
	require.NoError(t, err)
	requirePlan(t, current, d.plan)
	require.Less(t, d.size, 300)
}

// Guards against instances of two builds that can't fetch the plan from each other.
func TestOlderBuildsFetchAndSendWholePlans(t *testing.T) {
	next := routesPlan(2, 1450)
	p := newPlans(testPeers{peerAddress(1): func(context.Context, PlanRequest) (any, error) {
		return struct {
			Plan *plan.Plan `json:"plan"`
		}{next}, nil
	}}, routesPlan(1, 50))
	p.fetchFromPeer(context.Background(), peerAddress(1))
	requirePlan(t, next, p.Current())

	s, reply := serving(next)
	s.gate.LinkMbps = 10
	var got struct {
		Plan plan.Plan `json:"plan"`
	}
	require.NoError(t, testPeers{peerAddress(1): reply}.Call(context.Background(), peerAddress(1), "", struct{}{}, &got))
	requirePlan(t, next, &got.Plan)
	s.gate.freeWhole = time.Now().Add(time.Minute)
	var busy *PlanBusyError
	_, err := reply(context.Background(), PlanRequest{})
	require.True(t, errors.As(err, &busy))
}

// Guards against an update that is encoded for each request, and against a reply to an instance that is up to date.
func TestUpdateIsEncodedOncePerVersion(t *testing.T) {
	base, next := routesPlan(1, 50), routesPlan(2, 1450)
	s, _ := serving(base, next)
	_, first := s.encode(next, 1)
	_, second := s.encode(next, 1)
	require.Same(t, first, second)
	require.NotEmpty(t, first.data)
	reply, err := s.reply(context.Background(), next, PlanRequest{Pieces: true, Have: 2})
	require.NoError(t, err)
	require.Equal(t, PlanReply{Version: 2}, reply)
	for _, r := range []PlanRequest{
		{Pieces: true, Offset: -5}, {Pieces: true, Offset: 1 << 40, Version: 2, Base: 1}, {Pieces: true, Offset: 5, Version: 7},
	} {
		_, err := s.reply(context.Background(), next, r)
		require.NoError(t, err)
	}
}

// Pattern: 80 instances ask an entry on a link of 10 Mbit/s for a large plan at once and again whenever they are told to.
// The entry must not use more than its share of the link, must serve few at a time, and must name those that it served.
func TestThinEntryKeepsToItsShareOfTheLink(t *testing.T) {
	const requesters, duration = 80, 2 * time.Second
	g := planGate{LinkMbps: 10}
	start := time.Unix(1000, 0)
	offsets, notBefore := map[uint64]int{}, map[uint64]time.Time{}
	bytes, served := 0, 0
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		for id := range uint64(requesters) {
			r := pieceRequest{Transfer: id, Offset: offsets[id], Size: largeUpdateBytes}
			if now.Before(notBefore[id]) || r.Offset >= r.Size {
				continue
			}
			wait, ok := g.admit(now, r)
			require.LessOrEqual(t, len(g.transfers), minTransfers)
			notBefore[id] = now.Add(wait + time.Millisecond)
			if !ok {
				continue
			}
			bytes += wireBytes(g.lengthOf(r))
			if offsets[id] += g.lengthOf(r); offsets[id] >= r.Size {
				served++
				g.recordServed(1, peerAddress(byte(id)))
			}
		}
	}
	t.Logf("%d bytes in %v, %d of %d instances served", bytes, duration, served, requesters)
	share := planLinkShare * 10e6 / 8 * (duration + maxPieceWait).Seconds()
	require.LessOrEqual(t, bytes, int(share))
	require.Greater(t, bytes, int(share*0.7), "the steps of 1 ms lose up to a sixth")
	require.Greater(t, served, 10)
	require.Len(t, g.elsewhere(1), maxElsewhere)
}

// Guards against a transfer whose requester is gone and that holds a place, and against small updates that wait for large
// ones.
func TestAbandonedTransfersMakeRoom(t *testing.T) {
	var g planGate
	now := time.Unix(1000, 0)
	large := func(id uint64) bool {
		_, ok := g.admit(now, pieceRequest{Transfer: id, Size: largeUpdateBytes})
		return ok
	}
	require.True(t, large(1))
	require.True(t, large(2))
	require.False(t, large(3))
	_, ok := g.admit(now, pieceRequest{Transfer: 4, Size: 300})
	require.True(t, ok)
	now = now.Add(transferIdleLimit + time.Millisecond)
	require.True(t, large(3))
}

// Guards against an instance that stays with a source that refuses or fails, and against one that never turns to the
// store.
func TestSourcesAreChosenInTurn(t *testing.T) {
	var s planSources
	now := time.Unix(1000, 0)
	require.Zero(t, s.next(now, 1))
	s.observe(now, 2, peerAddress(1))
	now = now.Add(maxFetchJitter)
	require.Equal(t, peerAddress(1), s.next(now, 1).From)
	s.refused(now, peerAddress(1), 100*time.Millisecond, []netip.AddrPort{peerAddress(2)})
	require.Equal(t, fetchStep{Version: 2, From: peerAddress(2)}, s.next(now, 1))
	s.failed(peerAddress(2))
	step := s.next(now, 1)
	require.GreaterOrEqual(t, step.Wait, 50*time.Millisecond)
	require.False(t, step.Store)
	require.Equal(t, peerAddress(1), s.next(now.Add(step.Wait), 1).From)
	require.True(t, s.next(now.Add(peerFetchLimit), 1).Store)
	s.failed(peerAddress(1))
	require.True(t, s.next(now, 1).Store, "all sources failed")
	s.observe(now, 3, peerAddress(1))
	require.False(t, s.next(now, 1).Store, "a newer version is another chance")
	s.succeeded(now.Add(peerFetchLimit))
	require.False(t, s.next(now.Add(peerFetchLimit+time.Second), 2).Store, "plans arrive")
	require.Zero(t, s.next(now, 3), "the plan came otherwise")
}

// Guards against entries with thin links that read plans from the store while others could, and, during an upgrade, against
// fewer watchers than without one: older builds neither publish nor regard the capacity of links.
func TestWatchersHaveTheFastestLinks(t *testing.T) {
	for old := range 9 {
		var members []facts.Member
		for i := range 8 {
			m := facts.Member{
				Instance: fmt.Sprint("entry-", i*(old+1)), Role: facts.RoleEntry, DataCentre: "a", State: facts.StateServing,
				LinkMbps: []float64{10, 200}[i%2],
			}
			if i < old {
				m.LinkMbps = 0
			}
			members = append(members, m)
		}
		watchers, fast := 0, 0
		for i, m := range members {
			seen := slices.Clone(members)
			for j := range seen {
				if i < old {
					seen[j].LinkMbps = 0
				}
			}
			if isWatcher(m, seen) {
				watchers++
				fast += i % 2
			}
		}
		require.GreaterOrEqual(t, watchers, minWatchers)
		if old == 0 {
			require.Equal(t, minWatchers, watchers)
			require.Equal(t, 4, fast)
		}
	}
}
