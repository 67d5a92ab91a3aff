package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

// View is an immutable snapshot of the fact set.
type View struct {
	Digest   uint64
	Members  []facts.Member
	Services services.List
	// Evacuations holds the evacuations of data centres, and the ended ones, sorted by data centre.
	Evacuations []facts.Evacuation
	// EvacuationsKnown is set once this instance has read the evacuations in the store, or has all facts of a peer that did.
	EvacuationsKnown bool
}

// View returns the current view. It may be called from any goroutine.
func (g *Gossip) View() *View {
	return g.view.Load()
}

// publishIfDue publishes the view if it is outdated. It returns how long to wait if that is not due yet.
func (g *Gossip) publishIfDue(now time.Time) time.Duration {
	if !g.viewOutdated {
		return 0
	}
	if wait := g.viewPace.wait(now); wait > 0 {
		return wait
	}
	g.publishView(now)
	g.viewPace.done(now, time.Now())
	return 0
}

// updateMembers decodes accepted member facts. The next publication of the view contains them.
func (g *Gossip) updateMembers(accepted []facts.Fact) {
	if g.members == nil {
		g.members = make(map[string]facts.Member)
	}
	g.viewOutdated = true
	for _, f := range accepted {
		if f.Kind == facts.KindEvacuation {
			g.updateEvacuation(f)
		}
		if f.Kind != facts.KindMember {
			continue
		}
		m, err := facts.DecodeMember(f)
		if err != nil {
			events.FactRefused.Log(g.Logger, events.ErrorAttr(err))
			continue
		}
		g.members[f.Name] = m
	}
}

// publishView replaces the view by one of the current facts and calls OnChange.
func (g *Gossip) publishView(now time.Time) {
	g.viewOutdated = false
	v := &View{Digest: g.set.Digest(), Members: make([]facts.Member, 0, len(g.members))}
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		v.Members = append(v.Members, g.members[name])
	}
	list, err := services.ListFromFacts(&g.set)
	if err != nil {
		events.FactRefused.Log(g.Logger, events.ErrorAttr(err))
	}
	v.Services = list
	v.Evacuations, v.EvacuationsKnown = g.Evacuations(), g.evacuationsKnown
	g.view.Store(v)
	g.updateExpected(now, v.Members)
	if g.OnChange != nil {
		g.OnChange(now, v)
	}
}

// updateExpected sets the members that the failure detector monitors: those that choose this instance as a peer.
func (g *Gossip) updateExpected(now time.Time, members []facts.Member) {
	if !g.DetectFailures {
		return
	}
	g.expected = map[string]bool{}
	candidates := indexCandidates(listCandidates(nil, members))
	selfListed := candidates.contains(g.Self)
	for _, m := range members {
		inactive := m.State == facts.StateDown || m.State == facts.StateLeft
		if !inactive && selfListed && m.Instance != g.Self.Instance && candidates.isChosen(g.Selection, g.Self, m) {
			g.expected[m.Instance] = true
		}
	}
	g.detector.SetExpected(g.expected, now)
}
