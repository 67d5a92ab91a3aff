package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// Guards against a list of services that goes back at all instances, since the store has returned from an older copy and an
// entry lists it before the operator has written the latest one again, and against one that is ignored since its revision is
// lower than those of before.
func TestListedDocumentGivesWayAfterReturn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	object := func(revision uint64, text string) store.Object {
		return store.Object{Name: "services", Revision: revision, Spec: []byte(text)}
	}
	var reader, starter documentOrder
	reader.observe(now, store.Page{Era: 1}, true)
	latest := reader.fact(now.Add(time.Hour), store.Page{Era: 1}, object(30, "latest"), false)

	now = now.Add(2 * time.Hour)
	returned := store.Page{Era: 2, Revision: 15}
	for _, d := range []*documentOrder{&reader, &starter} {
		older := d.fact(now, returned, object(15, "older"), true)
		require.False(t, older.Supersedes(latest))
		wait := d.untilListing(now.Add(time.Second), time.Minute)
		require.Equal(t, documentHold-time.Second, wait)
		require.Equal(t, time.Second, d.untilListing(now, time.Second))
		next := d.fact(now.Add(time.Second), returned, object(16, "next"), false)
		require.True(t, next.Supersedes(latest) && next.Supersedes(older))
		require.Zero(t, d.untilListing(now.Add(documentHold), time.Minute))
		kept := d.fact(now.Add(documentHold), returned, object(15, "older"), true)
		require.True(t, kept.Supersedes(latest), "the operator has not written another one since the return")
		require.Equal(t, time.Minute, d.untilListing(now.Add(documentHold), time.Minute))
	}
}
