// Package cmd implements the command line of the entry.
package cmd

import (
	"context"
	"io"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/entry/fabric"
	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/store"
	"github.com/coltsfootline/coltsfootline/kernel/table"
)

// shutdownDelay is how long an entry keeps forwarding after the stop signal, while the fabric removes it.
const shutdownDelay = 3 * time.Second

// Main runs the entry's command line and returns the exit code.
func Main(arguments []string, out, errorOut io.Writer) int {
	p := &command.Program[*Settings]{
		Name:  "entry",
		Short: "Forward packets of services to the agents that hold their connections",
		Long: "The entry takes packets from the network fabric (GUE variant 1) and forwards each to the agent\n" +
			"that owns its connection. It keeps no state per connection: any number of entries may share the\n" +
			"packets of one connection, and each may be replaced at any time.",
		NewSettings: func() *Settings { return defaultSettings() },
		Run:         run,
		Checks:      doctorChecks,
	}
	return command.Execute(p.Root(), arguments, out, errorOut)
}

func defaultSettings() *Settings {
	return &Settings{Workers: 1, Table: table.Default, Policy: placement.DefaultFlowPolicy}
}

// doctorChecks returns the checks of the doctor command.
func doctorChecks(s *Settings) []command.Check {
	all := []command.Check{
		command.CanListenUDP("packets", s.Packets),
		command.CanListenTCP("control", s.Control),
		command.CanListenTCP("admin", s.Admin),
	}
	if u, err := url.Parse(s.Store); err == nil {
		all = append(all, command.CanConnect("store", u.Host))
	}
	for _, p := range s.Peers {
		all = append(all, command.CanConnect("peer", p.String()))
	}
	return all
}

// run runs the entry until its shutdown is complete. The packet form in the settings selects the kind of entry.
func run(ctx context.Context, s *Settings, logs io.Writer) error {
	if s.Form != "" {
		return runPassthrough(ctx, s, logs)
	}
	builder, err := table.Builders.Get(s.Table)
	if err != nil {
		return err
	}
	logger := events.NewLogger(logs, s.Log, s.Instance)
	p := &process.Process{Admin: s.Admin, Pprof: s.Pprof, Logger: logger}
	e := &entry{settings: s, process: p, tableBuilder: builder}
	e.forwarder = &fabric.Forwarder{
		ListenAddress: s.Packets,
		Workers:       s.Workers,
		Keys:          fabric.Keys{Hash: s.HashKey, Packet: s.PacketKey},
		Counters:      fabric.NewCounters(metrics.GetDefaultSet()),
		Logger:        logger,
	}
	return p.Run(ctx, e.serve)
}

// entry is an entry for agents that terminate callers' TCP connections. It keeps no state per connection.
type entry struct {
	settings     *Settings
	process      *process.Process
	tableBuilder table.Builder
	forwarder    *fabric.Forwarder
	shuttingDown atomic.Bool
}

// serve runs until ctx is done, then shuts down. Everything that it starts runs until the shutdown is complete.
func (e *entry) serve(ctx context.Context) error {
	pool := &peer.Pool{Routes: e.settings.ControlRoutes}
	defer pool.Close()
	gossip := &peer.Gossip{
		Self: facts.Member{
			Instance:   e.settings.Instance,
			Role:       facts.RoleEntry,
			DataCentre: e.settings.DataCentre,
			Packets:    e.settings.Packets,
			Control:    e.settings.Control,
			State:      facts.StateServing,
		},
		Incarnation:    uint64(time.Now().UnixNano()),
		Seeds:          e.settings.Peers,
		Pool:           pool,
		Logger:         e.process.Logger,
		OnChange:       e.onChange,
		DetectFailures: true,
	}
	server := &peer.Server{Address: e.settings.Control, Handlers: e.handlers(gossip), Logger: e.process.Logger}
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	gossip.Start(lifetime)
	if err := server.Start(lifetime); err != nil {
		return err
	}
	client, err := store.NewClient(e.settings.Store, store.DefaultDialect)
	if err != nil {
		return err
	}
	client.Observe(e.process.Logger)
	watcher := &storeWatcher{client: client, name: services.DocumentName, gossip: gossip, logger: e.process.Logger}
	go watcher.run(lifetime)
	if err := e.forwarder.Start(lifetime); err != nil {
		return err
	}
	<-ctx.Done()
	e.shutDown(lifetime, gossip)
	return nil
}

// shutDown announces that this entry has left the membership, then keeps forwarding for shutdownDelay while the fabric
// removes it.
func (e *entry) shutDown(ctx context.Context, gossip *peer.Gossip) {
	e.process.SetStopping()
	e.shuttingDown.Store(true)
	gossip.Leave(ctx)
	time.Sleep(shutdownDelay)
}

// onChange rebuilds the routes after a change of members or services. It runs on the control goroutine.
func (e *entry) onChange(_ time.Time, v *peer.View) {
	routes := services.BuildRoutes(v.Services, v.Members, e.tableBuilder, e.forwarder.Routes())
	e.forwarder.SetRoutes(routes)
	e.process.SetReady(len(v.Services.Services) > 0 && !e.shuttingDown.Load())
}

// handlers returns the handlers of the control server by RPC method.
func (e *entry) handlers(gossip *peer.Gossip) map[string]peer.Handler {
	all := gossip.Handlers()
	all[peer.MethodStatus] = peer.Handle(func(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
		v := gossip.View()
		return peer.StatusReply{Instance: e.settings.Instance, Digest: v.Digest, Members: len(v.Members)}, nil
	})
	return all
}
