package control

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// exchangePeriod is the time between two exchanges of an instance with each of its peers.
const exchangePeriod = 400 * time.Millisecond

const (
	// watchersPerDataCentre is how many entries of a data centre watch the plan: one may be cut off or frozen.
	watchersPerDataCentre = 2
	// peersFirst is how long an instance without a plan waits for its peers' before it asks the store.
	peersFirst = 150 * time.Millisecond
	// peersSilent is how long an instance may hear nothing of its peers before it asks the store itself.
	peersSilent = 1200 * time.Millisecond
)

// Node is an instance among the others: membership, its entry in the store, and the plan.
type Node struct {
	Self  facts.Member
	Seeds []netip.AddrPort
	// Routes are the instances that are not reached at their own control addresses.
	Routes []peer.Route
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
	Auditor  *Auditor
	pool     *peer.Pool
	started  time.Time
	members  atomic.Pointer[[]facts.Member]
}

// Start joins the others until ctx ends. Handlers are answered besides the node's own.
func (n *Node) Start(ctx context.Context, handlers map[string]peer.Handler) error {
	n.pool = &peer.Pool{Logger: n.Logger, Routes: n.Routes}
	n.started = time.Now()
	n.Plans = &Plans{
		Store: n.Store, Format: n.Format, Pool: n.pool, Logger: n.Logger, OnPlan: n.takePlan, Watches: n.watches,
	}
	n.Spread = &peer.Spread{
		Self:        n.Self,
		Incarnation: uint64(time.Now().UnixNano()),
		Seeds:       n.Seeds,
		Pool:        n.pool,
		Logger:      n.Logger,
		OnChange:    n.onChange,
		Detect:      n.Self.Role == facts.RoleEntry,
		Period:      exchangePeriod,
		Plan:        n.Plans,
	}
	n.Register = &Register{Store: n.Store, Spread: n.Spread, Logger: n.Logger, OnOwn: n.OnOwn}
	n.Register.prepare()
	if n.Self.Role == facts.RoleEntry {
		n.Auditor = &Auditor{Store: n.Store, Logger: n.Logger, Self: n.Self.Instance, Writes: n.audits}
	}
	n.Spread.OnAnnounce = n.Register.Changed
	all := n.Spread.Handlers()
	maps.Copy(all, n.Plans.Handlers())
	if n.Auditor != nil {
		maps.Copy(all, n.Auditor.Handlers())
	}
	maps.Copy(all, handlers)
	server := &peer.Server{Address: n.Self.Control, Handlers: all, Logger: n.Logger}
	n.Plans.prepare()
	metrics.GetOrCreateGauge("coltsfootline_plan_version", func() float64 { return float64(n.Plans.Version()) })
	metrics.GetOrCreateGauge("coltsfootline_members", func() float64 { return float64(len(n.Spread.View().Members)) })
	n.Spread.Start(ctx)
	if err := server.Start(ctx); err != nil {
		return err
	}
	n.Register.Start(ctx)
	n.Plans.Start(ctx)
	if n.Auditor != nil {
		n.Auditor.Start(ctx)
	}
	context.AfterFunc(ctx, n.pool.Close)
	return nil
}

func (n *Node) onChange(now time.Time, v *peer.View) {
	n.members.Store(&v.Members)
	if n.Auditor != nil {
		n.Auditor.NoteMembers(now, v.Members)
	}
	n.OnMembers(now, v.Members)
}

// takePlan uses a plan and tells the peers, so that it spreads faster than by exchanges.
func (n *Node) takePlan(p *plan.Plan) {
	n.OnPlan(p)
	if n.Auditor != nil {
		n.Auditor.NotePlan(time.Now(), p)
	}
	n.Spread.Do(context.Background(), func(now time.Time) { n.Spread.TellPlan(now) })
}

// audits says whether this instance writes the audit trail.
func (n *Node) audits() bool {
	members := n.members.Load()
	return members != nil && firstEntry(n.Self, *members)
}

// watches says whether this instance asks the store for the plan itself: a few entries of each data centre do, and
// every instance that has no plan or no peer.
func (n *Node) watches(now time.Time) bool {
	if n.Self.Role == facts.RoleEntry {
		if members := n.members.Load(); members == nil || isWatcher(n.Self, *members) {
			return true
		}
	}
	if n.Plans.Version() == 0 {
		return now.Sub(n.started) > peersFirst
	}
	return now.Sub(n.Spread.Answered()) > peersSilent && now.Sub(n.started) > peersSilent
}

// isWatcher picks the watchers of a data centre by rendezvous hashing.
func isWatcher(self facts.Member, members []facts.Member) bool {
	own, before := watcherScore(self.Instance), 0
	for _, m := range members {
		serves := m.Role == facts.RoleEntry && m.State == facts.StateServing && m.DataCentre == self.DataCentre
		if serves && m.Instance != self.Instance && watcherScore(m.Instance) > own {
			before++
		}
	}
	return before < watchersPerDataCentre
}

func watcherScore(instance string) uint64 {
	return xxhash.Sum64String(instance + "\x00watcher")
}
