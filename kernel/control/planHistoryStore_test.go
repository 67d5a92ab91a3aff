package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

func newHistoryWriter(s *copyStore, p *Plans) *planHistoryWriter {
	p.history.settled.Store(true)
	return &planHistoryWriter{Store: s.client(), Logger: slog.New(slog.DiscardHandler), Plans: p, IsWriter: func() bool { return true }}
}

// runFor makes the checks of d from now on, and returns when they end.
func (w *planHistoryWriter) runFor(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(historyPeriod) {
		w.step(context.Background(), now)
	}
	return now
}

// apply puts a plan in force that a watch without a gap brought.
func (w *planHistoryWriter) apply(t *testing.T, version uint64, services ...string) {
	w.Plans.applyObjects([]store.Object{planObject(t, version, services...)}, "store", false)
}

// runningFleet returns a writer whose plan 1 has given the route to service b for ten minutes. The store has no history.
func runningFleet(t *testing.T) (*copyStore, *planHistoryWriter) {
	s := &copyStore{}
	w := newHistoryWriter(s, newTestPlans())
	w.apply(t, 1, "b")
	w.Plans.current.Load().History.Since = time.Now().Add(-10 * time.Minute)
	return s, w
}

// writeBy makes a writer write once whose clock is ahead of that of the readers.
func (w *planHistoryWriter) writeBy(t *testing.T, s *copyStore, ahead time.Duration) {
	before := s.writes
	w.step(context.Background(), time.Now())
	require.Equal(t, before+1, s.writes)
	stored, err := plan.ParseStoredHistory(s.object.Spec)
	require.NoError(t, err)
	stored.SinceMs += ahead.Milliseconds()
	for i := range stored.Earlier {
		stored.Earlier[i].UntilMs += ahead.Milliseconds()
	}
	s.object.Spec, err = stored.Encode(time.Now())
	require.NoError(t, err)
}

// restart returns an instance that starts with a plan in the store beside the history, and whether its history is complete.
func restart(t *testing.T, s *copyStore, slow bool, version uint64, services ...string) (p *Plans, complete bool) {
	p = newTestPlans()
	p.Store = s.client()
	var inForce []*plan.Plan
	p.OnPlan = func(p *plan.Plan) { inForce = append(inForce, p) }
	if !slow {
		p.runHistoryRead(context.Background())
	}
	p.applyObjects([]store.Object{planObject(t, version, services...)}, "store", true)
	require.Len(t, inForce, 1, "the plan does not wait for the history")
	if slow {
		p.runHistoryRead(context.Background())
	}
	require.Same(t, p.Current(), inForce[len(inForce)-1])
	require.True(t, p.history.settled.Load())
	return p, p.Current().History.ReachesBack(time.Now(), time.Minute)
}

func earlierServices(p *Plans, after time.Duration) []string {
	return p.Current().History.EarlierServices(time.Now().Add(after), time.Minute, gue.Endpoint{})
}

// Failure: all instances are killed. Without the history of the plans before, dead flows are not reset for a minute, because
// agents of services that never had the route are unsure of them. A service that had it must still be asked, also if the
// clock of the writer differs by 5 s.
func TestHistorySurvivesTheLossOfAllInstances(t *testing.T) {
	for _, clock := range []time.Duration{0, 5 * time.Second, -5 * time.Second} {
		for _, slow := range []bool{false, true} {
			s, w := runningFleet(t)
			w.writeBy(t, s, clock)
			p, complete := restart(t, s, slow, 1, "b")
			require.True(t, complete, "no change")
			require.Empty(t, earlierServices(p, 0))
			w.apply(t, 2, "a")
			w.writeBy(t, s, clock)
			p, complete = restart(t, s, slow, 2, "a")
			require.True(t, complete, "change")
			require.Equal(t, []string{"b"}, earlierServices(p, 0))
			require.Equal(t, []string{"b"}, earlierServices(p, 64*time.Second), "until the last flow has ended")
			require.Empty(t, earlierServices(p, 2*time.Minute))
			reads := s.reads
			newHistoryWriter(s, p).runFor(time.Now(), time.Minute)
			require.Equal(t, reads, s.reads, "read at the start")
			require.LessOrEqual(t, s.writes, 3)

			w = newHistoryWriter(s, newTestPlans())
			w.apply(t, 2, "a")
			w.apply(t, 3, "a", "c")
			w.step(context.Background(), time.Now())
			p, complete = restart(t, s, slow, 3, "a", "c")
			require.True(t, complete, "written by an instance that did not read the history")
			require.Equal(t, []string{"b"}, earlierServices(p, 0))
		}
	}
}

// Guards against a reset of live flows because a history is taken for complete that is not that of the plan.
func TestHistoryIsCompleteOnlyIfItFits(t *testing.T) {
	for _, slow := range []bool{false, true} {
		_, complete := restart(t, &copyStore{}, slow, 2, "a")
		require.False(t, complete, "missing")
		for _, broken := range []string{`[7]`, `{}`, `{"version":1}`, `{"version":2,"sinceMs":1,"oldestVersion":3}`} {
			s := &copyStore{object: store.Object{Revision: 5, Spec: json.RawMessage(broken)}}
			_, complete = restart(t, s, slow, 2, "a")
			require.False(t, complete, broken)
		}
		s, w := runningFleet(t)
		w.apply(t, 3, "a")
		w.step(context.Background(), time.Now())
		_, complete = restart(t, s, slow, 4, "a")
		require.True(t, complete, "of a lower version with the same services")
		p, complete := restart(t, s, slow, 4, "c")
		require.False(t, complete, "the share of service a was removed while no instance ran")
		require.Equal(t, []string{"b"}, earlierServices(p, 0))
		_, complete = restart(t, s, slow, 2, "a")
		require.False(t, complete, "of a higher version")
	}
	s, w := runningFleet(t)
	w.step(context.Background(), time.Now())
	p := newTestPlans()
	p.Store = s.client()
	p.applyObjects([]store.Object{planObject(t, 1, "b")}, "store", true)
	p.applyObjects([]store.Object{planObject(t, 3, "b")}, "store", true)
	p.runHistoryRead(context.Background())
	require.False(t, p.Current().History.ReachesBack(time.Now(), time.Minute), "plan 2 was missed after the start")
}

// Guards against a write for each plan, a write that hides what another writer knew, and an object of any size.
func TestHistoryIsWrittenSeldom(t *testing.T) {
	s := &copyStore{}
	w := newHistoryWriter(s, newTestPlans())
	w.apply(t, 1, "b")
	now := w.runFor(time.Now(), plan.HistoryRetention-historyPeriod)
	require.Zero(t, s.writes, "not complete")
	now = w.runFor(now, time.Hour)
	require.Equal(t, 1, s.reads)
	require.Equal(t, 1, s.writes)
	for version := range uint64(60) {
		w.apply(t, 2+version, "b")
		now = w.runFor(now, 2*time.Second)
	}
	require.LessOrEqual(t, s.writes, 3, "once a minute")
	before := s.writes
	w.apply(t, 70, "a")
	now = w.runFor(now, 2*historyPeriod)
	require.Equal(t, before+1, s.writes, "a service was removed")

	w.apply(t, 71, "a", "b")
	now = w.runFor(now, 2*historyPeriod)
	require.Equal(t, before+2, s.writes, "a service was added")

	before = s.writes
	other := newHistoryWriter(s, newTestPlans())
	other.apply(t, 71, "a", "b")
	other.runFor(now, time.Hour)
	require.Equal(t, before, s.writes, "the history in the store is longer than the own one")
	other.Plans.applyObjects([]store.Object{planObject(t, 73, "a", "b")}, "store", true)
	other.runFor(now, 2*historyPeriod)
	require.Equal(t, before+1, s.writes, "plan 72 may be missing")
	_, complete := restart(t, s, false, 73, "a", "b")
	require.False(t, complete)
	w.runFor(now, time.Hour)
	w.apply(t, 72, "d")
	w.runFor(now, time.Hour)
	require.Equal(t, before+2, s.writes, "in conflict")
	require.Contains(t, string(s.object.Spec), `"version":73,`, "the higher version wins")

	h := &plan.History{Since: now, Earlier: map[gue.Endpoint][]plan.EarlierService{}}
	for n := range 6100 {
		h.Earlier[gue.Endpoint{Port: uint16(n)}] = []plan.EarlierService{{Service: fmt.Sprint("service-", n), Until: now.Add(time.Duration(n))}}
	}
	w.Plans.current.Store(&plan.Plan{Version: 80, History: h})
	w.runFor(now, time.Hour)
	require.Equal(t, before+3, s.writes)
	require.LessOrEqual(t, len(s.object.Spec), plan.MaxStoredHistoryBytes)
	stored, err := plan.ParseStoredHistory(s.object.Spec)
	require.NoError(t, err)
	require.Greater(t, len(stored.Earlier), 400)
	require.GreaterOrEqual(t, stored.SinceMs, now.UnixMilli(), "incomplete")
}

// Failure: the store turns calls away. They must be repeated with growing delays, and only by the writer.
func TestHistoryWriteIsRepeatedWithBackoff(t *testing.T) {
	s, w := runningFleet(t)
	s.status = http.StatusServiceUnavailable
	w.IsWriter = func() bool { return false }
	now := w.runFor(time.Now(), time.Minute)
	require.Zero(t, s.reads)
	w.Plans.history.settled.Store(false)
	w.IsWriter = func() bool { return true }
	now = w.runFor(now, time.Minute)
	require.Zero(t, s.reads, "this instance has not read what the store holds")
	w.Plans.history.settled.Store(true)
	now = w.runFor(now, time.Minute)
	require.Greater(t, s.reads, 10)
	require.LessOrEqual(t, s.reads, 32, "2 s apart in the end")
	s.status = 0
	w.runFor(now, time.Minute)
	require.Equal(t, 1, s.writes)
}

// Guards against a plan without the stored history that replaces the same plan with it, because two goroutines deliver them,
// and against an entry in the audit trail for a plan that did not change.
func TestPlanWithTheLongerHistoryStays(t *testing.T) {
	now := time.Now()
	short := &plan.Plan{Version: 2, History: &plan.History{Since: now}}
	long := &plan.Plan{Version: 2, History: &plan.History{Since: now.Add(-time.Minute)}}
	require.True(t, short.Precedes(long))
	require.False(t, long.Precedes(short))
	require.True(t, long.Precedes(&plan.Plan{Version: 3}))
	a := &Auditor{Logger: slog.New(slog.DiscardHandler)}
	a.RecordPlan(now, short)
	a.RecordPlan(now, long)
	require.Empty(t, a.pending)
}
