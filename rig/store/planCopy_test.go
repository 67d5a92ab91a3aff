package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

func (s *testStore) client(t *testing.T) *store.Client {
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	return c
}

// putLargePlan writes a plan of 1,450 routes.
func (s *testStore) putLargePlan(t *testing.T, version uint64) {
	p := plan.Plan{Version: version}
	for n := range 1450 {
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprint("route-", n*7919%10007), Address: gue.Endpoint{Address: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 80},
			Shares: []plan.Share{{Service: fmt.Sprint("service-", n%20), Weight: 1}},
		})
	}
	text, err := json.Marshal(p)
	require.NoError(t, err)
	_, err = s.client(t).Put(context.Background(), "plans", "current", text)
	require.NoError(t, err)
}

// copyVersion returns the version of the copy in the store, or 0 if there is none.
func (s *testStore) copyVersion(t *testing.T) uint64 {
	o, err := s.client(t).Get(context.Background(), control.KindPlanCopy, "plan")
	if err != nil {
		return 0
	}
	c, err := plan.ParseCopy(o.Spec)
	require.NoError(t, err)
	return c.Version
}

func (s *testStore) refuseCalls(refuse func(r *http.Request) bool) { s.refuse.Store(&refuse) }

func isPlanRead(r *http.Request) bool { return strings.Contains(r.URL.Path, "/plans") }

func isCopyRead(r *http.Request) bool { return strings.Contains(r.URL.Path, "/"+control.KindPlanCopy) }

func (i *instance) plansInForce() []uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]uint64(nil), i.plans...)
}

// startWriter starts an entry that puts a large plan of version 3 in force and writes the copy.
func startWriter(t *testing.T, s *testStore) *instance {
	s.putLargePlan(t, 3)
	e := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	eventually(t, "copy", func() bool { return s.copyVersion(t) == 3 })
	return e
}

// Guards against an entry that, after all have lost power, waits for the plan although there is a copy, that stays with an
// older copy, or that starts without a plan because the store turns the read of the copy away.
func TestEntryStartsWithTheCopy(t *testing.T) {
	s := startStore(t)
	startWriter(t, s).cancel()
	s.refuseCalls(func(r *http.Request) bool { return isPlanRead(r) && r.Method == http.MethodGet })
	s.putLargePlan(t, 4)
	e := startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t))
	eventually(t, "copy in force", func() bool { return len(e.plansInForce()) == 1 })
	s.refuseCalls(isCopyRead)
	eventually(t, "plan in force", func() bool { return e.node.Plans.Version() == 4 })
	require.Equal(t, []uint64{3, 4}, e.plansInForce())
	e = startInstance(t, s, "entry-3", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan in force without the copy", func() bool { return e.node.Plans.Version() == 4 })
	require.Equal(t, []uint64{4}, e.plansInForce())
}

// Failure: the writer leaves after it has put a plan in force and before it has written the copy. Another entry must write it.
func TestNextWriterWritesTheCopy(t *testing.T) {
	s := startStore(t)
	first := startWriter(t, s)
	second := startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t), first.node.Self.Control)
	startInstance(t, s, "entry-3", facts.RoleEntry, freeAddress(t), first.node.Self.Control)
	eventually(t, "members", func() bool {
		return second.seesServing("entry-1", "entry-3") && first.seesServing("entry-2", "entry-3")
	})
	s.refuseCalls(isCopyRead)
	s.putLargePlan(t, 4)
	eventually(t, "plan", func() bool { return first.node.Plans.Version() == 4 && second.node.Plans.Version() == 4 })
	first.cancel()
	s.refuseCalls(func(*http.Request) bool { return false })
	eventually(t, "copy of the next writer", func() bool { return s.copyVersion(t) == 4 })
}

// thinLink limits the bytes that all connections through it deliver together to 10 Mbit/s.
type thinLink struct {
	mutex sync.Mutex
	free  time.Time
}

type thinConn struct {
	net.Conn
	link *thinLink
}

func (c thinConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 1400)])
	c.link.mutex.Lock()
	// Up to 3 ms of sleeps that took longer than requested are made up for.
	if earliest := time.Now().Add(-3 * time.Millisecond); c.link.free.Before(earliest) {
		c.link.free = earliest
	}
	c.link.free = c.link.free.Add(time.Duration(n) * time.Second / (10_000_000 / 8))
	free := c.link.free
	c.link.mutex.Unlock()
	time.Sleep(time.Until(free))
	return n, err
}

// Guards against a copy that is not small beside the plan, or that comes no earlier on a thin link. Shows what a start needs.
func TestCopyIsSmallAndEarly(t *testing.T) {
	s := startStore(t)
	startWriter(t, s).cancel()
	read := func(object string) int {
		response, err := http.Get(s.url + "/objects/" + object)
		require.NoError(t, err)
		defer func() { require.NoError(t, response.Body.Close()) }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return len(body)
	}
	whole, compact := read("plans/current"), read(control.KindPlanCopy+"/plan")
	require.Less(t, compact, whole/5)

	s.refuseCalls(isCopyRead)
	before := s.startOnThinLink(t, 1)[0]
	s.refuseCalls(func(*http.Request) bool { return false })
	times := s.startOnThinLink(t, 2)
	t.Logf("1,450 routes: plan %d bytes, copy %d bytes; on 10 Mbit/s without the copy %v, with it %v and the plan itself %v",
		whole, compact, before, times[0], times[1])
}

// startOnThinLink starts an entry whose calls of the store share a link of 10 Mbit/s. It returns after how much time the
// given number of plans came into force.
func (s *testStore) startOnThinLink(t *testing.T, plans int) []time.Duration {
	link := &thinLink{}
	c := s.client(t)
	c.HTTP.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return thinConn{Conn: conn, link: link}, err
	}
	inForce := make(chan time.Duration, plans)
	n := newNode(&instance{}, c, facts.Member{Instance: "entry-2", Role: facts.RoleEntry, Control: freeAddress(t)}, nil)
	started := time.Now()
	n.OnPlan = func(*plan.Plan) { inForce <- time.Since(started) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	require.NoError(t, n.Start(ctx, nil))
	var all []time.Duration
	for range plans {
		select {
		case d := <-inForce:
			all = append(all, d.Round(time.Millisecond))
		case <-time.After(waitLimit):
			require.Fail(t, "the copy came after the plan")
		}
	}
	return all
}
