package plan

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Difference is what one plan changes of another, by address in rising order.
type Difference struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Added   []Route  `json:"added,omitempty"`
	Removed []Route  `json:"removed,omitempty"`
	Changed []Change `json:"changed,omitempty"`
	// IdleTimeout says that the idle timeout differs.
	IdleTimeout bool `json:"idleTimeout,omitempty"`
}

// Change is a route before and after.
type Change struct {
	Before Route `json:"before"`
	After  Route `json:"after"`
}

// Compare returns what changes from one plan to another; a nil plan has no routes.
func Compare(from, to *Plan) Difference {
	if from == nil {
		from = &Plan{}
	}
	d := Difference{From: from.Version, To: to.Version, IdleTimeout: from.IdleTimeout != to.IdleTimeout}
	before, after := routesOf(from), routesOf(to)
	for a, r := range after {
		held, known := before[a]
		switch {
		case !known:
			d.Added = append(d.Added, r)
		case !reflect.DeepEqual(held, r):
			d.Changed = append(d.Changed, Change{Before: held, After: r})
		}
	}
	for a, r := range before {
		if _, kept := after[a]; !kept {
			d.Removed = append(d.Removed, r)
		}
	}
	slices.SortFunc(d.Added, byAddress)
	slices.SortFunc(d.Removed, byAddress)
	slices.SortFunc(d.Changed, func(a, b Change) int { return byAddress(a.After, b.After) })
	return d
}

// Empty reports whether nothing but the version differs.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 && !d.IdleTimeout
}

func routesOf(p *Plan) map[gue.Endpoint]Route {
	all := make(map[gue.Endpoint]Route, len(p.Routes))
	for _, r := range p.Routes {
		all[r.Address] = r
	}
	return all
}

func byAddress(a, b Route) int {
	return strings.Compare(a.Address.String(), b.Address.String())
}

// String is the route on one line.
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
