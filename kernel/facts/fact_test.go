package facts

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawFact(t *rapid.T) Fact {
	return Fact{
		Key:         Key{Kind: KindMember, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")},
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Version:     rapid.Uint64Range(1, 3).Draw(t, "version"),
		Body:        rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body"),
	}
}

// TestMergeOrder checks that merging is commutative and idempotent.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(rapid.Custom(drawFact)).Draw(t, "facts")
		shuffled := rapid.Permutation(all).Draw(t, "shuffled")
		var first, second Set
		first.MergeAll(all)
		second.MergeAll(shuffled)
		second.MergeAll(all)
		require.Equal(t, first.All(), second.All())
		require.Equal(t, first.Digest(), second.Digest())
	})
}

// TestMergeNeverReverts checks that a merge never replaces a fact with an older version.
func TestMergeNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		for _, f := range rapid.SliceOf(rapid.Custom(drawFact)).Draw(t, "facts") {
			before, held := s.Get(f.Key)
			s.Merge(f)
			after, _ := s.Get(f.Key)
			if held {
				require.False(t, before.Supersedes(after))
			}
		}
	})
}

func addMember(t *testing.T, s *Set, instance string) {
	t.Helper()
	f, err := Member{Instance: instance, Role: RoleAgent, State: StateServing}.Fact(1, 1)
	require.NoError(t, err)
	s.Merge(f)
}

func TestSilentMemberIsMarkedDown(t *testing.T) {
	var s Set
	var d Detector
	addMember(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.RecordContact("a", begin)
	step := SilenceTimeout / 4
	var down []Fact
	for i := range 5 {
		d.RecordContact("b", begin.Add(time.Duration(i)*step))
		down = append(down, d.DetectSilent(begin.Add(time.Duration(i)*step), &s, false)...)
	}
	require.Len(t, down, 1)
	m, err := DecodeMember(down[0])
	require.NoError(t, err)
	require.Equal(t, StateDown, m.State)
	require.Equal(t, uint64(2), down[0].Version)
}

// TestIndirectContactKeepsMemberUp checks that a member that contacts only other instances is not marked down.
func TestIndirectContactKeepsMemberUp(t *testing.T) {
	var s Set
	var d Detector
	addMember(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.RecordContact("a", begin)
	for i := range 20 {
		now := begin.Add(time.Duration(i) * SilenceTimeout / 4)
		d.RecordIndirectContact(map[string]int64{"a": 10}, now)
		require.Empty(t, d.DetectSilent(now, &s, false))
	}
}

// TestPauseMarksNoMemberDown checks that an instance whose process was suspended does not mark other members down when
// it resumes.
func TestPauseMarksNoMemberDown(t *testing.T) {
	var s Set
	var d Detector
	addMember(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.RecordContact("a", begin)
	require.Empty(t, d.DetectSilent(begin, &s, false))
	require.Empty(t, d.DetectSilent(begin.Add(10*SilenceTimeout), &s, false))
}

// TestDisconnectedInstanceMarksNoMemberDown checks that a disconnected instance attributes the simultaneous silence of
// most members to itself.
func TestDisconnectedInstanceMarksNoMemberDown(t *testing.T) {
	var s Set
	var d Detector
	begin := time.Unix(1000, 0)
	for _, instance := range []string{"a", "b", "c"} {
		addMember(t, &s, instance)
		d.RecordContact(instance, begin)
	}
	for i := range 10 {
		now := begin.Add(time.Duration(i) * SilenceTimeout / 4)
		d.RecordContact("a", now)
		require.Empty(t, d.DetectSilent(now, &s, false))
	}
}

// TestConnectedInstanceMarksMajorityDown checks that an instance in contact with its peers marks silent members down
// even if they are the majority.
func TestConnectedInstanceMarksMajorityDown(t *testing.T) {
	var s Set
	var d Detector
	now := time.Unix(100, 0)
	expected := map[string]bool{}
	for _, name := range []string{"a", "b", "c"} {
		addMember(t, &s, name)
		expected[name] = true
	}
	d.SetExpected(expected, now)
	for range 20 {
		now = now.Add(SilenceTimeout / 10)
		d.RecordContact("c", now)
		require.Empty(t, d.DetectSilent(now, &s, false))
	}
	require.Len(t, d.DetectSilent(now, &s, true), 2)
}

// TestUnexpectedMemberIsNoLongerMonitored checks that an instance stops monitoring a member that has switched to other
// peers. Otherwise it would mark the member down.
func TestUnexpectedMemberIsNoLongerMonitored(t *testing.T) {
	var s Set
	var d Detector
	now := time.Unix(100, 0)
	d.SetExpected(map[string]bool{"a": true}, now)
	d.SetExpected(map[string]bool{"b": true}, now)
	require.Equal(t, []string{"b"}, d.Suspects(now.Add(SilenceTimeout)))
	require.Empty(t, d.DetectSilent(now, &s, true))
	require.False(t, d.IsMonitored("a"))
}

// TestReconciliationMakesSetsEqual checks that one reconciliation of the differing partitions makes two sets equal.
func TestReconciliationMakesSetsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Set
		for i := range rapid.IntRange(0, 60).Draw(t, "facts") {
			f := Fact{Key: Key{Kind: KindMember, Name: strconv.Itoa(i)}, Version: rapid.Uint64Range(0, 2).Draw(t, "va"), Body: "x"}
			g := f
			g.Version = rapid.Uint64Range(0, 2).Draw(t, "vb")
			g.Body = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")
			if rapid.Bool().Draw(t, "inA") {
				a.Merge(f)
			}
			if rapid.Bool().Draw(t, "inB") {
				b.Merge(g)
			}
		}
		partitions := a.DifferingPartitions(b.PartitionDigests())
		sent, wanted := b.Diff(partitions, a.Summaries(partitions))
		var requested []Fact
		for _, k := range wanted {
			f, ok := a.Get(k)
			require.True(t, ok)
			requested = append(requested, f)
		}
		a.MergeAll(sent)
		b.MergeAll(requested)
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.All(), b.All())
	})
}
