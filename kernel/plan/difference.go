package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Difference lists the differences between two plans. From and To are the versions of the plans. The routes are sorted
// by the text of their addresses.
type Difference struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Added   []Route  `json:"added,omitempty"`
	Removed []Route  `json:"removed,omitempty"`
	Changed []Change `json:"changed,omitempty"`
	// IdleTimeoutChanged is true if the idle timeouts differ.
	IdleTimeoutChanged bool `json:"idleTimeout,omitempty"`
	// ServicesChanged is true if the descriptions of the services differ.
	ServicesChanged bool `json:"services,omitempty"`
}

// Change holds the old and the new version of a changed route.
type Change struct {
	Before Route `json:"before"`
	After  Route `json:"after"`
}

// Compare returns the changes that turn the plan from into the plan to. Routes are identified by their addresses. A
// nil from is treated as an empty plan.
func Compare(from, to *Plan) Difference {
	if from == nil {
		from = &Plan{}
	}
	d := Difference{From: from.Version, To: to.Version, IdleTimeoutChanged: from.IdleTimeout != to.IdleTimeout}
	d.ServicesChanged = !slices.Equal(from.Services, to.Services)
	before, after := routesByAddress(from), routesByAddress(to)
	for a, r := range after {
		old, found := before[a]
		switch {
		case !found:
			d.Added = append(d.Added, *r)
		case !old.Equal(r):
			d.Changed = append(d.Changed, Change{Before: *old, After: *r})
		}
	}
	for a, r := range before {
		if _, found := after[a]; !found {
			d.Removed = append(d.Removed, *r)
		}
	}
	sortByText(d.Added, func(r *Route) gue.Endpoint { return r.Address })
	sortByText(d.Removed, func(r *Route) gue.Endpoint { return r.Address })
	sortByText(d.Changed, func(c *Change) gue.Endpoint { return c.After.Address })
	return d
}

// Empty reports whether the plans differ at most in their versions.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 && !d.IdleTimeoutChanged && !d.ServicesChanged
}

// routesByAddress returns the routes of a plan by address. It works for plans that are not indexed.
func routesByAddress(p *Plan) map[gue.Endpoint]*Route {
	if p.index != nil {
		return p.index
	}
	routes := make(map[gue.Endpoint]*Route, len(p.Routes))
	for i := range p.Routes {
		routes[p.Routes[i].Address] = &p.Routes[i]
	}
	return routes
}

// sortByText sorts values by the text of their addresses. It formats each address once.
func sortByText[T any](all []T, address func(v *T) gue.Endpoint) {
	type keyed struct {
		text  string
		value T
	}
	sorted := make([]keyed, len(all))
	for i := range all {
		sorted[i] = keyed{text: address(&all[i]).String(), value: all[i]}
	}
	slices.SortFunc(sorted, func(a, b keyed) int { return strings.Compare(a.text, b.text) })
	for i := range sorted {
		all[i] = sorted[i].value
	}
}

// Equal reports whether both routes are the same. It works without reflection, because a comparison of plans calls it for
// each route.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Objective == other.Objective &&
		r.Deadline == other.Deadline && r.Priority == other.Priority && slices.Equal(r.Shares, other.Shares)
}

// String formats the route on one line, such as "198.18.0.1:443 web -> a:3,b:1 within 150ms".
func (r Route) String() string {
	shares := make([]string, len(r.Shares))
	for i, s := range r.Shares {
		shares[i] = s.Service
		if len(r.Shares) > 1 {
			shares[i] += fmt.Sprintf(":%g", s.Weight)
		}
	}
	text := r.Address.String() + " " + r.Name + " -> " + strings.Join(shares, ",")
	if r.Objective > 0 {
		text += " within " + r.Objective.String()
	}
	if r.Deadline > 0 {
		text += " deadline " + r.Deadline.String()
	}
	if r.Priority > 0 {
		text += fmt.Sprintf(" priority %d", r.Priority)
	}
	return text
}
