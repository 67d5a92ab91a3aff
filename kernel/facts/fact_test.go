package facts

import (
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

// TestMergeOrder checks that the order and the repetition of merges never matter.
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

// TestMergeNeverReverts checks that what is held never gives way to a lesser version.
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

func member(t *testing.T, s *Set, instance string) {
	t.Helper()
	f, err := Member{Instance: instance, Role: RoleAgent, State: StateServing}.Fact(1, 1)
	require.NoError(t, err)
	s.Merge(f)
}

func TestSilentMemberIsMarkedDown(t *testing.T) {
	var s Set
	var d Detector
	member(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.Heard("a", begin)
	step := SilenceTimeout / 4
	var down []Fact
	for i := range 5 {
		d.Heard("b", begin.Add(time.Duration(i)*step))
		down = append(down, d.Silent(begin.Add(time.Duration(i)*step), &s)...)
	}
	require.Len(t, down, 1)
	m, err := MemberOf(down[0])
	require.NoError(t, err)
	require.Equal(t, StateDown, m.State)
	require.Equal(t, uint64(2), down[0].Version)
}

func TestMemberHeardElsewhereStays(t *testing.T) {
	var s Set
	var d Detector
	member(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.Heard("a", begin)
	for i := range 20 {
		now := begin.Add(time.Duration(i) * SilenceTimeout / 4)
		d.HeardByOther(map[string]int64{"a": 10}, now)
		require.Empty(t, d.Silent(now, &s))
	}
}

// TestPauseMarksNobodyDown checks that an instance that was stopped for a while doesn't blame the others.
func TestPauseMarksNobodyDown(t *testing.T) {
	var s Set
	var d Detector
	member(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.Heard("a", begin)
	require.Empty(t, d.Silent(begin, &s))
	require.Empty(t, d.Silent(begin.Add(10*SilenceTimeout), &s))
}

// TestCutOffInstanceMarksNobodyDown checks that losing most members at once is taken for an own fault.
func TestCutOffInstanceMarksNobodyDown(t *testing.T) {
	var s Set
	var d Detector
	begin := time.Unix(1000, 0)
	for _, instance := range []string{"a", "b", "c"} {
		member(t, &s, instance)
		d.Heard(instance, begin)
	}
	for i := range 10 {
		now := begin.Add(time.Duration(i) * SilenceTimeout / 4)
		d.Heard("a", now)
		require.Empty(t, d.Silent(now, &s))
	}
}
