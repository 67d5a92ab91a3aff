package peer

import (
	"maps"
	"slices"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Evacuations returns the evacuations of data centres, and the ended ones, sorted by data centre. It must be called on the
// control goroutine.
func (g *Gossip) Evacuations() []facts.Evacuation {
	var all []facts.Evacuation
	for _, name := range slices.Sorted(maps.Keys(g.evacuations)) {
		all = append(all, g.evacuations[name])
	}
	return all
}

// MarkEvacuationsKnown records that this instance's facts contain the evacuations that were in the store at some time
// since its start. The next view says so, and exchanges tell other instances. It must be called on the control goroutine.
func (g *Gossip) MarkEvacuationsKnown() {
	if !g.evacuationsKnown {
		g.evacuationsKnown, g.viewOutdated = true, true
	}
}

// updateEvacuation decodes an accepted evacuation fact.
func (g *Gossip) updateEvacuation(f facts.Fact) {
	e, err := facts.DecodeEvacuation(f)
	if err != nil {
		events.FactRefused.Log(g.Logger, events.ErrorAttr(err))
		return
	}
	if g.evacuations == nil {
		g.evacuations = make(map[string]facts.Evacuation)
	}
	g.evacuations[f.Name] = e
}
