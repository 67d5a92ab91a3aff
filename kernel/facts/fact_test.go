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
		down = append(down, d.Silent(begin.Add(time.Duration(i)*step), &s, false)...)
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
		require.Empty(t, d.Silent(now, &s, false))
	}
}

// TestPauseMarksNobodyDown checks that an instance that was stopped for a while doesn't blame the others.
func TestPauseMarksNobodyDown(t *testing.T) {
	var s Set
	var d Detector
	member(t, &s, "a")
	begin := time.Unix(1000, 0)
	d.Heard("a", begin)
	require.Empty(t, d.Silent(begin, &s, false))
	require.Empty(t, d.Silent(begin.Add(10*SilenceTimeout), &s, false))
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
		require.Empty(t, d.Silent(now, &s, false))
	}
}

func TestJoinedInstanceBelievesThatManyAreSilent(t *testing.T) {
	var s Set
	var d Detector
	now := time.Unix(100, 0)
	expected := map[string]bool{}
	for _, name := range []string{"a", "b", "c"} {
		member(t, &s, name)
		expected[name] = true
	}
	d.Expect(expected, now)
	for range 20 {
		now = now.Add(SilenceTimeout / 10)
		d.Heard("c", now)
		require.Empty(t, d.Silent(now, &s, false))
	}
	require.Len(t, d.Silent(now, &s, true), 2)
}

// A member that chose other peers must not be marked down by the one that it left.
func TestUnexpectedMemberIsForgotten(t *testing.T) {
	var s Set
	var d Detector
	now := time.Unix(100, 0)
	d.Expect(map[string]bool{"a": true}, now)
	d.Expect(map[string]bool{"b": true}, now)
	require.Equal(t, []string{"b"}, d.Suspects(now.Add(SilenceTimeout)))
	require.Empty(t, d.Silent(now, &s, true))
	require.False(t, d.Hears("a"))
}

func TestSetsMeetByTheirDifferingParts(t *testing.T) {
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
		parts := a.Differing(b.PartDigests())
		sent, wanted := b.Compare(parts, a.VersionsOf(parts))
		var mine []Fact
		for _, k := range wanted {
			f, ok := a.Get(k)
			require.True(t, ok)
			mine = append(mine, f)
		}
		a.MergeAll(sent)
		b.MergeAll(mine)
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.All(), b.All())
	})
}
