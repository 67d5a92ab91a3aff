// Package cmd implements the agent's command line.
package cmd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/agent/caller"
	"github.com/coltsfootline/coltsfootline/agent/replica"
	"github.com/coltsfootline/coltsfootline/agent/target"
	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/table"
)

// socketBufferBytes is the requested size of the packet socket's receive and send buffers.
const socketBufferBytes = 8 << 20

// Main runs the agent's command line and returns the exit code.
func Main(arguments []string, out, errorOut io.Writer) int {
	p := &command.Program[*Settings]{
		Name:  "agent",
		Short: "Hold callers' connections beside a target",
		Long: "The agent ends callers' TCP connections beside one target, gives their requests to it, no more at\n" +
			"once than it has slots, and moves the connections to other agents when its target is retired.",
		NewSettings: defaultSettings,
		Run:         run,
		Checks:      doctorChecks,
	}
	return command.Execute(p.Root(), arguments, out, errorOut)
}

// doctorChecks returns the checks of the doctor command.
func doctorChecks(s *Settings) []command.Check {
	all := []command.Check{
		command.CanListenUDP("packets", s.Packets),
		command.CanListenTCP("control", s.Control),
		command.CanListenTCP("admin", s.Admin),
		command.CanListenTCP("requests", s.Requests),
		command.CanConnect("target", s.targetURL().Host),
	}
	for _, e := range s.Entries {
		all = append(all, command.CanConnect("entry", e.String()))
	}
	return all
}

// run runs the agent until its shutdown is complete. The packet form in the settings selects the kind of agent.
func run(ctx context.Context, s *Settings, logs io.Writer) error {
	if s.Form != "" {
		return runPassthrough(ctx, s, logs)
	}
	builder, err := table.Builders.Get(s.Table)
	if err != nil {
		return err
	}
	policy, err := placement.RequestPolicies.Get(s.Policy)
	if err != nil {
		return err
	}
	logger := events.NewLogger(logs, s.Log, s.Instance)
	a := &terminatingAgent{
		settings:     s,
		tableBuilder: builder,
		policy:       policy,
		process:      &process.Process{Admin: s.Admin, Pprof: s.Pprof, Logger: logger},
		pool:         &peer.Pool{Routes: s.ControlRoutes},
	}
	return a.process.Run(ctx, a.serve)
}

// terminatingAgent is an agent that terminates callers' TCP connections and sends their requests to its target.
type terminatingAgent struct {
	settings     *Settings
	tableBuilder table.Builder
	policy       placement.RequestPolicy
	loads        replica.Loads
	registry     replica.Registry
	process      *process.Process
	pool         *peer.Pool
	dispatcher   *target.Dispatcher
	terminator   *caller.Terminator
	gossip       *peer.Gossip
	// routes is the result of the last call of onChange.
	routes *services.Routes
	// lifetime is done after the drain, whereas the context passed to serve is done before it.
	lifetime       context.Context
	drainRequested chan struct{}
}

// self returns the member that this agent publishes to the other instances.
func (a *terminatingAgent) self() facts.Member {
	return facts.Member{
		Instance:   a.settings.Instance,
		Role:       facts.RoleAgent,
		DataCentre: a.settings.DataCentre,
		Service:    a.settings.Service,
		Packets:    a.settings.Packets,
		Control:    a.settings.Control,
		Requests:   a.settings.Requests,
		State:      facts.StateServing,
	}
}

// serve runs until ctx is done or a drain is requested, then drains. Everything that it starts runs until the drain is
// complete.
func (a *terminatingAgent) serve(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.lifetime = lifetime
	a.drainRequested = make(chan struct{}, 1)
	defer a.pool.Close()
	if err := a.start(lifetime); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-a.drainRequested:
	}
	a.drain(lifetime)
	return nil
}

// start opens the packet socket and starts the TCP stack, the gossip and the servers, which run until ctx is done.
func (a *terminatingAgent) start(ctx context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.settings.Packets))
	if err != nil {
		return errors.WithStack(&process.ListenError{Address: a.settings.Packets.String(), Cause: err})
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	a.dispatcher = &target.Dispatcher{
		Target: a.settings.targetURL(),
		Slots: &target.Slots{
			Instance: a.settings.Instance,
			Count:    a.settings.Slots,
			Queue:    a.settings.Queue,
			MaxWait:  a.settings.MaxWait,
		},
		HandOver: a.newHandOver(),
		Counters: target.NewCounters(metrics.GetDefaultSet()),
		Logger:   a.process.Logger,
	}
	a.terminator = &caller.Terminator{
		Self:      a.self(),
		Fabric:    a.settings.Fabric,
		Keys:      caller.Keys{Hash: a.settings.HashKey, Packet: a.settings.PacketKey},
		KeepAlive: a.settings.KeepAlive,
		Handler:   a.dispatcher,
		Peers:     a.pool,
		Socket:    socket,
		Counters:  caller.NewCounters(metrics.GetDefaultSet()),
		Logger:    a.process.Logger,
	}
	a.terminator.Start(ctx)
	a.gossip = &peer.Gossip{
		Self:        a.self(),
		Incarnation: uint64(time.Now().UnixNano()),
		Seeds:       a.settings.Entries,
		Pool:        a.pool,
		Logger:      a.process.Logger,
		OnChange:    a.onChange,
	}
	a.gossip.Start(ctx)
	if err := a.startHandOver(ctx); err != nil {
		return err
	}
	server := &peer.Server{Address: a.settings.Control, Handlers: a.handlers(), Logger: a.process.Logger}
	return server.Start(ctx)
}

func (a *terminatingAgent) newHandOver() *replica.HandOver {
	return &replica.HandOver{
		Instance:       a.settings.Instance,
		Policy:         a.policy,
		Loads:          &a.loads,
		ControlAddress: a.controlAddress,
		Control:        a.pool,
		Counters:       replica.NewCounters(metrics.GetDefaultSet()),
		Logger:         a.process.Logger,
	}
}

// startHandOver starts the load reports to the other agents of the service and the server that accepts the requests
// that they hand over.
func (a *terminatingAgent) startHandOver(ctx context.Context) error {
	reporter := &replica.LoadReporter{Self: a.self(), Notifier: a.pool, Load: a.dispatcher.Load, Members: a.serviceAgents}
	reporter.Start(ctx)
	server := &replica.Server{Address: a.settings.Requests, Runner: a.dispatcher, Registry: &a.registry}
	return server.Start(ctx)
}

// serviceAgents returns all agents of the same service, including this one.
func (a *terminatingAgent) serviceAgents() []facts.Member {
	var all []facts.Member
	for _, m := range a.gossip.View().Members {
		if m.Role == facts.RoleAgent && m.Service == a.settings.Service {
			all = append(all, m)
		}
	}
	return all
}

// controlAddress returns the control address of an agent of the same service, and false if there is no such agent.
func (a *terminatingAgent) controlAddress(instance string) (netip.AddrPort, bool) {
	for _, m := range a.serviceAgents() {
		if m.Instance == instance {
			return m.Control, true
		}
	}
	return netip.AddrPort{}, false
}

// onChange rebuilds the route to the service after a change of members or services. It runs on the control goroutine.
func (a *terminatingAgent) onChange(now time.Time, v *peer.View) {
	service, ok := v.Services.Find(a.settings.Service)
	if !ok {
		return
	}
	own := services.List{Services: []services.Service{service}}
	a.routes = services.BuildRoutes(own, v.Members, a.tableBuilder, a.routes)
	route := a.routes.Find(gue.EndpointOf(service.Address))
	if err := a.terminator.SetRoute(a.lifetime, now, route); err != nil {
		events.StackRefused.Log(a.process.Logger, events.ErrorAttr(err))
		return
	}
	a.process.SetReady(true)
}

// drain refuses new work, moves the connections to other agents and waits for requests in progress, all within the
// drain limit. It then leaves the membership and, for at most the linger time, forwards packets that entries still send
// to this agent.
func (a *terminatingAgent) drain(ctx context.Context) {
	a.process.SetStopping()
	a.dispatcher.Retire()
	a.gossip.Do(ctx, func(now time.Time) { a.gossip.SetState(now, facts.StateDraining) })
	bounded, cancel := context.WithTimeout(ctx, a.settings.Drain.Limit)
	defer cancel()
	a.terminator.Drain(bounded, a.settings.Drain, a.dispatcher.RefuseNew)
	a.dispatcher.AwaitIdle(bounded)
	a.gossip.Leave(ctx)
	a.terminator.Linger(ctx, a.settings.Drain)
}
