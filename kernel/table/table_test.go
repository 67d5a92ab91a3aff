package table

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("host-%d", i)
	}
	return all
}

func TestEmptyTableHasNoOwner(t *testing.T) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(t, err)
		require.Equal(t, -1, build(nil).Lookup(7), kind)
	}
}

// TestTableDependsOnTheSetOnly checks that entries that learned of members in other orders agree.
func TestTableDependsOnTheSetOnly(t *testing.T) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			members := names(rapid.IntRange(1, 40).Draw(t, "count"))
			shuffled := rapid.Permutation(members).Draw(t, "shuffled")
			a, b := build(members), build(shuffled)
			for h := range uint64(200) {
				require.Equal(t, members[a.Lookup(mix(h))], shuffled[b.Lookup(mix(h))])
			}
		})
	}
}

// TestRendezvousMovesOnlyWhatItMust checks that a removed member's flows move and no other.
func TestRendezvousMovesOnlyWhatItMust(t *testing.T) {
	members := names(7)
	before := NewRendezvous(members)
	after := NewRendezvous(members[:6])
	for h := range uint64(10000) {
		b := before.Lookup(mix(h))
		if b < 6 {
			require.Equal(t, b, after.Lookup(mix(h)))
		}
	}
}

// TestDefaultMovesLittle replaces each of the members of a small service in turn: the flows of the others must stay, but
// for a member that had to give way to another.
func TestDefaultMovesLittle(t *testing.T) {
	build, err := Builders.Get(Default)
	require.NoError(t, err)
	const samples = 20000
	for _, count := range []int{3, 7, 11, 100} {
		members := names(count + 1)
		before := build(members)
		total := 0.0
		for i := range members {
			rest := append(append([]string{}, members[:i]...), members[i+1:]...)
			total += moved(before, build(rest), members, rest, samples)
		}
		require.Less(t, total, 1.25, "removing each of %d in turn moves each flow once and few twice", count+1)
	}
}

// moved is the share of hashes whose owner differs.
func moved(a, b Table, aNames, bNames []string, samples int) float64 {
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

// imbalance is the greatest over the mean share of hashes.
func imbalance(t Table, members, samples int) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	counts := make([]int, members)
	for range samples {
		counts[t.Lookup(random.Uint64())]++
	}
	greatest := 0
	for _, c := range counts {
		greatest = max(greatest, c)
	}
	return float64(greatest) * float64(members) / float64(samples)
}

const (
	sampleCount   = 2_000_000
	fleetServices = 6100
	fleetHosts    = 65000
)

// BenchmarkTable compares the kinds at one service: extra disruption is beyond the least possible.
func BenchmarkTable(b *testing.B) {
	for _, kind := range Builders.Names() {
		build, err := Builders.Get(kind)
		require.NoError(b, err)
		for _, count := range []int{7, 32, 100, 5000} {
			members := names(count + 1)
			b.Run(fmt.Sprintf("%s/build/%d", kind, count), func(b *testing.B) {
				for b.Loop() {
					build(members[:count])
				}
				t, more, fewer := build(members[:count]), build(members), build(members[:count-1])
				b.ReportMetric(float64(t.Bytes()), "tableB")
				b.ReportMetric(imbalance(t, count, sampleCount), "max/mean")
				b.ReportMetric(100*(moved(t, more, members, members, sampleCount)-1/float64(count+1)), "%extraOnAdd")
				b.ReportMetric(100*(moved(t, fewer, members, members, sampleCount)-1/float64(count)), "%extraOnRemove")
			})
			b.Run(fmt.Sprintf("%s/lookup/%d", kind, count), func(b *testing.B) {
				t := build(members[:count])
				h := uint64(1)
				for b.Loop() {
					h += uint64(t.Lookup(mix(h))) + 1
				}
			})
		}
	}
}

// BenchmarkFleet builds the tables of every service of the size to come.
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
					bytes += build(hosts).Bytes()
				}
			}
			b.ReportMetric(float64(bytes)/(1<<20), "MiB")
		})
	}
}
