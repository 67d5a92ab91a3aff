package store

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// waitLimit bounds every wait of these tests. It is generous, because the tests do not measure speed.
const waitLimit = 30 * time.Second

// oddMark is the stored form of testStore.oddSpec.
const oddMark = `"odd object"`

// testFormat decodes plans that are stored as the JSON form of plan.Plan.
type testFormat struct{}

func (testFormat) Location() (kind, name string) { return "plans", "current" }

func (testFormat) EvacuationsKind() string { return "evacuated" }

func (testFormat) Decode(spec []byte, _ *plan.Steps) (*plan.Plan, error) {
	p := &plan.Plan{}
	if err := json.Unmarshal(spec, p); err != nil {
		return nil, err
	}
	p.Index()
	return p, nil
}

// testStore is an emulated store that can be made unavailable.
type testStore struct {
	server      Server
	unavailable atomic.Bool
	// silentWatches makes watches return nothing until the client gives up.
	silentWatches atomic.Bool
	calls         atomic.Int64
	// memberCalls and planReads count the calls about members, and the reads and lists of plans without the watches.
	memberCalls atomic.Int64
	planReads   atomic.Int64
	// refuse makes the store turn calls away that it returns true for. It may be nil.
	refuse atomic.Pointer[func(r *http.Request) bool]
	// oddSpec replaces oddMark in responses, since the JSON library does not encode all that another writer's can.
	oddSpec atomic.Pointer[[]byte]
	url     string
}

func startStore(t *testing.T) *testStore {
	s := &testStore{}
	handler := s.server.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		switch {
		case strings.Contains(r.URL.Path, control.KindInstances):
			s.memberCalls.Add(1)
		case r.Method == http.MethodGet && !r.URL.Query().Has("watch"):
			s.planReads.Add(1)
		}
		if refuse := s.refuse.Load(); refuse != nil && (*refuse)(r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if s.unavailable.Load() {
			panic(http.ErrAbortHandler)
		}
		if s.silentWatches.Load() && r.URL.Query().Has("watch") {
			<-r.Context().Done()
			return
		}
		odd := s.oddSpec.Load()
		if odd == nil {
			handler.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(bytes.ReplaceAll(recorder.Body.Bytes(), []byte(oddMark), *odd))
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func (s *testStore) putPlan(t *testing.T, version uint64) {
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	text, err := json.Marshal(plan.Plan{Version: version})
	require.NoError(t, err)
	_, err = c.Put(context.Background(), "plans", "current", text)
	require.NoError(t, err)
}

// instance is a control node and the values that it passed to its callbacks.
type instance struct {
	node     *control.Node
	cancel   context.CancelFunc
	mutex    sync.Mutex
	plans    []uint64
	members  []facts.Member
	restored []facts.Member
}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func startInstance(t *testing.T, s *testStore, name string, role facts.Role, control netip.AddrPort, seeds ...netip.AddrPort) *instance {
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	i := &instance{}
	i.node = newNode(i, c, facts.Member{
		Instance: name, Role: role, DataCentre: "z", Service: "s", State: facts.StateServing, Control: control,
		Packets: netip.AddrPortFrom(control.Addr(), 1),
	}, seeds)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	t.Cleanup(cancel)
	require.NoError(t, i.node.Start(ctx, nil))
	return i
}

func newNode(i *instance, c *store.Client, self facts.Member, seeds []netip.AddrPort) *control.Node {
	return &control.Node{
		Self: self, Seeds: seeds, Store: c, Format: testFormat{}, Logger: slog.New(slog.DiscardHandler),
		OnMembers: func(_ time.Time, members []facts.Member, _ facts.Evacuations) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			i.members = members
		},
		OnPlan: func(p *plan.Plan) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			i.plans = append(i.plans, p.Version)
		},
		OnRestore: func(m facts.Member) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			i.restored = append(i.restored, m)
		},
	}
}

// seesServing reports whether the instance sees all named members as serving.
func (i *instance) seesServing(names ...string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, n := range names {
		found := false
		for _, m := range i.members {
			found = found || m.Instance == n && m.State == facts.StateServing
		}
		if !found {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitLimit, 5*time.Millisecond, description)
}

func TestInstancesDiscoverEachOtherThroughTheStore(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "members", func() bool { return e.seesServing("agent") && a.seesServing("entry") })
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && a.node.Plans.Version() == 3 })
}

// TestNewInstanceStartsWithoutTheStore checks that, while the store is unavailable, a new instance gets the members and
// the plan from its seeds, and that it writes its object once the store is available again.
func TestNewInstanceStartsWithoutTheStore(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	first := startInstance(t, s, "first", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return first.node.Plans.Version() == 3 })
	s.unavailable.Store(true)
	second := startInstance(t, s, "second", facts.RoleEntry, freeAddress(t), first.node.Self.Control)
	eventually(t, "members and plan", func() bool {
		return second.seesServing("first") && first.seesServing("second") && second.node.Plans.Version() == 3
	})
	s.unavailable.Store(false)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	eventually(t, "object of second in the store", func() bool {
		_, err := c.Get(context.Background(), control.KindInstances, "second")
		return err == nil
	})
}

// TestPlansReachAgentsThroughEntries checks that agents, which do not watch the store, get newer plans from the entries
// and that their plan version never decreases.
func TestPlansReachAgentsThroughEntries(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "first plan", func() bool { return a.node.Plans.Version() == 3 && e.seesServing("agent") })
	for v := uint64(4); v < 8; v++ {
		s.putPlan(t, v)
		eventually(t, "plan", func() bool { return a.node.Plans.Version() == v && e.node.Plans.Version() == v })
	}
	s.putPlan(t, 5)
	s.putPlan(t, 9)
	eventually(t, "newest plan", func() bool { return a.node.Plans.Version() == 9 })
	a.mutex.Lock()
	defer a.mutex.Unlock()
	require.IsIncreasing(t, a.plans)
}

// TestSilentWatchesDoNotHideAPlan checks that a new plan comes into force although watches return nothing and never end.
// Such watches once hid a plan (batinah scale-2 --seed 322058847168, CONFIG).
func TestSilentWatchesDoNotHideAPlan(t *testing.T) {
	s := startStore(t)
	s.silentWatches.Store(true)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	eventually(t, "first plan", func() bool { return e.node.Plans.Version() == 3 })
	s.putPlan(t, 4)
	before := s.calls.Load()
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 4 })
	require.Less(t, s.calls.Load()-before, int64(100))
}

// TestTargetIsRestoredFromTheStore checks that an instance that starts after all processes were lost reads the last known
// state of its target from the store.
func TestTargetIsRestoredFromTheStore(t *testing.T) {
	s := startStore(t)
	address := freeAddress(t)
	a := startInstance(t, s, "agent", facts.RoleAgent, address)
	target := facts.Target{ID: "t", StartedMs: 7, State: facts.TargetDraining, Slots: 4}
	a.node.Gossip.Do(context.Background(), func(now time.Time) { a.node.Gossip.SetTarget(now, target) })
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	eventually(t, "target in the store", func() bool {
		o, err := c.Get(context.Background(), control.KindInstances, "agent")
		var f facts.Fact
		if err != nil || json.Unmarshal(o.Spec, &f) != nil {
			return false
		}
		m, err := facts.DecodeMember(f)
		return err == nil && m.Target != nil && *m.Target == target
	})
	a.cancel()
	restarted := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "target restored", func() bool {
		restarted.mutex.Lock()
		defer restarted.mutex.Unlock()
		return len(restarted.restored) == 1 && restarted.restored[0].Target != nil && *restarted.restored[0].Target == target
	})
}

// Pattern: a large fleet replaces its instances, or returns after a loss of power, and every call to the store is paid
// for. An agent reads its own object, lists the members and writes its object once, when it knows its target; it gets the
// plan from a peer. Its end costs one call.
func TestLifeOfAgentCostsFourCalls(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	// An entry without a peer that answers would list the members, too.
	other := startInstance(t, s, "other", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && other.node.Plans.Version() == 3 })
	eventually(t, "entries", func() bool {
		return !e.node.Gossip.LastReply().IsZero() && !other.node.Gossip.LastReply().IsZero()
	})
	members, plans := s.memberCalls.Load(), s.planReads.Load()
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	target := facts.Target{ID: "t", StartedMs: 7, State: facts.TargetReady, Slots: 4}
	a.node.Gossip.Do(context.Background(), func(now time.Time) { a.node.Gossip.SetTarget(now, target) })
	eventually(t, "members and plan", func() bool {
		return e.seesServing("agent") && a.seesServing("entry") && a.node.Plans.Version() == 3
	})
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, int64(3), s.memberCalls.Load()-members)
	require.Zero(t, s.planReads.Load()-plans)
	target.State = facts.TargetGone
	a.node.Gossip.Do(context.Background(), func(now time.Time) { a.node.Gossip.SetTarget(now, target) })
	eventually(t, "object deleted", func() bool { return s.memberCalls.Load()-members == 4 })
	a.node.Registrar.Remove(context.Background())
	require.Equal(t, int64(4), s.memberCalls.Load()-members)
}

// A refusal or loss of the last call of an instance that stops left its object in the store. After a restart of all
// processes, the instance was in use again.
func TestInstanceThatStopsWhileTheStoreIsAwayIsRemoved(t *testing.T) {
	s := startStore(t)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	exists := func() bool {
		_, err := c.Get(context.Background(), control.KindInstances, "entry")
		return err == nil
	}
	eventually(t, "object", exists)
	s.unavailable.Store(true)
	removed := make(chan struct{})
	go func() {
		e.node.Registrar.Remove(context.Background())
		close(removed)
	}()
	time.Sleep(300 * time.Millisecond)
	s.unavailable.Store(false)
	<-removed
	require.False(t, exists())
}

// TestObjectsOfDeadInstancesAreRemoved checks that the object of an instance that stays down is removed once its
// retention time is over. An instance that returns later writes its object again.
func TestObjectsOfDeadInstancesAreRemoved(t *testing.T) {
	s := startStore(t)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	exists := func(name string) bool {
		_, err := c.Get(context.Background(), control.KindInstances, name)
		return err == nil
	}
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	stopped := startInstance(t, s, "dead", facts.RoleAgent, freeAddress(t))
	eventually(t, "both objects in the store", func() bool { return exists("dead") && e.seesServing("dead") })
	stopped.cancel()
	now := time.Now()
	eventually(t, "down", func() bool { return !e.seesServing("dead") })
	require.Empty(t, e.node.Registrar.CollectStale(context.Background(), now), "removed before the retention time")
	require.Equal(t, []string{"dead"}, e.node.Registrar.CollectStale(context.Background(), now.Add(2*control.DownRetention)))
	require.False(t, exists("dead"))
	require.True(t, exists("entry"))
}

// TestMalformedInstanceObjectsAreIgnored checks that malformed objects of other writers add no members and do not affect
// the valid objects.
func TestMalformedInstanceObjectsAreIgnored(t *testing.T) {
	s := startStore(t)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	for name, text := range map[string]string{
		"a": `7`, "b": `{"kind":"member","name":"other","body":"{}"}`, "c": `{"kind":"member","name":"c","body":"{"}`, "d": `{}`,
	} {
		_, err := c.Create(context.Background(), control.KindInstances, name, json.RawMessage(text))
		require.NoError(t, err)
	}
	first := startInstance(t, s, "first", facts.RoleEntry, freeAddress(t))
	second := startInstance(t, s, "second", facts.RoleEntry, freeAddress(t))
	eventually(t, "members", func() bool { return first.seesServing("second") && second.seesServing("first") })
	require.False(t, second.seesServing("c"))
}

// TestCallsToUnavailableStoreAreSpaced checks that an instance waits between calls to an unavailable store.
func TestCallsToUnavailableStoreAreSpaced(t *testing.T) {
	s := startStore(t)
	s.unavailable.Store(true)
	startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	time.Sleep(2 * time.Second)
	require.Less(t, s.calls.Load(), int64(60), "two loops wait at least 50 ms between calls, with growing delays")
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	_, err = c.List(context.Background(), "k", false)
	var unavailable *store.UnavailableError
	require.True(t, errors.As(err, &unavailable))
}

// Guards against a data race, which shows with the race detector: an entry changes its state while another goroutine looks for
// stale objects.
func TestStateChangesWhileStaleObjectsAreSought(t *testing.T) {
	s := startStore(t)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	eventually(t, "member", func() bool { return e.seesServing("entry") })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 50 {
			e.node.Gossip.Do(context.Background(), func(now time.Time) { e.node.Gossip.SetState(now, facts.StateServing) })
		}
	}()
	for range 50 {
		require.Empty(t, e.node.Registrar.CollectStale(context.Background(), time.Now()))
	}
	<-done
}
