package store

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// patience bounds what these tests wait for; it is no measure of speed.
const patience = 30 * time.Second

// testFormat reads plans that are written as the kernel holds them.
type testFormat struct{}

func (testFormat) Location() (kind, name string) { return "plans", "current" }

func (testFormat) Decode(spec []byte) (*plan.Plan, error) {
	p := &plan.Plan{}
	if err := json.Unmarshal(spec, p); err != nil {
		return nil, err
	}
	p.Index()
	return p, nil
}

// platformStore is the stand-in behind a switch that turns it off.
type platformStore struct {
	server Server
	off    atomic.Bool
	// mute makes watches hear nothing.
	mute  atomic.Bool
	calls atomic.Int64
	url   string
}

func startStore(t *testing.T) *platformStore {
	s := &platformStore{}
	handler := s.server.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		if s.off.Load() {
			panic(http.ErrAbortHandler)
		}
		if s.mute.Load() && r.URL.Query().Has("watch") {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func (s *platformStore) putPlan(t *testing.T, version uint64) {
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	text, err := json.Marshal(plan.Plan{Version: version})
	require.NoError(t, err)
	_, err = c.Put(context.Background(), "plans", "current", text)
	require.NoError(t, err)
}

// instance is a node with what it was told.
type instance struct {
	node    *control.Node
	cancel  context.CancelFunc
	mutex   sync.Mutex
	plans   []uint64
	members []facts.Member
	own     []facts.Member
}

func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func startInstance(t *testing.T, s *platformStore, name string, role facts.Role, control netip.AddrPort, seeds ...netip.AddrPort) *instance {
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
		OnMembers: func(_ time.Time, members []facts.Member) {
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
			i.own = append(i.own, m)
		},
	}
}

func (i *instance) knows(names ...string) bool {
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, 5*time.Millisecond, what)
}

func TestInstancesFindEachOtherInTheStore(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "members", func() bool { return e.knows("agent") && a.knows("entry") })
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && a.node.Plans.Version() == 3 })
}

// With the store away a new instance learns members and plan from its seeds, and its entry is there after the store's return.
func TestNewInstanceStartsWithoutTheStore(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	first := startInstance(t, s, "first", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return first.node.Plans.Version() == 3 })
	s.off.Store(true)
	second := startInstance(t, s, "second", facts.RoleEntry, freeAddress(t), first.node.Self.Control)
	eventually(t, "members and plan", func() bool {
		return second.knows("first") && first.knows("second") && second.node.Plans.Version() == 3
	})
	s.off.Store(false)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	eventually(t, "entry in the store", func() bool {
		_, err := c.Get(context.Background(), control.KindInstances, "second")
		return err == nil
	})
}

// An agent has no watch of its own: it hears of a newer plan from the entries, and never goes back.
func TestPlansReachAgentsThroughEntries(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "first plan", func() bool { return a.node.Plans.Version() == 3 && e.knows("agent") })
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

// Watches may hear nothing and never end; the plan is in force all the same (batinah scale-2 --seed 322058847168, CONFIG).
func TestSilentWatchesDoNotHideAPlan(t *testing.T) {
	s := startStore(t)
	s.mute.Store(true)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	eventually(t, "first plan", func() bool { return e.node.Plans.Version() == 3 })
	s.putPlan(t, 4)
	before := s.calls.Load()
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 4 })
	require.Less(t, s.calls.Load()-before, int64(100))
}

// After all processes were lost, an instance finds in the store what it knew of its target.
func TestTargetIsRestoredFromTheStore(t *testing.T) {
	s := startStore(t)
	address := freeAddress(t)
	a := startInstance(t, s, "agent", facts.RoleAgent, address)
	target := facts.Target{ID: "t", StartedMs: 7, State: facts.TargetDraining, Slots: 4}
	a.node.Gossip.Do(context.Background(), func(now time.Time) { a.node.Gossip.SetTarget(now, target) })
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	eventually(t, "written", func() bool {
		o, err := c.Get(context.Background(), control.KindInstances, "agent")
		var f facts.Fact
		if err != nil || json.Unmarshal(o.Spec, &f) != nil {
			return false
		}
		m, err := facts.DecodeMember(f)
		return err == nil && m.Target != nil && *m.Target == target
	})
	a.cancel()
	again := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	eventually(t, "restored", func() bool {
		again.mutex.Lock()
		defer again.mutex.Unlock()
		return len(again.own) == 1 && again.own[0].Target != nil && *again.own[0].Target == target
	})
}

// An instance that is gone for good leaves no entry behind; one that is back writes its own anew.
func TestEntriesOfDeadInstancesAreRemoved(t *testing.T) {
	s := startStore(t)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	exists := func(name string) bool {
		_, err := c.Get(context.Background(), control.KindInstances, name)
		return err == nil
	}
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	dead := startInstance(t, s, "dead", facts.RoleAgent, freeAddress(t))
	eventually(t, "both", func() bool { return exists("dead") && e.knows("dead") })
	dead.cancel()
	now := time.Now()
	eventually(t, "down", func() bool { return !e.knows("dead") })
	require.Empty(t, e.node.Registrar.CollectStale(context.Background(), now), "its time is not up")
	require.Equal(t, []string{"dead"}, e.node.Registrar.CollectStale(context.Background(), now.Add(2*control.DownRetention)))
	require.False(t, exists("dead"))
	require.True(t, exists("entry"))
}

// Objects of other writers name no member, and the others hold.
func TestOddObjectsNameNoMember(t *testing.T) {
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
	eventually(t, "members", func() bool { return first.knows("second") && second.knows("first") })
	require.False(t, second.knows("c"))
}

// Instances whose store is away wait between calls.
func TestStoreThatIsAwayIsNotFlooded(t *testing.T) {
	s := startStore(t)
	s.off.Store(true)
	startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	time.Sleep(2 * time.Second)
	require.Less(t, s.calls.Load(), int64(60), "two loops that wait 50 ms at least, and longer each time")
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	_, err = c.List(context.Background(), "k")
	var unavailable *store.UnavailableError
	require.True(t, errors.As(err, &unavailable))
}
