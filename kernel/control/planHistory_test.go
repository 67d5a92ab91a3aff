package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// jsonFormat decodes plans from their own JSON encoding.
type jsonFormat struct{}

func (jsonFormat) Location() (kind, name string) { return "config", "main" }

func (jsonFormat) EvacuationsKind() string { return "evacuations" }

func (jsonFormat) Decode(spec []byte, _ *plan.Steps) (*plan.Plan, error) {
	p := &plan.Plan{}
	err := json.Unmarshal(spec, p)
	p.Index()
	return p, err
}

func newTestPlans() *Plans {
	p := &Plans{Format: jsonFormat{}, Logger: slog.New(slog.DiscardHandler), OnPlan: func(*plan.Plan) {}}
	p.prepare()
	return p
}

// planObject returns the store object of a plan that gives services to the zero address.
func planObject(t *testing.T, version uint64, services ...string) store.Object {
	var shares []plan.Share
	for _, s := range services {
		shares = append(shares, plan.Share{Service: s})
	}
	spec, err := json.Marshal(plan.Plan{Version: version, Routes: []plan.Route{{Shares: shares}}})
	require.NoError(t, err)
	return store.Object{Kind: "config", Name: "main", Revision: version, Spec: spec}
}

// Guards against a history without the plans that came in quick succession, and against one that hides a gap: after a
// listing, and after a plan that could not be decoded.
func TestHistoryFollowsTheStore(t *testing.T) {
	p := newTestPlans()
	p.applyObjects([]store.Object{planObject(t, 1, "a")}, "store", true)
	since := p.Current().History.Since
	p.applyObjects([]store.Object{planObject(t, 2, "b"), planObject(t, 3, "c"), planObject(t, 4, "d")}, "store", false)
	require.Equal(t, uint64(4), p.Version())
	h := p.Current().History
	require.Equal(t, since, h.Since)
	require.ElementsMatch(t, []string{"a", "b", "c"}, h.EarlierServices(time.Now(), 0, gue.Endpoint{}))
	p.applyObjects([]store.Object{planObject(t, 4, "d")}, "store", true)
	require.Equal(t, since, p.Current().History.Since, "no plan is missing")
	p.applyObjects([]store.Object{planObject(t, 6, "a")}, "store", true)
	require.Equal(t, uint64(6), p.Current().History.OldestVersion)
	broken := planObject(t, 7, "a")
	broken.Spec = []byte("{")
	p.applyObjects([]store.Object{broken, planObject(t, 8, "a")}, "store", false)
	require.Equal(t, uint64(8), p.Current().History.OldestVersion)
	require.ElementsMatch(t, []string{"b", "c", "d"}, p.Current().History.EarlierServices(time.Now(), 0, gue.Endpoint{}))
}

// Guards against a reply without the history, and against an instance that takes its plan for the newest although a peer
// has reported a newer one.
func TestPlanReplyCarriesTheHistory(t *testing.T) {
	p := newTestPlans()
	p.applyObjects([]store.Object{planObject(t, 1, "a"), planObject(t, 2, "b")}, "store", true)
	result, err := p.Handlers()[MethodPlan](context.Background(), json.RawMessage(`{"pieces":true}`))
	require.NoError(t, err)
	require.Len(t, result.(PlanReply).History.Earlier, 1)
	p.ObserveVersion(5, netip.AddrPort{})
	p.ObserveVersion(4, netip.AddrPort{})
	require.Equal(t, uint64(5), p.NewestVersion())
}

// Pattern: plans of 1,450 routes come in quick succession, and one reply of the store holds eight of them. On a core of
// 0.088 all of them were decoded, with pauses, so that the plan came into force after five seconds. It must be there
// within 3 s, and only the latest ones are decoded.
func TestSuccessionOfLargePlansIsTakenInTime(t *testing.T) {
	p := newTestPlans()
	decoded := 0
	p.Format = countingFormat{decoded: &decoded}
	var objects []store.Object
	for version := range uint64(8) {
		spec, err := json.Marshal(routesPlan(version+1, 1450))
		require.NoError(t, err)
		objects = append(objects, store.Object{Kind: "config", Name: "main", Revision: version + 1, Spec: spec})
	}
	p.applyObjects(objects, "store", false)
	require.Equal(t, uint64(8), p.Version())
	require.Equal(t, maxDecodedPlans, decoded)
	require.Equal(t, uint64(6), p.Current().History.OldestVersion)
}

// countingFormat counts the plans that it decodes.
type countingFormat struct {
	jsonFormat

	decoded *int
}

func (c countingFormat) Decode(spec []byte, s *plan.Steps) (*plan.Plan, error) {
	*c.decoded++
	return c.jsonFormat.Decode(spec, s)
}
