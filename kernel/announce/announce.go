// Package announce takes the word that targets give of themselves.
package announce

import (
	"net/http"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Announcement is what a target said of itself.
type Announcement struct {
	Service string
	Target  facts.Target
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64
}

// Sink takes announcements. Accept reports whether the announcement was taken; one that was not is repeated elsewhere.
type Sink interface {
	Accept(now time.Time, a Announcement) bool
	// Refused tells of an announcement that can't be read.
	Refused(now time.Time, reason string)
}

// Form serves announcements in one protocol.
type Form interface {
	Handler(s Sink) http.Handler
}

// Forms holds the registered forms.
var Forms = kernel.Registry[Form]{Kind: "announcement form"}
