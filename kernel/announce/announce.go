// Package announce processes the announcements in which targets report their own state to the agents.
package announce

import (
	"net/http"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Announcement is a target's report of its own state.
type Announcement struct {
	Service string
	Target  facts.Target
	// Sequence increases with each announcement of an incarnation, which is one run of the target.
	Sequence uint64
	Warmup   Warmup
}

// Warmup is what a target says of its warm-up. It is not part of facts.Target, because it changes with each announcement
// and concerns the target's agent alone.
type Warmup struct {
	// Known is false if the announcement says nothing.
	Known bool
	// Left is for how much longer the target is cold, or 0 if it is not.
	Left time.Duration
}

// Sink receives announcements.
type Sink interface {
	// Accept processes an announcement and reports whether it was accepted. If not, the sender is told to repeat it
	// elsewhere.
	Accept(now time.Time, a Announcement) bool
	// RecordRefusal records an announcement that could not be decoded, and the reason.
	RecordRefusal(now time.Time, reason string)
}

// Protocol implements one protocol over which targets send announcements.
type Protocol interface {
	// Handler returns an HTTP handler that decodes announcements and passes them to s.
	Handler(s Sink) http.Handler
}

// Protocols holds the registered announcement protocols.
var Protocols = kernel.Registry[Protocol]{Kind: "announcement form"}
