package store

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// evacuationStore is an emulated store that counts the calls about evacuations.
type evacuationStore struct {
	server Server
	url    string
	client *store.Client
	calls  atomic.Int64
}

func startEvacuationStore(t *testing.T) *evacuationStore {
	s := &evacuationStore{}
	s.url = s.front(t, func(*http.Request) bool { return true })
	var err error
	s.client, err = store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	return s
}

// front returns a URL of the store at which calls are turned away unless accepts returns true.
func (s *evacuationStore) front(t *testing.T, accepts func(r *http.Request) bool) string {
	handler := s.server.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, testFormat{}.EvacuationsKind()) {
			s.calls.Add(1)
		}
		if !accepts(r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func (s *evacuationStore) place(t *testing.T, dataCentre string) {
	_, err := s.client.Create(context.Background(), testFormat{}.EvacuationsKind(), dataCentre, []byte("{}"))
	require.NoError(t, err)
}

func (s *evacuationStore) remove(t *testing.T, dataCentre string) {
	require.NoError(t, s.client.Delete(context.Background(), testFormat{}.EvacuationsKind(), dataCentre, 0))
}

// follower is an instance and the evacuations that it last reported.
type follower struct {
	self        facts.Member
	evacuations atomic.Pointer[facts.Evacuations]
	stop        context.CancelFunc
}

func startFollower(t *testing.T, url, name string, follow bool, seeds ...netip.AddrPort) *follower {
	client, err := store.NewClient(url, store.DefaultDialect)
	require.NoError(t, err)
	address := freeAddress(t)
	f := &follower{self: facts.Member{
		Instance: name, Role: facts.RoleEntry, DataCentre: "z", State: facts.StateServing, Control: address,
		Packets: netip.AddrPortFrom(address.Addr(), 1),
	}}
	n := &control.Node{
		Self: f.self, Seeds: seeds, Store: client, Format: testFormat{}, Logger: slog.New(slog.DiscardHandler), FollowEvacuations: follow,
		OnMembers: func(_ time.Time, _ []facts.Member, e facts.Evacuations) { f.evacuations.Store(&e) },
		OnPlan:    func(*plan.Plan) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	t.Cleanup(cancel)
	require.NoError(t, n.Start(ctx, nil))
	return f
}

// awaitEvacuated waits until the instances know the evacuations, and whether the data centre is evacuated.
func awaitEvacuated(t *testing.T, dataCentre string, evacuated bool, all ...*follower) {
	for _, f := range all {
		require.Eventually(t, func() bool {
			e := f.evacuations.Load()
			return e != nil && !e.Unknown && e.Active[dataCentre] == evacuated
		}, waitLimit, time.Millisecond)
	}
}

func TestEvacuationReachesInstancesAndIsTakenBack(t *testing.T) {
	s := startEvacuationStore(t)
	a := startFollower(t, s.url, "a", true)
	b := startFollower(t, s.url, "b", true, a.self.Control)
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	s.remove(t, "north")
	awaitEvacuated(t, "north", false, a, b)
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	s.server.DropHistory()
	s.remove(t, "north")
	s.server.DropHistory()
	awaitEvacuated(t, "north", false, a, b)
}

// Guards against an entry that places flows on evacuated hosts, or never gets ready, when it starts while the store is
// down: it learns the evacuations from a peer that has read them.
func TestStartedInstanceLearnsEvacuationsFromPeer(t *testing.T) {
	s := startEvacuationStore(t)
	s.place(t, "north")
	a := startFollower(t, s.url, "a", true)
	awaitEvacuated(t, "north", true, a)
	b := startFollower(t, s.front(t, func(*http.Request) bool { return false }), "b", true, a.self.Control)
	awaitEvacuated(t, "north", true, b)
}

// Guards against instances that vouch for each other though none has read the store: after a loss of power, no instance
// knows the evacuations before the store was read.
func TestRestartedInstancesAwaitStore(t *testing.T) {
	s := startEvacuationStore(t)
	s.place(t, "north")
	var available atomic.Bool
	url := s.front(t, func(*http.Request) bool { return available.Load() })
	a := startFollower(t, url, "a", true)
	b := startFollower(t, url, "b", true, a.self.Control)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, f := range []*follower{a, b} {
			e := f.evacuations.Load()
			require.True(t, e == nil || e.Unknown)
		}
	}
	available.Store(true)
	awaitEvacuated(t, "north", true, a, b)
}

// Guards against a bound that depends on every reader, and against readers that call the store without pause: the store
// turns the watches of one instance away, and those of all.
func TestEvacuationIsReadThoughWatchesAreTurnedAway(t *testing.T) {
	s := startEvacuationStore(t)
	isNoWatch := func(r *http.Request) bool { return !r.URL.Query().Has("watch") }
	refused := s.front(t, isNoWatch)
	a := startFollower(t, s.url, "a", true)
	b := startFollower(t, refused, "b", true, a.self.Control)
	awaitEvacuated(t, "north", false, a, b)
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	a.stop()
	before := s.calls.Load()
	time.Sleep(3 * time.Second)
	require.Less(t, s.calls.Load()-before, int64(20))
	s.remove(t, "north")
	awaitEvacuated(t, "north", false, b)
}

// Guards against calls, which are billed, of a deployment without evacuations.
func TestInstanceWithoutSettingMakesNoCall(t *testing.T) {
	s := startEvacuationStore(t)
	s.place(t, "north")
	before := s.calls.Load()
	a := startFollower(t, s.url, "a", false)
	time.Sleep(time.Second)
	awaitEvacuated(t, "north", false, a)
	require.Equal(t, before, s.calls.Load())
	b := startFollower(t, s.url, "b", true, a.self.Control)
	awaitEvacuated(t, "north", true, b)
	awaitEvacuated(t, "north", false, a)
}
