package scenario

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const idealQuantile = 0.99

// arrival is one request as an ideal system sees it: times in milliseconds.
type arrival struct {
	service string
	at      float64
	work    float64
	// counts says that the request belongs to those whose p99 is wanted.
	counts bool
}

// freeTimes is a heap of the times at which slots become free.
type freeTimes []float64

func (h freeTimes) Len() int           { return len(h) }
func (h freeTimes) Less(i, j int) bool { return h[i] < h[j] }
func (h freeTimes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a time.
func (h *freeTimes) Push(x any) { *h = append(*h, x.(float64)) }

// Pop removes the last time.
func (h *freeTimes) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// idealP99 is the counted requests' p99, in milliseconds, with one queue in order of arrival over all slots of each service.
func idealP99(all []arrival, size cluster.Size) float64 {
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	slots := map[string]*freeTimes{}
	for _, s := range size.Services {
		free := make(freeTimes, s.Hosts*s.Slots)
		slots[s.Service.Name] = &free
	}
	var answered []float64
	for _, a := range all {
		free := slots[a.service]
		start := max(a.at, (*free)[0])
		(*free)[0] = start + a.work
		heap.Fix(free, 0)
		if a.counts {
			answered = append(answered, start+a.work-a.at)
		}
	}
	if len(answered) == 0 {
		return 0
	}
	slices.Sort(answered)
	return answered[int(idealQuantile*float64(len(answered)-1))]
}
