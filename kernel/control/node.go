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

const (
	// exchangePeriod is the interval between exchanges with each peer.
	exchangePeriod = 400 * time.Millisecond
	// minWatchers is the number of entries of the fleet that watch the plan, and at least one in each data centre does.
	// Some of them may be disconnected or suspended.
	minWatchers = 6
	// initialPeerWait is how long an agent without a plan waits for one from its peers before it reads the store. It first
	// has to learn of its peers. Without a plan, it accepts the flows that entries place on it.
	initialPeerWait = time.Second
	// agentSeedDelay is how long an agent waits for members from the store before it turns to the seeds.
	agentSeedDelay = 600 * time.Millisecond
	// peerSilenceLimit is the time without an answer from any peer after which an instance reads the store itself.
	peerSilenceLimit = 1200 * time.Millisecond
)

// Node connects an instance to the fleet. It manages the membership, the instance's object in the store, and the plan.
type Node struct {
	Self  facts.Member
	Seeds []netip.AddrPort
	// Routes lists the instances that are dialled at an address other than their control address.
	Routes []peer.Route
	Store  *store.Client
	Format plan.Format
	Logger *slog.Logger
	// FollowEvacuations makes the instance read the evacuations of data centres, or learn them from peers.
	FollowEvacuations bool
	// OnMembers is called on the control goroutine after each change of the membership or of the evacuations.
	OnMembers func(now time.Time, members []facts.Member, evacuations facts.Evacuations)
	// OnPlan is called with each newer plan.
	OnPlan func(p *plan.Plan)
	// OnRestore is called with the member that the store holds for this instance from before its start. It may be nil.
	OnRestore func(m facts.Member)
	// Selection limits the number of peers.
	Selection peer.Selection

	Gossip    *peer.Gossip
	Plans     *Plans
	Registrar *Registrar
	Auditor   *Auditor
	// Evacuations is nil unless FollowEvacuations is set.
	Evacuations *Evacuations
	pool        *peer.Pool
	started     time.Time
	members     atomic.Pointer[[]facts.Member]
}

// Start connects the instance to the fleet until ctx is cancelled. The given handlers are served in addition to the
// node's own.
func (n *Node) Start(ctx context.Context, handlers map[string]peer.Handler) error {
	n.pool = &peer.Pool{Logger: n.Logger, Routes: n.Routes}
	n.started = time.Now()
	n.Plans = &Plans{
		Store: n.Store, Format: n.Format, Pool: n.pool, Logger: n.Logger, OnPlan: n.activatePlan, ShouldWatch: n.shouldWatch,
		Self: n.Self.Control, LinkMbps: n.Self.LinkMbps, ReadCopy: n.Self.Role == facts.RoleEntry, ReadHistory: n.Self.Role == facts.RoleEntry,
	}
	n.Gossip = &peer.Gossip{
		Self:           n.Self,
		Incarnation:    uint64(time.Now().UnixNano()),
		Seeds:          n.Seeds,
		Pool:           n.pool,
		Logger:         n.Logger,
		OnChange:       n.onChange,
		DetectFailures: n.Self.Role == facts.RoleEntry,
		Period:         exchangePeriod,
		Selection:      n.Selection,
		Plan:           n.Plans,
	}
	if n.Self.Role == facts.RoleAgent {
		n.Gossip.SeedDelay = agentSeedDelay
	}
	n.Registrar = &Registrar{Store: n.Store, Gossip: n.Gossip, Logger: n.Logger, OnRestore: n.OnRestore}
	n.Registrar.prepare()
	n.Gossip.Eras = &n.Registrar.returns
	if n.Self.Role == facts.RoleEntry {
		n.Auditor = &Auditor{Store: n.Store, Logger: n.Logger, Self: n.Self.Instance, IsWriter: n.isAuditWriter}
	}
	if n.FollowEvacuations {
		n.Evacuations = &Evacuations{
			Store: n.Store, Kind: n.Format.EvacuationsKind(), Gossip: n.Gossip, Logger: n.Logger, ShouldRead: n.shouldReadEvacuations,
		}
	}
	n.Gossip.OnSelfPublished = n.Registrar.MarkChanged
	all := n.Gossip.Handlers()
	maps.Copy(all, n.Plans.Handlers())
	maps.Copy(all, n.evacuationHandlers())
	if n.Auditor != nil {
		maps.Copy(all, n.Auditor.Handlers())
	}
	maps.Copy(all, handlers)
	server := &peer.Server{Address: n.Self.Control, Handlers: all, Logger: n.Logger}
	n.Plans.prepare()
	n.registerGauges()
	n.Gossip.Start(ctx)
	if err := server.Start(ctx); err != nil {
		return err
	}
	n.Registrar.Start(ctx)
	go n.runStoreReturns(ctx)
	n.Plans.Start(ctx)
	if n.Evacuations != nil {
		n.Evacuations.Start(ctx)
	}
	if n.Auditor != nil {
		n.Auditor.Start(ctx)
		n.startPlanWriters(ctx)
	}
	context.AfterFunc(ctx, n.pool.Close)
	return nil
}

func (n *Node) registerGauges() {
	metrics.GetOrCreateGauge("coltsfootline_plan_version", func() float64 { return float64(n.Plans.Version()) })
	metrics.GetOrCreateGauge("coltsfootline_plan_stored_version", func() float64 { return float64(n.Plans.stored.Load()) })
	metrics.GetOrCreateGauge("coltsfootline_plan_history_seconds", n.Plans.historySeconds)
	metrics.GetOrCreateGauge("coltsfootline_members", func() float64 { return float64(len(n.Gossip.View().Members)) })
}

// startPlanWriters starts what keeps the copy and the history of the plan in the store up to date.
func (n *Node) startPlanWriters(ctx context.Context) {
	c := &planCopyWriter{Store: n.Store, Logger: n.Logger, Plans: n.Plans, IsWriter: n.isAuditWriter}
	go c.run(ctx)
	h := &planHistoryWriter{Store: n.Store, Logger: n.Logger, Plans: n.Plans, IsWriter: n.isAuditWriter}
	go h.run(ctx)
}

// onChange passes the members and evacuations of a new view to the auditor and to OnMembers. It runs on the control goroutine.
func (n *Node) onChange(now time.Time, v *peer.View) {
	n.members.Store(&v.Members)
	if n.Auditor != nil {
		n.Auditor.RecordMembers(now, v.Members)
	}
	if n.Evacuations != nil {
		n.Evacuations.report(v)
	}
	n.OnMembers(now, v.Members, n.evacuations(v))
}

// activatePlan calls OnPlan with a newer plan and pushes its version to peers, which is faster than waiting for
// exchanges. A provisional plan stays with this instance.
func (n *Node) activatePlan(p *plan.Plan) {
	n.OnPlan(p)
	if p.Provisional {
		return
	}
	n.Gossip.Do(context.Background(), func(now time.Time) { n.Gossip.PushVersions(now) })
	if n.Auditor != nil {
		n.Auditor.RecordPlan(time.Now(), p)
	}
}

// isAuditWriter reports whether this instance writes the audit trail.
func (n *Node) isAuditWriter() bool {
	members := n.members.Load()
	return members != nil && isFirstServingEntry(n.Self.Instance, *members)
}

// shouldWatch reports whether this instance should watch the plan in the store. The watchers of each data centre do,
// and so does an instance that lacks a plan or a peer that replies. Both conditions have a grace period after the
// start.
func (n *Node) shouldWatch(now time.Time) bool {
	if n.Self.Role == facts.RoleEntry {
		if members := n.members.Load(); members == nil || isWatcher(n.Self, *members) {
			return true
		}
	}
	if n.Plans.Version() == 0 {
		return now.Sub(n.started) > initialPeerWait
	}
	return now.Sub(n.Gossip.LastReply()) > peerSilenceLimit && now.Sub(n.started) > peerSilenceLimit
}

// isWatcher reports whether self is one of the watchers of its data centre, which are the serving entries with the
// fastest links, and the highest scores among equals. The store sends plans uncompressed, which takes 0.2 s of a link of
// 10 Mbit/s for 1,450 routes. There are minWatchers in the fleet, the same number in each data centre.
func isWatcher(self facts.Member, members []facts.Member) bool {
	higher := 0
	dataCentres := map[string]bool{self.DataCentre: true}
	for _, m := range members {
		if m.Role != facts.RoleEntry || m.State != facts.StateServing {
			continue
		}
		dataCentres[m.DataCentre] = true
		if m.DataCentre == self.DataCentre && m.Instance != self.Instance && watchesBefore(m, self) {
			higher++
		}
	}
	return higher < (minWatchers+len(dataCentres)-1)/len(dataCentres)
}

// watchesBefore reports whether an entry is a watcher rather than another one.
func watchesBefore(m, other facts.Member) bool {
	a, b := effectiveLinkMbps(m.LinkMbps), effectiveLinkMbps(other.LinkMbps)
	if a != b {
		return a > b
	}
	return watcherScore(m.Instance) > watcherScore(other.Instance)
}

// watcherScore returns the rendezvous weight of an entry for the choice of watchers.
func watcherScore(instance string) uint64 {
	return xxhash.Sum64String(instance + "\x00watcher")
}
