package store

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// Failure: all entries are killed after a plan has moved a route to another service. The entry that starts must know the
// earlier service, and that there is no other one.
func TestEntryStartsWithTheHistory(t *testing.T) {
	s := startStore(t)
	put := func(kind, name string, content any) {
		text, err := json.Marshal(content)
		require.NoError(t, err)
		_, err = s.client(t).Put(context.Background(), kind, name, text)
		require.NoError(t, err)
	}
	address := gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 80}
	route := func(service string) []plan.Route {
		return []plan.Route{{Address: address, Shares: []plan.Share{{Service: service, Weight: 1}}}}
	}
	put("plans", "current", plan.Plan{Version: 3, Routes: route("a")})
	put("history", "routes", map[string]any{"version": 3, "sinceMs": time.Now().Add(-time.Hour).UnixMilli(), "oldestVersion": 1})
	complete := func(e *instance, version uint64) func() bool {
		return func() bool {
			p := e.node.Plans.Current()
			return p != nil && p.Version == version && p.History.ReachesBack(time.Now(), time.Minute)
		}
	}
	e := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	eventually(t, "history of the first plan", complete(e, 3))
	put("plans", "current", plan.Plan{Version: 4, Routes: route("b")})
	eventually(t, "history in the store", func() bool {
		o, err := s.client(t).Get(context.Background(), "history", "routes")
		var content struct{ Version uint64 }
		return err == nil && json.Unmarshal(o.Spec, &content) == nil && content.Version == 4
	})
	e.cancel()
	e = startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t))
	eventually(t, "history after the restart", complete(e, 4))
	require.Equal(t, []string{"a"}, e.node.Plans.Current().History.EarlierServices(time.Now(), time.Minute, address))
}
