package plan

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Difference lists the routes that differ between two plans, sorted by the text of their addresses.
type Difference struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Added   []Route  `json:"added,omitempty"`
	Removed []Route  `json:"removed,omitempty"`
	Changed []Change `json:"changed,omitempty"`
	// IdleTimeoutChanged is true if the idle timeouts differ.
	IdleTimeoutChanged bool `json:"idleTimeout,omitempty"`
}

// Change holds both versions of a route that differs.
type Change struct {
	Before Route `json:"before"`
	After  Route `json:"after"`
}

// Compare returns the changes that lead from one plan to another. A nil from is treated as a plan without routes.
func Compare(from, to *Plan) Difference {
	if from == nil {
		from = &Plan{}
	}
	d := Difference{From: from.Version, To: to.Version, IdleTimeoutChanged: from.IdleTimeout != to.IdleTimeout}
	before, after := routesByAddress(from), routesByAddress(to)
	for a, r := range after {
		old, found := before[a]
		switch {
		case !found:
			d.Added = append(d.Added, r)
		case !reflect.DeepEqual(old, r):
			d.Changed = append(d.Changed, Change{Before: old, After: r})
		}
	}
	for a, r := range before {
		if _, found := after[a]; !found {
			d.Removed = append(d.Removed, r)
		}
	}
	slices.SortFunc(d.Added, compareAddresses)
	slices.SortFunc(d.Removed, compareAddresses)
	slices.SortFunc(d.Changed, func(a, b Change) int { return compareAddresses(a.After, b.After) })
	return d
}

// Empty reports whether the plans are equal apart from their versions.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 && !d.IdleTimeoutChanged
}

func routesByAddress(p *Plan) map[gue.Endpoint]Route {
	routes := make(map[gue.Endpoint]Route, len(p.Routes))
	for _, r := range p.Routes {
		routes[r.Address] = r
	}
	return routes
}

// compareAddresses orders routes by the text of their addresses.
func compareAddresses(a, b Route) int {
	return strings.Compare(a.Address.String(), b.Address.String())
}

// String formats the route on one line.
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
	return text
}
