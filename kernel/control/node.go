package control

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// exchangePeriod is the time between two exchanges of an instance with each of its peers.
const exchangePeriod = 400 * time.Millisecond

// Node is an instance among the others: membership, its entry in the store, and the plan.
type Node struct {
	Self   facts.Member
	Seeds  []netip.AddrPort
	Store  *store.Client
	Format plan.Format
	Logger *slog.Logger
	// OnMembers runs on the control thread after each change of the membership.
	OnMembers func(now time.Time, members []facts.Member)
	// OnPlan takes each newer plan.
	OnPlan func(p *plan.Plan)
	// OnOwn takes what the store holds of this instance from before its start; it may be nil.
	OnOwn func(m facts.Member)

	Spread   *peer.Spread
	Plans    *Plans
	Register *Register
	pool     *peer.Pool
}

// Start joins the others until ctx ends. Handlers are answered besides the node's own.
func (n *Node) Start(ctx context.Context, handlers map[string]peer.Handler) error {
	n.pool = &peer.Pool{Logger: n.Logger}
	n.Plans = &Plans{Store: n.Store, Format: n.Format, Pool: n.pool, Logger: n.Logger, OnPlan: n.OnPlan}
	n.Spread = &peer.Spread{
		Self:        n.Self,
		Incarnation: uint64(time.Now().UnixNano()),
		Seeds:       n.Seeds,
		Pool:        n.pool,
		Logger:      n.Logger,
		OnChange:    func(now time.Time, v *peer.View) { n.OnMembers(now, v.Members) },
		Detect:      n.Self.Role == facts.RoleEntry,
		Period:      exchangePeriod,
		Plan:        n.Plans,
	}
	n.Register = &Register{Store: n.Store, Spread: n.Spread, Logger: n.Logger, OnOwn: n.OnOwn}
	all := n.Spread.Handlers()
	maps.Copy(all, n.Plans.Handlers())
	maps.Copy(all, handlers)
	server := &peer.Server{Address: n.Self.Control, Handlers: all, Logger: n.Logger}
	n.Plans.prepare()
	n.Spread.Start(ctx)
	if err := server.Start(ctx); err != nil {
		return err
	}
	n.Register.Start(ctx)
	n.Plans.Start(ctx)
	context.AfterFunc(ctx, n.pool.Close)
	return nil
}
