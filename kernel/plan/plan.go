// Package plan defines the operator's plan, which maps the addresses that callers connect to onto services.
package plan

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Share is a service of a route. Its share of the route's flows is its weight divided by the sum of the weights.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps an address that callers connect to onto one or more services.
type Route struct {
	Name    string       `json:"name"`
	Address gue.Endpoint `json:"address"`
	// Shares has more than one element if the route's flows are split between services.
	Shares []Share `json:"shares"`
	// Objective is the target latency of a request; 0 means none.
	Objective time.Duration `json:"objective,omitempty"`
	// Deadline is the time after which a request's answer is worth nothing; 0 means none.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Priority orders the routes of a service under contention; 0 is the highest.
	Priority int `json:"priority,omitempty"`
}

// Plan is one version of the operator's plan. It must not be modified after Index.
type Plan struct {
	// Version increases with each plan.
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	// Services holds the services that the plan describes. It is nil if the plan came from an instance of a build that
	// does not know services.
	Services []Service `json:"services"`
	// IdleTimeout is how long a flow may be idle before it is discarded; 0 means a default.
	IdleTimeout time.Duration `json:"idleTimeout"`
	// History records the services that earlier plans gave to the routes. It is nil if nothing is known of earlier plans.
	History *History `json:"-"`
	// Provisional is set for a plan from the compact copy, which another plan replaces even if that has the same version.
	Provisional bool `json:"-"`

	index map[gue.Endpoint]*Route
}

// Index builds the lookup table for Find. Call it once, before the plan is shared between goroutines.
func (p *Plan) Index() {
	p.index = make(map[gue.Endpoint]*Route, len(p.Routes))
	for i := range p.Routes {
		p.index[p.Routes[i].Address] = &p.Routes[i]
	}
}

// Precedes reports whether p, which may be nil, gives way to next. Plans of the same version may differ in their history.
// The longer one stays.
func (p *Plan) Precedes(next *Plan) bool {
	if p == nil || p.Provisional || next.Version > p.Version {
		return true
	}
	longer := p.History != nil && (next.History == nil || p.History.Since.Before(next.History.Since))
	return next.Version == p.Version && !longer
}

// Find returns the route of the address, or nil if there is none.
func (p *Plan) Find(a gue.Endpoint) *Route {
	return p.index[a]
}

// SelectService returns the service to which the route sends the flow, or "" if there is none. The choice between
// several services depends only on their weights and a hash of the flow, so that all instances with the same plan make
// the same choice.
func (r *Route) SelectService(f gue.Flow) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := total * float64(f.Hash(splitKey)>>11) / (1 << 53)
	for _, s := range r.Shares {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// HasService reports whether the route may send flows to the service.
func (r *Route) HasService(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// splitKey is the hash key with which SelectService hashes flows. It makes the split independent of other hashes of
// the flow.
var splitKey = gue.Key{High: xxhash.Sum64String("plan"), Low: xxhash.Sum64String("split")}
