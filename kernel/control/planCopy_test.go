package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// copyStore is a store of one object without a network. It is its own dialect.
type copyStore struct {
	plainDialect
	object        store.Object
	status        int
	reads, writes int
	// beforeWrite runs before a write takes effect.
	beforeWrite func()
}

func (s *copyStore) Encode(c store.Call) (method, target string, body []byte, err error) {
	method = map[store.Operation]string{store.OperationGet: http.MethodGet, store.OperationCreate: http.MethodPost}[c.Operation]
	if method == "" {
		method = http.MethodPut
	}
	return method, "/" + strconv.FormatUint(c.Revision, 10), c.Spec, nil
}

func (s *copyStore) DecodeObject(_ string, body []byte) (o store.Object, err error) {
	return o, json.Unmarshal(body, &o)
}

func (s *copyStore) RoundTrip(r *http.Request) (*http.Response, error) {
	status := http.StatusOK
	revision, _ := strconv.ParseUint(r.URL.Path[1:], 10, 64)
	if r.Method == http.MethodGet {
		s.reads++
	} else {
		s.writes++
		if s.beforeWrite != nil {
			s.beforeWrite()
		}
	}
	switch {
	case s.status != 0:
		status = s.status
	case r.Method == http.MethodGet && s.object.Revision == 0:
		status = http.StatusNotFound
	case r.Method != http.MethodGet && s.object.Revision != revision:
		status = http.StatusConflict
	case r.Method != http.MethodGet:
		s.object.Revision++
		s.object.Spec, _ = io.ReadAll(r.Body)
	}
	body, err := json.Marshal(s.object)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, err
}

func (s *copyStore) client() *store.Client {
	return &store.Client{BaseURL: "http://store", Dialect: s, HTTP: &http.Client{Transport: s}}
}

func encodeCopy(t *testing.T, p *plan.Plan, change func(c *plan.Copy)) json.RawMessage {
	update, _, err := plan.EncodeUpdate(nil, p, nil)
	require.NoError(t, err)
	c := plan.NewCopy(p.Version, update)
	change(&c)
	spec, err := json.Marshal(c)
	require.NoError(t, err)
	return spec
}

func unchanged(*plan.Copy) {}

// startWithCopy returns an instance that has read the given content of the copy's object, and the versions put in force.
func startWithCopy(spec json.RawMessage) (*Plans, *[]uint64) {
	var inForce []uint64
	p := newTestPlans()
	p.OnPlan = func(p *plan.Plan) { inForce = append(inForce, p.Version) }
	s := copyStore{object: store.Object{Revision: 5, Spec: spec}}
	p.Store = s.client()
	p.runCopyRead(context.Background())
	return p, &inForce
}

// Guards against a start that uses a copy with a wrong content, or one that another build has written, and against a copy
// that is reported to peers or sent to them as a plan.
func TestCopyIsUsedOnlyIfItIsIntact(t *testing.T) {
	large := routesPlan(2, 1450)
	other, _, err := plan.EncodeUpdate(nil, routesPlan(2, 1449), nil)
	require.NoError(t, err)
	for name, change := range map[string]func(c *plan.Copy){
		"checksum": func(c *plan.Copy) { c.Update = other }, "otherBuild": func(c *plan.Copy) { c.Fields = "f" },
		"otherVersion": func(c *plan.Copy) { c.Version++ }, "small": func(c *plan.Copy) { c.Update = nil },
		"update": func(c *plan.Copy) { *c = plan.NewCopy(2, c.Update[:99]) },
	} {
		_, inForce := startWithCopy(encodeCopy(t, large, change))
		require.Empty(t, *inForce, name)
	}
	_, inForce := startWithCopy([]byte(`[7]`))
	require.Empty(t, *inForce)
	p, inForce := startWithCopy(encodeCopy(t, large, unchanged))
	require.Equal(t, []uint64{2}, *inForce)
	requirePlan(t, large, p.inForce())
	require.True(t, p.inForce().Provisional)
	require.Zero(t, p.Version())
	reply, err := p.Handlers()[MethodPlan](context.Background(), json.RawMessage(`{"pieces":true}`))
	require.NoError(t, err)
	require.Zero(t, reply)
}

// Guards against a start that fails or waits without the copy, and a copy that replaces a plan or precedes a known newer one.
func TestCopyNeverReplacesAPlan(t *testing.T) {
	object := store.Object{Revision: 5, Spec: encodeCopy(t, routesPlan(2, 300), unchanged)}
	for reason, s := range map[string]*copyStore{
		"missing": {}, "failed": {status: http.StatusTooManyRequests}, "late": {object: object}, "older": {object: object},
	} {
		p := newTestPlans()
		p.Store = s.client()
		switch reason {
		case "older":
			p.ObserveVersion(3, netip.AddrPort{})
		case "late":
			p.applyObjects([]store.Object{planObject(t, 1, "a")}, "store", true)
		}
		used := p.current.Load()
		p.runCopyRead(context.Background())
		require.Equal(t, 1, s.reads, reason)
		require.Same(t, used, p.inForce(), reason)
	}
}

// Guards against a return to a plan that is older than the copy, a plan of the same version that the copy hides, and a
// history that lacks the services of the copy or hides the plans between the two.
func TestPlanSucceedsCopy(t *testing.T) {
	copied := &plan.Plan{Version: 3, Routes: []plan.Route{{Shares: []plan.Share{{Service: "c"}}}}}
	copied.Index()
	spec := encodeCopy(t, copied, unchanged)
	p, inForce := startWithCopy(spec)
	since := p.inForce().History.Since
	p.ObserveVersion(2, peerAddress(1))
	require.Zero(t, p.NewestVersion())
	p.applyObjects([]store.Object{planObject(t, 2, "a")}, "store", true)
	p.contradictCopy(store.Page{Revision: 4, Objects: []store.Object{planObject(t, 2, "a")}})
	require.Equal(t, []uint64{3}, *inForce, "the listing is older than the copy")
	p.applyObjects([]store.Object{planObject(t, 3, "a")}, "store", true)
	require.Equal(t, []uint64{3, 3}, *inForce)
	require.False(t, p.inForce().Provisional)
	h := p.Current().History
	require.Equal(t, since, h.Since)
	require.Equal(t, []string{"c"}, h.EarlierServices(time.Now(), 0, gue.Endpoint{}))

	p, _ = startWithCopy(spec)
	since = p.inForce().History.Since
	p.applyObjects([]store.Object{planObject(t, 5, "a")}, "store", true)
	h = p.Current().History
	require.True(t, h.Since.After(since) && h.OldestVersion == 5, "plan 4 may be missing")
	require.Equal(t, []string{"c"}, h.EarlierServices(time.Now(), 0, gue.Endpoint{}))

	p, inForce = startWithCopy(spec)
	since = p.inForce().History.Since
	p.contradictCopy(store.Page{Revision: 5, Objects: []store.Object{planObject(t, 2, "a")}})
	require.Equal(t, []uint64{3, 2}, *inForce, "the copy is newer than the plan in a later listing, so it is wrong")
	require.True(t, p.Current().History.Since.After(since))
}

// Guards against a plan that goes back at an entry that starts: between its reads of the copy and of the plan the store returns
// from a copy of its own, in which the plan is older.
func TestReturnOfTheStoreDoesNotContradictTheCopy(t *testing.T) {
	p, inForce := startWithCopy(encodeCopy(t, routesPlan(3, 1), unchanged))
	p.copy.position.Era = 1
	p.contradictCopy(store.Page{Era: 2, Revision: 9, Objects: []store.Object{planObject(t, 2, "a")}})
	require.Equal(t, []uint64{3}, *inForce)
}

func newCopyWriter(s *copyStore, p *plan.Plan) *planCopyWriter {
	w := &planCopyWriter{Store: s.client(), Logger: slog.New(slog.DiscardHandler), Plans: newTestPlans(), IsWriter: func() bool { return true }}
	w.Plans.current.Store(p)
	return w
}

// runFor makes the checks of d from now on, and returns when they end.
func (w *planCopyWriter) runFor(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(copyPeriod) {
		w.step(context.Background(), now)
	}
	return now
}

// Guards against more than one write for a change, a write of a plan that a newer one has replaced, a copy that is never
// written while plans follow each other, and one of an old plan that stays beside a small one.
func TestCopyIsWrittenOnceForEachChange(t *testing.T) {
	s := &copyStore{}
	w := newCopyWriter(s, routesPlan(1, minCopyRoutes))
	now := w.runFor(time.Unix(0, 0), copyDelay/2)
	w.Plans.current.Store(routesPlan(2, minCopyRoutes))
	now = w.runFor(now, copyDelay)
	require.Zero(t, s.reads+s.writes)
	now = w.runFor(now, copyPeriod)
	require.Equal(t, 1, s.writes)
	now = w.runFor(now, time.Minute)
	require.Equal(t, 1, s.reads)
	require.Equal(t, 1, s.writes)
	for version := range uint64(4) {
		w.Plans.current.Store(routesPlan(3+version, minCopyRoutes))
		now = w.runFor(now, copyDelay-copyPeriod)
	}
	require.Equal(t, 2, s.writes)
	w.Plans.current.Store(routesPlan(9, minCopyRoutes-1))
	now = w.runFor(now, time.Minute)
	w.Plans.current.Store(routesPlan(10, minCopyRoutes-1))
	w.runFor(now, time.Minute)
	require.Equal(t, 1, s.reads)
	require.Equal(t, 3, s.writes)
	c, err := plan.ParseCopy(s.object.Spec)
	require.NoError(t, err)
	require.Equal(t, plan.Copy{Version: 9}, c)
}

// Guards against a copy that an older one replaces: a writer is cut off from the store while that returns and assigns the
// revision that the writer knows to the copy of another writer.
func TestWriterThatWasCutOffReadsTheCopyAgain(t *testing.T) {
	s := &copyStore{}
	w := newCopyWriter(s, routesPlan(1, minCopyRoutes))
	now := w.runFor(time.Now(), 2*copyDelay)
	require.Equal(t, 1, s.writes)
	s.object.Spec = encodeCopy(t, routesPlan(9, minCopyRoutes), unchanged)
	w.Plans.current.Store(routesPlan(2, minCopyRoutes))
	w.runFor(now.Add(time.Minute), 2*copyDelay)
	require.Equal(t, 1, s.writes)
	require.Equal(t, 2, s.reads)
}

// Failure: the store turns writes away. The write must be repeated with growing delays, and only for the latest plan.
func TestWriteIsRepeatedWithBackoff(t *testing.T) {
	s := &copyStore{status: http.StatusServiceUnavailable}
	w := newCopyWriter(s, routesPlan(1, minCopyRoutes))
	now := w.runFor(time.Unix(0, 0), time.Minute)
	require.Greater(t, s.reads, 10)
	require.LessOrEqual(t, s.reads, 32, "2 s apart in the end")
	w.Plans.current.Store(routesPlan(2, minCopyRoutes))
	s.status = 0
	w.runFor(now, time.Minute)
	require.Equal(t, 1, s.writes)
	require.Contains(t, string(s.object.Spec), `"version":2,`)
}

// Failure: two instances take themselves for the writer, in either order. The higher version must win. Then the writer
// leaves before it has written a plan, and the next one must write it, also in place of a copy that is broken.
func TestHigherVersionWinsAndNextWriterTakesOver(t *testing.T) {
	s := &copyStore{}
	behind, ahead := newCopyWriter(s, routesPlan(1, minCopyRoutes)), newCopyWriter(s, routesPlan(2, minCopyRoutes))
	s.beforeWrite = func() {
		s.beforeWrite = nil
		ahead.runFor(time.Unix(0, 0), time.Minute)
	}
	now := behind.runFor(time.Unix(0, 0), time.Minute)
	require.Contains(t, string(s.object.Spec), `"version":2,`)
	require.Equal(t, 2, s.writes, "one of them in conflict")

	lost := true
	behind.IsWriter, ahead.IsWriter = func() bool { return lost }, func() bool { return false }
	for _, w := range []*planCopyWriter{behind, ahead} {
		w.Plans.current.Store(routesPlan(3, minCopyRoutes))
	}
	lost = false
	now = ahead.runFor(now, time.Minute)
	require.Equal(t, 2, s.writes)
	s.object.Spec = []byte(`{"version":99,"update":"AAAA"}`)
	ahead.IsWriter = func() bool { return true }
	ahead.runFor(now, time.Minute)
	require.Contains(t, string(s.object.Spec), `"version":3,`)
}
