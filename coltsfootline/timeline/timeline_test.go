package timeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// start is the time that the records of the tests are relative to.
var start = time.Date(2026, 5, 4, 7, 0, 0, 0, time.UTC)

// line returns a log line. The attributes are JSON members with a leading comma.
func line(afterMs int, instance string, e events.Event, attributes string) string {
	at := start.Add(time.Duration(afterMs) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"time":"%s","instance":"%s","event":%d,"eventName":"%s"%s}`, at, instance, e.Number, e.Name, attributes)
}

const flowAttribute = `,"flow":"100.64.0.7:1034>198.18.0.1:443"`

func readLines(t *testing.T, lines ...string) *Logs {
	l := &Logs{}
	require.NoError(t, l.Read(strings.NewReader(strings.Join(lines, "\n"))))
	return l
}

func carried(afterMs int) string {
	return line(afterMs, "agent-1", events.RequestCarried, flowAttribute+`,"request":"r1","count":3`)
}

func TestLateBecauseRequestWaitedForSlot(t *testing.T) {
	s, ok := readLines(t,
		line(-5000, "agent-1", events.TargetChanged, `,"slots":2`),
		line(0, "entry-1", events.FlowPlaced, flowAttribute+`,"to":"agent-1"`),
		carried(8),
		line(300, "agent-1", events.AnswerLate, flowAttribute+`,"request":"r1","count":3,"ageMs":292`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Len(t, s.Records, 4)
	require.Equal(t, OutcomeLate, s.Cause.Outcome)
	require.Contains(t, s.Cause.Text, "after 292 ms, with 3 requests in flight on 2 slots: it waited for a slot")
}

func TestLateWithFreeSlots(t *testing.T) {
	s, ok := readLines(t,
		line(-5000, "agent-1", events.TargetChanged, `,"slots":8`),
		carried(8),
		line(300, "agent-1", events.AnswerLate, flowAttribute+`,"request":"r1","count":3,"ageMs":292`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Contains(t, s.Cause.Text, "the request itself was slow")
}

func TestResetAfterRestart(t *testing.T) {
	s, ok := readLines(t,
		carried(0),
		line(900, "agent-1", events.Started, ""),
		line(2000, "entry-2", events.FlowReset, flowAttribute+`,"reason":"nobodyHolds","count":6`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeReset, s.Cause.Outcome)
	require.Contains(t, s.Cause.Text, "entry-2 reset the flow at 07:00:02.000 (nobodyHolds, 6 hosts denied it)")
	require.Contains(t, s.Cause.Text, "agent-1 had the request at 07:00:00.000 and started anew at 07:00:00.900")
}

func TestLostByTargetRestart(t *testing.T) {
	born := start.Add(900 * time.Millisecond).UnixMilli()
	s, ok := readLines(t, carried(0), line(950, "agent-1", events.TargetChanged, fmt.Sprintf(`,"bornMs":%d`, born))).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeLost, s.Cause.Outcome)
	require.Contains(t, s.Cause.Text, "started anew at 07:00:00.950")
}

func TestTargetStartedBeforeRequestIsNoCause(t *testing.T) {
	born := start.Add(-time.Minute).UnixMilli()
	s, ok := readLines(t, carried(0), line(950, "agent-1", events.TargetChanged, fmt.Sprintf(`,"bornMs":%d`, born))).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeCarried, s.Cause.Outcome)
}

func TestUnplacedFlow(t *testing.T) {
	logs := readLines(t,
		line(0, "entry-1", events.FlowPlaced, flowAttribute+`,"to":"agent-1"`),
		line(1, "agent-1", events.FlowRefused, flowAttribute+`,"reason":"busy"`),
		line(2, "entry-1", events.FlowUnplaced, flowAttribute+`,"reason":"silent","count":1`),
	)
	_, ok := logs.OfRequest("r1")
	require.False(t, ok)
	s, ok := logs.OfFlow("100.64.0.7:1034")
	require.True(t, ok)
	require.Equal(t, OutcomeUnplaced, s.Cause.Outcome)
	_, ok = logs.OfFlow("100.64.0.7:103")
	require.False(t, ok, "a prefix of the port must not match")
}

func TestOtherFlowsAndInstancesAreExcluded(t *testing.T) {
	s, ok := readLines(t,
		carried(0),
		line(1, "agent-2", events.Started, ""),
		line(2, "agent-1", events.RequestCarried, `,"flow":"100.64.0.7:1035>198.18.0.1:443","request":"r2"`),
		line(60000, "agent-1", events.Started, ""),
		"not a record",
	).OfRequest("r1")
	require.True(t, ok)
	require.Len(t, s.Records, 1)
}

func TestSuppressedRecordsMakeCauseIncomplete(t *testing.T) {
	s, ok := readLines(t, carried(0), line(1000, "agent-1", events.RecordsLeftOut, `,"of":"flowRefused","count":9`)).OfRequest("r1")
	require.True(t, ok)
	require.True(t, s.Cause.Incomplete)
}

func TestParseIgnoresPrefix(t *testing.T) {
	r, ok := Parse([]byte("  12.5 agent-1 " + carried(0)))
	require.True(t, ok)
	require.Equal(t, "r1", r.Request)
}
