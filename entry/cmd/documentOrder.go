package cmd

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// documentHold is how long after the first listing of an era what is listed gives way to what instances know. A store that has
// returned from an older copy lists an older document until the operator has written the lost one again.
const documentHold = 10 * time.Second

// documentOrder orders the revisions of a document that one reader gets from the store. The zero value is ready to use.
type documentOrder struct {
	era uint64
	// since is when the first page of the era was read. confirmed is set once a listing was made documentHold after that.
	since     time.Time
	confirmed bool
}

// fact returns the fact for an object of a page that was read at now, by a listing or by a watch. What a watch reports was
// written in the era of the page. A listed object may have been written in an earlier one.
func (d *documentOrder) fact(now time.Time, p store.Page, o store.Object, listed bool) facts.Fact {
	d.observe(now, p, listed)
	f := facts.Fact{Key: facts.Key{Kind: facts.KindDocument, Name: o.Name}, Version: o.Revision, Body: string(o.Spec)}
	if !listed || d.confirmed {
		f.Incarnation = p.Era
	}
	return f
}

// observe records a page that was read at now.
func (d *documentOrder) observe(now time.Time, p store.Page, listed bool) {
	if p.Era != d.era || d.since.IsZero() {
		d.era, d.since, d.confirmed = p.Era, now, false
	}
	d.confirmed = d.confirmed || listed && now.Sub(d.since) >= documentHold
}

// untilListing returns how long to watch until the document has to be listed again, which is at most limit. It returns 0 if
// a listing is due.
func (d *documentOrder) untilListing(now time.Time, limit time.Duration) time.Duration {
	if d.confirmed {
		return limit
	}
	return min(max(0, documentHold-now.Sub(d.since)), limit)
}
