package scenario

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const idealQuantile = 0.99

// arrival is a request as idealP99 simulates it.
type arrival struct {
	service string
	atMs    float64
	workMs  float64
	// measured requests are included in the p99.
	measured bool
}

// slotHeap is a min-heap of the times in milliseconds at which slots become free.
type slotHeap []float64

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(float64)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// idealP99 simulates a single first-in-first-out queue per service, shared by all of its slots, and returns the p99
// latency of the measured requests in milliseconds.
func idealP99(arrivals []arrival, size cluster.Size) float64 {
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.atMs, b.atMs) })
	slots := map[string]*slotHeap{}
	for _, s := range size.Services {
		free := make(slotHeap, s.Hosts*s.Slots)
		slots[s.Service.Name] = &free
	}
	var latencies []float64
	for _, a := range arrivals {
		free := slots[a.service]
		start := max(a.atMs, (*free)[0])
		(*free)[0] = start + a.workMs
		heap.Fix(free, 0)
		if a.measured {
			latencies = append(latencies, start+a.workMs-a.atMs)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(idealQuantile*float64(len(latencies)-1))]
}
