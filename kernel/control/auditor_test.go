package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// plainDialect sends the content of an object as the body of a call.
type plainDialect struct{}

func (plainDialect) Encode(c store.Call) (method, target string, body []byte, err error) {
	if c.Operation == store.OperationGet {
		return http.MethodGet, "/", nil, nil
	}
	return http.MethodPut, "/", c.Spec, nil
}

func (plainDialect) DecodeObject(kind string, body []byte) (store.Object, error) {
	return store.Object{Kind: kind, Revision: 1, Spec: body}, nil
}

func (plainDialect) DecodePage(string, []byte) (store.Page, error) { return store.Page{}, nil }

func (plainDialect) DecodeEra(http.Header) (uint64, bool) { return 0, false }

// Pattern: the members of a large fleet change faster than the trail is written. Records that are queued during a write
// must not be dropped with those that it contains, and those that it contains are not lost.
func TestRecordsQueuedDuringAWriteAreKept(t *testing.T) {
	writing, release := make(chan json.RawMessage, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		var trail json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&trail)
		writing <- trail
		<-release
	}))
	defer server.Close()
	a := &Auditor{
		Store:  &store.Client{BaseURL: server.URL, Dialect: plainDialect{}, HTTP: server.Client()},
		Logger: slog.New(slog.DiscardHandler), Self: "entry", IsWriter: func() bool { return true },
		health: dependencyHealth{logger: slog.New(slog.DiscardHandler)},
	}
	enqueue := func(count int, prefix string) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		for i := range count {
			a.enqueue(audit.NewMemberRecord(time.Unix(int64(i), 0), "entry", facts.Member{Instance: fmt.Sprint(prefix, i)}))
		}
	}
	const late = 10
	enqueue(maxPendingRecords, "first-")
	flushed := make(chan struct{})
	go func() {
		a.Flush(context.Background(), time.Unix(1000, 0))
		close(flushed)
	}()
	<-writing
	enqueue(late, "late-")
	close(release)
	<-flushed
	require.Len(t, a.pending, late)
	require.Equal(t, "late-0", a.pending[0].Member.Instance)
	require.Zero(t, a.dropped)
}
