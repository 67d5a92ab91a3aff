package peer

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// TestRefutedStateIsReplaced checks that an instance that others marked down puts its own state into its view and into
// the next push to its peers, not the refuted one. Otherwise an agent takes itself for down and forwards the new flows that
// all others forward to it, an entry monitors no member, and peers learn the state only by an exchange. Seen in the
// scenario unevenTables.
func TestRefutedStateIsReplaced(t *testing.T) {
	peer := netip.MustParseAddrPort("127.0.0.1:1")
	for _, role := range []facts.Role{facts.RoleAgent, facts.RoleEntry} {
		t.Run(string(role), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			g := &Gossip{
				Self:           facts.Member{Instance: "marked-down", Role: role, State: facts.StateServing},
				Incarnation:    1,
				Seeds:          []netip.AddrPort{peer},
				Pool:           &Pool{},
				Logger:         slog.New(slog.DiscardHandler),
				DetectFailures: role == facts.RoleEntry,
			}
			g.Start(ctx)
			down := g.Self
			down.State = facts.StateDown
			l := newLink(g, peer)
			require.True(t, g.Do(ctx, func(now time.Time) {
				held, ok := g.SelfFact()
				require.True(t, ok)
				f, err := down.Fact(held.Incarnation, held.Version+1)
				require.NoError(t, err)
				g.links[peer] = l
				g.Accept(now, []facts.Fact{f})
				g.publishView(now)
			}))
			pushed, _, _ := l.takePending()
			require.Len(t, pushed, 1)
			m, err := facts.DecodeMember(pushed[0])
			require.NoError(t, err)
			require.Equal(t, facts.StateServing, m.State)
			v := g.View()
			require.Len(t, v.Members, 1)
			require.Equal(t, facts.StateServing, v.Members[0].State)
		})
	}
}
