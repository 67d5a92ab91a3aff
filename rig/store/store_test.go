package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

func newTestClient(t *testing.T, handler http.Handler) *store.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := store.NewClient(server.URL, store.DefaultDialect)
	require.NoError(t, err)
	return c
}

func testSpec(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))
}

func TestObjectLifecycle(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t, (&Server{}).Handler())
	created, err := c.Create(ctx, "k", "a", testSpec(1))
	require.NoError(t, err)
	var conflict *store.ConflictError
	_, err = c.Create(ctx, "k", "a", testSpec(2))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, created.Revision, conflict.Current.Revision)
	changed, err := c.Replace(ctx, "k", "a", created.Revision, testSpec(2))
	require.NoError(t, err)
	require.Greater(t, changed.Revision, created.Revision)
	_, err = c.Replace(ctx, "k", "a", created.Revision, testSpec(3))
	require.ErrorAs(t, err, &conflict)
	require.JSONEq(t, `{"n":2}`, string(conflict.Current.Spec))
	got, err := c.Get(ctx, "k", "a")
	require.NoError(t, err)
	require.Equal(t, changed, got)
	require.NoError(t, c.Delete(ctx, "k", "a", 0))
	require.NoError(t, c.Delete(ctx, "k", "a", 0), "deleting an absent object succeeds")
	var missing *store.NotFoundError
	_, err = c.Get(ctx, "k", "a")
	require.ErrorAs(t, err, &missing)
}

func TestUnchangedReplaceKeepsTheRevision(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t, (&Server{}).Handler())
	first, err := c.Put(ctx, "k", "a", testSpec(1))
	require.NoError(t, err)
	second, err := c.Put(ctx, "k", "a", testSpec(1))
	require.NoError(t, err)
	require.Equal(t, first.Revision, second.Revision)
}

func TestListReadsAllPages(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t, (&Server{}).Handler())
	for i := range pageSize + 20 {
		_, err := c.Create(ctx, "k", fmt.Sprintf("o%04d", i), testSpec(i))
		require.NoError(t, err)
	}
	p, err := c.List(ctx, "k", false)
	require.NoError(t, err)
	require.Len(t, p.Objects, pageSize+20)
}

func TestWatchReturnsChangesUntilHistoryIsDropped(t *testing.T) {
	ctx := context.Background()
	server := &Server{}
	c := newTestClient(t, server.Handler())
	p, err := c.List(ctx, "k", false)
	require.NoError(t, err)
	_, err = c.Create(ctx, "k", "a", testSpec(1))
	require.NoError(t, err)
	require.NoError(t, c.Delete(ctx, "k", "a", 0))
	changes, err := c.Watch(ctx, "k", p.Position(), time.Second)
	require.NoError(t, err)
	require.Len(t, changes.Objects, 2)
	require.True(t, changes.Objects[1].Deleted)
	unchanged, err := c.Watch(ctx, "k", changes.Position(), 10*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, unchanged.Objects)
	server.DropHistory()
	_, err = c.Create(ctx, "k", "b", testSpec(1))
	require.NoError(t, err)
	var expired *store.ExpiredError
	_, err = c.Watch(ctx, "k", store.Position{Era: p.Era}, time.Second)
	require.ErrorAs(t, err, &expired)
}

func TestUnusableAnswersAreUnavailableErrors(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"unavailable":       func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"too many requests": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"malformed":         func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\x00{")) },
		"aborted":           func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		c := newTestClient(t, handler)
		_, err := c.List(context.Background(), "k", false)
		var unavailable *store.UnavailableError
		require.ErrorAs(t, err, &unavailable, name)
	}
}

// TestWatchOfSilentStoreTimesOut checks that a call on a connection that stays open but silent ends with a timeout.
func TestWatchOfSilentStoreTimesOut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := newTestClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	begin := time.Now()
	_, err := c.Watch(context.Background(), "k", store.Position{Revision: 1}, 10*time.Millisecond)
	require.True(t, errors.Is(err, context.DeadlineExceeded))
	require.Less(t, time.Since(begin), 10*time.Second)
}
