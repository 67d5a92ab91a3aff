// Package plan holds the operator's plan: which service each address leads to.
package plan

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Share is one service of a route that is split over several.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route leads from an address that callers connect to, to the services behind it.
type Route struct {
	Name    string       `json:"name"`
	Address gue.Endpoint `json:"address"`
	// Shares has one element unless the route is split.
	Shares []Share `json:"shares"`
	// Objective is the latency within which a request should be answered; 0 means none.
	Objective time.Duration `json:"objective,omitempty"`
}

// Plan is one version of the operator's plan. It is immutable.
type Plan struct {
	// Version rises with each plan.
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	// IdleTimeout is how long a flow may be idle before it may be discarded.
	IdleTimeout time.Duration `json:"idleTimeout"`

	byAddress map[gue.Endpoint]*Route
}

// Index prepares the plan for Find; call it once before the plan is shared.
func (p *Plan) Index() {
	p.byAddress = make(map[gue.Endpoint]*Route, len(p.Routes))
	for i := range p.Routes {
		p.byAddress[p.Routes[i].Address] = &p.Routes[i]
	}
}

// Find returns the route of an address, or nil.
func (p *Plan) Find(a gue.Endpoint) *Route {
	return p.byAddress[a]
}

// ServiceOf returns the service that a flow of this route goes to. A split is decided by the flow alone, so that
// every instance decides alike.
func (r *Route) ServiceOf(f gue.Flow) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	point := total * float64(f.Hash(splitKey)>>11) / (1 << 53)
	for _, s := range r.Shares {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Service
		}
	}
	return ""
}

// Leads reports whether flows of this route may go to the service.
func (r *Route) Leads(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// splitKey keeps the split independent of the other hashes of a flow.
var splitKey = gue.Key{High: xxhash.Sum64String("plan"), Low: xxhash.Sum64String("split")}
