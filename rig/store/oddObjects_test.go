package store

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// deepSpec returns JSON that is nested more deeply than the JSON library reads.
func deepSpec(depth int) json.RawMessage {
	text := make([]byte, 0, 2*depth)
	for range depth {
		text = append(text, '[')
	}
	for range depth {
		text = append(text, ']')
	}
	return text
}

// Guards against instances that no longer follow a list of the store, or end, because of one odd object that another writer
// put there.
func TestOddObjectsOfOtherWritersAreIgnored(t *testing.T) {
	far := facts.Member{
		Instance: "odd", Role: facts.RoleAgent, Service: "s", State: facts.StateServing, Packets: freeAddress(t), Control: freeAddress(t),
	}
	forged, err := far.Fact(1<<64-1, 1<<64-1)
	require.NoError(t, err)
	forgedSpec, err := json.Marshal(forged)
	require.NoError(t, err)
	body := func(packets string) json.RawMessage {
		text, err := json.Marshal(facts.Fact{Key: facts.Key{Kind: facts.KindMember, Name: "odd"}, Incarnation: 7, Version: 1, Body: `{"instance":"odd",
			"role":"agent","service":"s","state":"serving","control":"127.0.0.1:7","packets":"` + packets + `"}`})
		require.NoError(t, err)
		return text
	}
	for name, spec := range map[string]json.RawMessage{
		"nested":                  deepSpec(20_000),
		"number too large":        json.RawMessage(`{"kind":"member","name":"odd","incarnation":1e999,"version":1,"body":"{}"}`),
		"port out of range":       body("127.0.0.1:99999"),
		"greatest of all numbers": forgedSpec,
	} {
		t.Run(name, func(t *testing.T) {
			s := startStore(t)
			s.putOdd(t, control.KindInstances, "odd")
			s.putOdd(t, testFormat{}.EvacuationsKind(), "odd")
			s.putOdd(t, "plans", "odd")
			s.oddSpec.Store((*[]byte)(&spec))
			s.putPlan(t, 3)
			first := startInstance(t, s, "first", facts.RoleEntry, freeAddress(t))
			second := startInstance(t, s, "second", facts.RoleAgent, freeAddress(t))
			eventually(t, "members and plan", func() bool {
				return first.seesServing("second") && second.seesServing("first") && first.node.Plans.Version() == 3 && second.node.Plans.Version() == 3
			})
			require.False(t, first.seesServing("odd"))
			s.putOdd(t, "plans", "odder")
			s.putPlan(t, 4)
			eventually(t, "next plan", func() bool { return first.node.Plans.Version() == 4 })
		})
	}
}

// Guards against an instance that can't speak for itself any more: another writer put an object with its name and the
// greatest incarnation and version there.
func TestInstanceOutlastsForgedObjectWithItsName(t *testing.T) {
	s := startStore(t)
	address := freeAddress(t)
	forged := facts.Member{Instance: "first", Role: facts.RoleEntry, State: facts.StateLeft, Packets: address, Control: address}
	f, err := forged.Fact(1<<64-1, 1<<64-1)
	require.NoError(t, err)
	spec, err := json.Marshal(f)
	require.NoError(t, err)
	_, err = s.client(t).Create(context.Background(), control.KindInstances, "first", spec)
	require.NoError(t, err)
	first := startInstance(t, s, "first", facts.RoleEntry, address)
	second := startInstance(t, s, "second", facts.RoleEntry, freeAddress(t), address)
	eventually(t, "members", func() bool { return first.seesServing("first", "second") && second.seesServing("first", "second") })
}

// putOdd writes an object with oddSpec.
func (s *testStore) putOdd(t *testing.T, kind, name string) {
	_, err := s.client(t).Put(context.Background(), kind, name, json.RawMessage(oddMark))
	require.NoError(t, err)
}
