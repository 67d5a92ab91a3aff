package outlier

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func answer(flow uint64) Answer[int] {
	return Answer[int]{Time: 20 * time.Millisecond, Expected: 200 * time.Millisecond, Size: 1000, Flow: flow}
}

// Guards against a word on too few samples, and against one flow whose requests all fail: it is one witness only.
func TestScoreNeedsSamplesAndWitnesses(t *testing.T) {
	var s Score[int]
	for i := range 15 {
		s.Failure(at(0), uint64(i))
	}
	require.Nil(t, s.Health(at(0)))
	for i := range 15 {
		s.Answer(at(0), answer(uint64(i)))
	}
	require.Equal(t, 50, s.Health(at(0)).Failing)
	require.Equal(t, 50, s.Health(at(1)).Failing)
	require.Nil(t, s.Health(at(6)), "the samples have lost their weight")
	var one Score[int]
	for i := range 60 {
		one.Answer(at(0), answer(uint64(i)))
		one.Failure(at(0), 1)
	}
	require.Zero(t, one.Health(at(0)).Failing)
}

// Guards against a host that is taken for failing because its answers are either early or small.
func TestQuickAnswersAreBothEarlyAndSmall(t *testing.T) {
	for name, c := range map[string]struct {
		time  time.Duration
		size  int
		quick bool
	}{"early": {time.Millisecond, 1000, false}, "small": {20 * time.Millisecond, 100, false}, "both": {time.Millisecond, 100, true}} {
		var s Score[int]
		for i := range 100 {
			s.Answer(at(0), answer(uint64(i)))
			if i >= 50 {
				s.Answer(at(0), Answer[int]{Time: c.time, Expected: time.Second, Size: c.size, Flow: uint64(i)})
			}
		}
		require.Equal(t, c.quick, s.Health(at(0)).Quick > 0, name)
	}
}

// Guards against facts that change often: all instances receive each change.
func TestReportChangesRarely(t *testing.T) {
	var r Reporter
	require.True(t, r.Update(at(0), &facts.Health{P70: 20, P90: 22}))
	require.False(t, r.Update(at(1), &facts.Health{P70: 20, P90: 22, Failing: 90}), "too soon")
	require.False(t, r.Update(at(3), &facts.Health{P70: 22, P90: 24, Failing: 19}))
	require.True(t, r.Update(at(3), &facts.Health{P70: 20, P90: 22, Failing: 25}))
	require.False(t, r.Update(at(6), &facts.Health{P70: 20, P90: 22, Failing: 10}))
	require.True(t, r.Update(at(6), &facts.Health{P70: 20, P90: 22, Failing: 9}))
	require.Zero(t, r.Said().Failing)
	require.True(t, r.Update(at(9), nil))
	require.False(t, r.Update(at(12), nil))
}

// service returns hosts of which the first ones fail.
func service(hosts, failing int) []Host {
	all := make([]Host, hosts)
	for i := range all {
		all[i] = Host{Name: "h" + strconv.Itoa(i), Health: &facts.Health{P70: 18, P90: 20}}
		if i < failing {
			all[i].Health = &facts.Health{Failing: 50, P70: 18, P90: 20}
		}
	}
	return all
}

// decide runs a judge from one time to another and returns the number of ejected hosts at the end.
func decide(j *Judge, from, to float64, hosts []Host, utilisation float64) int {
	for s := from; s <= to; s += 0.1 {
		j.Decide(at(s), hosts, utilisation)
	}
	return j.EjectedCount()
}

// Guards against the ejection of more hosts than a service can spare, and of any when the service as a whole has a fault.
func TestJudgeSparesTheService(t *testing.T) {
	for name, c := range map[string]struct {
		hosts, failing int
		utilisation    float64
		want           int
	}{
		"none": {20, 0, 0.5, 0}, "one of 20": {20, 1, 0.5, 1}, "six of 20": {20, 6, 0.5, 4}, "common": {20, 7, 0.5, 0},
		"all": {20, 20, 0.5, 0}, "one of 5": {5, 1, 0.5, 1}, "one of 4": {4, 1, 0.5, 0}, "no room": {20, 3, 0.93, 0},
		"room for one of 20": {20, 1, 0.9, 1},
	} {
		var j Judge
		require.Zero(t, decide(&j, 0, 0.5, service(c.hosts, c.failing), c.utilisation), name)
		require.Equal(t, c.want, decide(&j, 0.6, 2, service(c.hosts, c.failing), c.utilisation), name)
	}
	var j Judge
	require.Equal(t, 3, decide(&j, 0, 1, service(20, 3), 0.5))
	require.Equal(t, 2, decide(&j, 1, 1, service(20, 3), 0.99), "the others have no room: one host at a time")
	require.Zero(t, decide(&j, 1.1, 1.1, service(20, 12), 0.5), "the service as a whole fails")
	unknown := service(20, 1)
	for i := range 12 {
		unknown[i+1].Health = nil
	}
	require.Zero(t, decide(&Judge{}, 0, 2, unknown, 0.5), "most hosts said nothing")
}

// Guards against a host that is ejected for good, or that gets all its flows at once. The fact that the host is well arrives
// late: it stays ejected until then. When it fails again, its probation is longer.
func TestHostReturnsAfterProbation(t *testing.T) {
	var j Judge
	require.Equal(t, 1, decide(&j, 0, 7, service(20, 1), 0.5), "the fact still says that the host fails")
	require.Zero(t, j.Share(at(7), "h0"))
	require.Zero(t, decide(&j, 7.1, 7.1, service(20, 0), 0.5))
	for i, want := range []float64{0.125, 0.25, 0.5, 1, 1} {
		require.InDelta(t, want, j.Share(at(7.2+float64(i)), "h0"), 0)
	}
	require.Equal(t, 1, decide(&j, 9, 10, service(20, 1), 0.5))
	require.Equal(t, 1, decide(&j, 10, 18, service(20, 0), 0.5))
	require.Zero(t, decide(&j, 18, 20, service(20, 0), 0.5))
	require.Zero(t, decide(&j, 20, 60, service(20, 0), 0.5))
	require.False(t, j.Active(), "forgotten")
}
