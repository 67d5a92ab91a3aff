package timeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// start is the time that the lines of the tests are relative to.
var start = time.Date(2026, 5, 4, 7, 0, 0, 0, time.UTC)

// line returns a log line with the time start + afterMs. The attributes are JSON members with a leading comma.
func line(afterMs int, instance string, e events.Event, attributes string) string {
	at := start.Add(time.Duration(afterMs) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"time":"%s","instance":"%s","event":%d,"eventName":"%s"%s}`, at, instance, e.Number, e.Name, attributes)
}

// flowAttribute is the attribute of the flow that request r1 uses.
const flowAttribute = `,"flow":"100.64.0.7:1034>198.18.0.1:443"`

func readLines(t *testing.T, lines ...string) *Logs {
	l := &Logs{}
	require.NoError(t, l.Read(strings.NewReader(strings.Join(lines, "\n"))))
	return l
}

// forwarded returns the log line of agent-1 that forwards request r1 to its target.
func forwarded(afterMs int) string {
	return line(afterMs, "agent-1", events.RequestCarried, flowAttribute+`,"request":"r1","count":3`)
}

func TestLateBecauseRequestWaitedForSlot(t *testing.T) {
	timeline, ok := readLines(t,
		line(-5000, "agent-1", events.TargetChanged, `,"slots":2`),
		line(0, "entry-1", events.FlowPlaced, flowAttribute+`,"to":"agent-1"`),
		forwarded(8),
		line(300, "agent-1", events.AnswerLate, flowAttribute+`,"request":"r1","count":3,"ageMs":292`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Len(t, timeline.Records, 4)
	require.Equal(t, OutcomeLate, timeline.Cause.Outcome)
	require.Contains(t, timeline.Cause.Text, "after 292 ms, with 3 requests in flight on 2 slots: it waited for a slot")
}

func TestLateWithFreeSlots(t *testing.T) {
	timeline, ok := readLines(t,
		line(-5000, "agent-1", events.TargetChanged, `,"slots":8`),
		forwarded(8),
		line(300, "agent-1", events.AnswerLate, flowAttribute+`,"request":"r1","count":3,"ageMs":292`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Contains(t, timeline.Cause.Text, "the request itself was slow")
}

func TestResetAfterRestart(t *testing.T) {
	timeline, ok := readLines(t,
		forwarded(0),
		line(900, "agent-1", events.Started, ""),
		line(2000, "entry-2", events.FlowReset, flowAttribute+`,"reason":"nobodyHolds","count":6`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeReset, timeline.Cause.Outcome)
	require.Contains(t, timeline.Cause.Text, "entry-2 reset the flow at 07:00:02.000 (nobodyHolds, 6 hosts denied it)")
	require.Contains(t, timeline.Cause.Text, "agent-1 had the request at 07:00:00.000 and started anew at 07:00:00.900")
}

func TestLostByTargetRestart(t *testing.T) {
	born := start.Add(900 * time.Millisecond).UnixMilli()
	timeline, ok := readLines(t, forwarded(0), line(950, "agent-1", events.TargetChanged, fmt.Sprintf(`,"bornMs":%d`, born))).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeLost, timeline.Cause.Outcome)
	require.Contains(t, timeline.Cause.Text, "started anew at 07:00:00.950")
}

// Guards against a target that is taken for restarted when its start is logged after the request but happened before it.
func TestTargetStartedBeforeRequestIsNoCause(t *testing.T) {
	born := start.Add(-time.Minute).UnixMilli()
	timeline, ok := readLines(t, forwarded(0), line(950, "agent-1", events.TargetChanged, fmt.Sprintf(`,"bornMs":%d`, born))).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeForwarded, timeline.Cause.Outcome)
}

func TestUnplacedFlow(t *testing.T) {
	logs := readLines(t,
		line(0, "entry-1", events.FlowPlaced, flowAttribute+`,"to":"agent-1"`),
		line(1, "agent-1", events.FlowRefused, flowAttribute+`,"reason":"busy"`),
		line(2, "entry-1", events.FlowUnplaced, flowAttribute+`,"reason":"silent","count":1`),
	)
	_, ok := logs.OfRequest("r1")
	require.False(t, ok)
	timeline, ok := logs.OfFlow("100.64.0.7:1034")
	require.True(t, ok)
	require.Equal(t, OutcomeUnplaced, timeline.Cause.Outcome)
	_, ok = logs.OfFlow("100.64.0.7:103")
	require.False(t, ok, "a prefix of the port must not match")
}

// Guards against a timeline with another instance's start, another flow, a record out of the time range, or a line that
// is not a record.
func TestOtherFlowsAndInstancesAreExcluded(t *testing.T) {
	timeline, ok := readLines(t,
		forwarded(0),
		line(1, "agent-2", events.Started, ""),
		line(2, "agent-1", events.RequestCarried, `,"flow":"100.64.0.7:1035>198.18.0.1:443","request":"r2"`),
		line(60000, "agent-1", events.Started, ""),
		"not a record",
	).OfRequest("r1")
	require.True(t, ok)
	require.Len(t, timeline.Records, 1)
}

// Guards against a cause that relies on missing records while the rate limit suppressed some.
func TestSuppressedRecordsMakeCauseIncomplete(t *testing.T) {
	timeline, ok := readLines(t, forwarded(0), line(1000, "agent-1", events.RecordsLeftOut, `,"of":"flowRefused","count":9`)).OfRequest("r1")
	require.True(t, ok)
	require.True(t, timeline.Cause.Incomplete)
}

func TestParseIgnoresPrefix(t *testing.T) {
	r, ok := Parse([]byte("  12.5 agent-1 " + forwarded(0)))
	require.True(t, ok)
	require.Equal(t, "r1", r.Request)
}

// A request whose target crashed is explained by the agent's reset, not by hosts that denied it.
func TestResetOfAbsentTargetNamesTheCause(t *testing.T) {
	timeline, ok := readLines(t,
		forwarded(0),
		line(200, "agent-1", events.FlowReset, flowAttribute+`,"reason":"targetAbsent","request":"r1"`),
	).OfRequest("r1")
	require.True(t, ok)
	require.Equal(t, OutcomeReset, timeline.Cause.Outcome)
	require.Contains(t, timeline.Cause.Text, "agent-1 reset the flow at 07:00:00.200, because its target's process was gone")
}
