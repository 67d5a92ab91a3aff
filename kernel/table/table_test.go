package table

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func memberNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	return names
}

func TestEmptyTableHasNoOwner(t *testing.T) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(t, err)
		require.Equal(t, -1, build(nil).Lookup(7), kind)
	}
}

// TestOwnersAreIndependentOfMemberOrder checks that entries that learned of the members in different orders agree on
// the owner of every hash.
func TestOwnersAreIndependentOfMemberOrder(t *testing.T) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			members := memberNames(rapid.IntRange(1, 40).Draw(t, "count"))
			shuffled := rapid.Permutation(members).Draw(t, "shuffled")
			a, b := build(members), build(shuffled)
			for h := range uint64(200) {
				require.Equal(t, members[a.Lookup(splitMix64(h))], shuffled[b.Lookup(splitMix64(h))])
			}
		})
	}
}

// TestRendezvousRemovalMovesOnlyFlowsOfRemovedMember checks that the removal of a member keeps the owners of all other
// flows.
func TestRendezvousRemovalMovesOnlyFlowsOfRemovedMember(t *testing.T) {
	members := memberNames(7)
	before := NewRendezvous(members)
	after := NewRendezvous(members[:6])
	for h := range uint64(10000) {
		b := before.Lookup(splitMix64(h))
		if b < 6 {
			require.Equal(t, b, after.Lookup(splitMix64(h)))
		}
	}
}

// TestDefaultRemovalMovesFewFlows removes each member in turn. Flows of the remaining members must keep their owners,
// except where a member's slot depended on a collision with the removed member. The sum of the moved shares would be
// exactly 1 without such collisions.
func TestDefaultRemovalMovesFewFlows(t *testing.T) {
	build, err := Builders.Get(Default)
	require.NoError(t, err)
	const samples = 20000
	for _, count := range []int{3, 7, 11, 100} {
		members := memberNames(count + 1)
		before := build(members)
		total := 0.0
		for i := range members {
			rest := append(append([]string{}, members[:i]...), members[i+1:]...)
			total += movedShare(before, build(rest), members, rest, samples)
		}
		require.Less(t, total, 1.25, "removing each of %d members in turn must move every flow once and few flows twice", count+1)
	}
}

// movedShare estimates the share of hashes whose owner differs between two tables.
func movedShare(a, b Table, aNames, bNames []string, samples int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	changed := 0
	for range samples {
		h := random.Uint64()
		if aNames[a.Lookup(h)] != bNames[b.Lookup(h)] {
			changed++
		}
	}
	return float64(changed) / float64(samples)
}

// imbalance estimates the ratio of the largest to the mean share of hashes per member.
func imbalance(t Table, members, samples int) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	counts := make([]int, members)
	for range samples {
		counts[t.Lookup(random.Uint64())]++
	}
	largest := 0
	for _, c := range counts {
		largest = max(largest, c)
	}
	return float64(largest) * float64(members) / float64(samples)
}

const (
	sampleCount   = 2_000_000
	fleetServices = 6100
	fleetHosts    = 65000
)

// BenchmarkTable compares the tables for a single service. The metrics extraOnAdd and extraOnRemove are the shares of
// flows, in percent, that move to another owner beyond the unavoidable minimum.
func BenchmarkTable(b *testing.B) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(b, err)
		for _, count := range []int{7, 32, 100, 5000} {
			members := memberNames(count + 1)
			b.Run(fmt.Sprintf("%s/build/%d", kind, count), func(b *testing.B) {
				for b.Loop() {
					build(members[:count])
				}
				t, more, fewer := build(members[:count]), build(members), build(members[:count-1])
				b.ReportMetric(float64(t.SizeBytes()), "tableB")
				b.ReportMetric(imbalance(t, count, sampleCount), "max/mean")
				b.ReportMetric(100*(movedShare(t, more, members, members, sampleCount)-1/float64(count+1)), "%extraOnAdd")
				b.ReportMetric(100*(movedShare(t, fewer, members, members, sampleCount)-1/float64(count)), "%extraOnRemove")
			})
			b.Run(fmt.Sprintf("%s/lookup/%d", kind, count), func(b *testing.B) {
				t := build(members[:count])
				h := uint64(1)
				for b.Loop() {
					h += uint64(t.Lookup(splitMix64(h))) + 1
				}
			})
		}
	}
}

// BenchmarkFleet builds the tables of all services of an installation of the expected future size.
func BenchmarkFleet(b *testing.B) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(b, err)
		b.Run(kind, func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = 0
				for s := range fleetServices {
					first := s * fleetHosts / fleetServices
					hosts := make([]string, 0, fleetHosts/fleetServices+1)
					for i := first; i < (s+1)*fleetHosts/fleetServices; i++ {
						hosts = append(hosts, fmt.Sprintf("host-%d", i))
					}
					bytes += build(hosts).SizeBytes()
				}
			}
			b.ReportMetric(float64(bytes)/(1<<20), "MiB")
		})
	}
}
