package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// maxHeldSYNs bounds the SYNs that an entry holds. It is what a thin entry receives in holdTimeout.
	maxHeldSYNs = 512
	// holdTimeout is how long a SYN waits for the first host of its service. The next copy of the SYN arrives within that
	// time, and a caller whose SYN is held for longer has missed its objective.
	holdTimeout = 400 * time.Millisecond
)

// heldSYN is the latest SYN of a flow that can't be placed yet, because the entry has started only now and knows no host
// of the service, or does not know the evacuations.
type heldSYN struct {
	packet  []byte
	arrived time.Time
}

// hold keeps a copy of a SYN until its service has a host. It returns false if the flow's SYNs have been held for
// holdTimeout or there are too many.
func (e *Entry) hold(now time.Time, f gue.Flow, packet []byte) bool {
	h, known := e.held[f]
	switch {
	case !known && len(e.held) >= maxHeldSYNs, known && now.Sub(h.arrived) > holdTimeout:
		return false
	case !known:
		h.arrived = now
	}
	if e.held == nil {
		e.held = make(map[gue.Flow]heldSYN)
	}
	h.packet = append([]byte(nil), packet...)
	e.held[f] = h
	return true
}

// awaitsHost reports whether the flow's service has no host that takes new flows, but may soon have one.
func (e *Entry) awaitsHost(f gue.Flow, route *plan.Route) bool {
	g := e.directory.Group(route.SelectService(f))
	return g == nil || g.Placeable == 0 && !g.onlyEvacuated()
}

// ReleaseHeld places the held SYNs whose service has a host by now, refuses those whose hosts are all evacuated, and gives
// up those that were held for holdTimeout. Call it after Update and a few times a second.
func (e *Entry) ReleaseHeld(now time.Time, out *Output) {
	if e.plan == nil || e.directory == nil {
		return
	}
	for f, h := range e.held {
		route := e.plan.Find(f.Service)
		if route != nil && e.awaitsHost(f, route) && now.Sub(h.arrived) <= holdTimeout {
			continue
		}
		delete(e.held, f)
		hdr, reason := e.Codec.Parse(h.packet)
		if route == nil || reason != gue.ReasonNone {
			out.record(Decision{Action: ActionDropped, Flow: f, Reason: "noRoute", PlanVersion: e.plan.Version})
			continue
		}
		e.startFlow(now, f, route, h.packet, &hdr, out)
	}
}
