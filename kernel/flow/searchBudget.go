package flow

import "time"

const (
	// searchLinkShare is the share of an entry's link that searches may use. The rest is for callers' packets, which
	// would otherwise be lost when many flows are searched at once, and cause more searches.
	searchLinkShare = 0.2
	// defaultLinkMbps is assumed if the capacity of the link is not set, in Mbit/s.
	defaultLinkMbps = 10
	// budgetWindow is the time whose share of the link searches may use at once.
	budgetWindow = 100 * time.Millisecond
	// packetOverhead is the length of the headers of IP and UDP, in bytes.
	packetOverhead = 28
)

// searchBudget limits the bytes that the searches of an entry send. The zero value is a full budget.
type searchBudget struct {
	// spent is what was spent and not yet refilled, in bytes.
	spent    float64
	refilled time.Time
}

// take spends bytes. It returns false, and spends nothing, if the budget is used up.
func (b *searchBudget) take(now time.Time, linkMbps float64, bytes int) bool {
	if linkMbps == 0 {
		linkMbps = defaultLinkMbps
	}
	const bytesPerMbit = 1e6 / 8
	rate := searchLinkShare * bytesPerMbit * linkMbps
	b.spent = max(0, b.spent-rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.spent >= rate*budgetWindow.Seconds() {
		return false
	}
	b.spent += float64(bytes + packetOverhead)
	return true
}
