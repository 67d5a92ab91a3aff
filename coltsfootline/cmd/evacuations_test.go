package cmd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/golden"
)

// Guards against a table that shows an entry without the setting, or one that has just started, as free of evacuations.
func TestEvacuations(t *testing.T) {
	f := newFakeInstances(t)
	text, code := f.run("evacuations")
	require.Equal(t, 1, code)
	require.Contains(t, text, "does not follow evacuations")
	f.evacuations.Enabled = true
	text, code = f.run("evacuations")
	require.Equal(t, 1, code)
	require.Contains(t, text, "has not learned the evacuations yet")
	f.evacuations = control.EvacuationsReply{Enabled: true, Known: true, Evacuations: []facts.Evacuation{
		{DataCentre: "north", Active: true, Revision: 4711}, {DataCentre: "south", Revision: 4700},
	}}
	text, code = f.run("evacuations")
	require.Zero(t, code)
	json, code := f.run("evacuations", "--json")
	require.Zero(t, code)
	golden.Check(t, "testdata/evacuations.golden", text+json)
	hosts, _ := f.run("hosts")
	json, _ = f.run("hosts", "--json")
	golden.Check(t, "testdata/hostsEvacuated.golden", hosts+json)
}
