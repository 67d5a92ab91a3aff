package peer

import "time"

const (
	// publicationShare limits the share of time that the control goroutine spends on publishing views. The cost of a
	// publication grows with the fleet, and after a loss of power a fleet has as many changes as instances.
	publicationShare = 0.1
	// maxPublicationDelay bounds the delay of a view. It is below the time for which a group must be unchanged before a
	// flow is reset.
	maxPublicationDelay = 150 * time.Millisecond
)

// viewPace spaces publications by the time that the last one took. A single change is published at once.
type viewPace struct {
	next time.Time
}

// wait returns how long after now the next publication is due.
func (p *viewPace) wait(now time.Time) time.Duration {
	return p.next.Sub(now)
}

// done records a publication.
func (p *viewPace) done(started, ended time.Time) {
	delay := time.Duration(float64(ended.Sub(started)) / publicationShare)
	p.next = ended.Add(min(delay, maxPublicationDelay))
}
