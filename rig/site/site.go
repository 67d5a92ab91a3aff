package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/coltsfootline/coltsfootline/kernel/store"
	"github.com/coltsfootline/coltsfootline/platform"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
	rigstore "github.com/coltsfootline/coltsfootline/rig/store"
)

// Options are what a site is made of.
type Options struct {
	// Directory takes settings and logs.
	Directory string
	Programs  cluster.Programs
	Seed      uint64
	Entries   int
	// Agents is how many agents each service has.
	Agents  int
	Callers int
}

const (
	// startLimit is how long the processes of a site may take until routers use all entries.
	startLimit = 30 * time.Second
	// stopGrace is how long a process may take to end after SIGTERM, as on the platform.
	stopGrace = 6 * time.Second
)

// Site is the running processes with what stands around them.
type Site struct {
	Options

	Judge   *Judge
	Router  *Router
	Targets []*Target
	Callers []*Caller

	network network
	store   rigstore.Server
	client  *store.Client
	nodes   []*node
	random  *rand.Rand

	planMutex sync.Mutex
	plan      uint64
}

// node is a process of the system, which may be started again.
type node struct {
	name     string
	program  string
	settings string
	store    *Link
	// control are the links to the other nodes.
	control []*Link
	// announcements stands before an agent's announcements address; it is nil for an entry.
	announcements *Link
	// agent is the index of the agent, or -1.
	agent int

	// busy is held while a fault uses the process, so that one fault's restart does not meet another's.
	busy    sync.Mutex
	mutex   sync.Mutex
	process *cluster.Process
}

// New starts a site, and returns when callers can be served. It ends with ctx.
func New(ctx context.Context, o Options) (*Site, error) {
	n, err := freeNetwork((os.Getpid()*7 + int(o.Seed)) % networks)
	if err != nil {
		return nil, err
	}
	s := &Site{Options: o, Judge: newJudge(), Router: &Router{}, network: n, random: rand.New(rand.NewPCG(o.Seed, 1))}
	if err := s.startStore(ctx); err != nil {
		return nil, err
	}
	if err := s.PutPlan(false); err != nil {
		return nil, err
	}
	if err := s.startNodes(ctx); err != nil {
		return nil, err
	}
	for i := range o.Callers {
		c := &Caller{Router: s.Router, Judge: s.Judge, address: n.at(firstCaller+i, portPackets), random: rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))}
		if err := c.Start(ctx); err != nil {
			return nil, err
		}
		s.Callers = append(s.Callers, c)
	}
	return s, s.await(ctx)
}

func (s *Site) startStore(ctx context.Context) error {
	l, err := net.Listen("tcp4", s.network.at(storeHost, portControl).String())
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: startLimit}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	s.client, err = store.NewClient("http://"+l.Addr().String(), platform.Form)
	return err
}

func (s *Site) startNodes(ctx context.Context) error {
	var seeds []netip.AddrPort
	for i := range s.Entries {
		seeds = append(seeds, s.network.at(firstEntry+i, portControl))
	}
	for i := range s.Entries {
		at := func(port int) netip.AddrPort { return s.network.at(firstEntry+i, port) }
		settings := common(entryName(i), dataCentre(i), at)
		settings["peers"] = seeds
		if _, err := s.add(ctx, s.Programs.Entry, firstEntry+i, -1, settings); err != nil {
			return err
		}
		s.Router.Add(at(portPackets), at(portReadiness))
	}
	for i := range s.Agents * len(services) {
		if err := s.addAgent(ctx, i, seeds); err != nil {
			return err
		}
	}
	s.Router.Start(ctx)
	return nil
}

func (s *Site) addAgent(ctx context.Context, i int, seeds []netip.AddrPort) error {
	at := func(port int) netip.AddrPort { return s.network.at(firstAgent+i, port) }
	t := &Target{
		Service: services[i%len(services)], Judge: s.Judge, index: i, packets: at(portTarget), outbound: at(portOutbound),
		random: rand.New(rand.NewPCG(s.Seed, uint64(2000+i))),
	}
	settings := common(agentName(i), dataCentre(i), at)
	settings["service"], settings["entries"] = t.Service, seeds
	settings["targetPackets"], settings["outbound"], settings["announcements"] = t.packets, t.outbound, at(portAnnouncements)
	n, err := s.add(ctx, s.Programs.Agent, firstAgent+i, i, settings)
	if err != nil {
		return err
	}
	if n.announcements, err = newLink(ctx, at(0), at(portAnnouncements)); err != nil {
		return err
	}
	t.announcements = "http://" + n.announcements.Address()
	s.Targets = append(s.Targets, t)
	return t.Start(ctx)
}

func common(name, dataCentre string, at func(port int) netip.AddrPort) map[string]any {
	return map[string]any{
		"instance": name, "dataCentre": dataCentre, "form": platform.Form, "packets": at(portPackets), "control": at(portControl),
		"admin": at(portAdmin), "readiness": at(portReadiness), "readinessPath": readinessPath,
	}
}

// add writes the settings of a node and starts it, with a proxy of its own before the store.
func (s *Site) add(ctx context.Context, program string, host, agent int, settings map[string]any) (*node, error) {
	name := fmt.Sprint(settings["instance"])
	n := &node{name: name, program: program, agent: agent, settings: filepath.Join(s.Directory, name+".yaml")}
	var err error
	if n.store, err = newLink(ctx, s.network.at(host, 0), s.network.at(storeHost, portControl)); err != nil {
		return nil, err
	}
	settings["store"] = "http://" + n.store.Address()
	if settings["controlRoutes"], err = s.linkControls(ctx, n, host); err != nil {
		return nil, err
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	s.nodes = append(s.nodes, n)
	return n, n.start(s.Directory)
}

// linkControls makes a link from a node to each other one, and returns them as the settings want them.
func (s *Site) linkControls(ctx context.Context, n *node, host int) ([]map[string]string, error) {
	var routes []map[string]string
	for _, other := range s.hosts() {
		if other == host {
			continue
		}
		to := s.network.at(other, portControl)
		l, err := newLink(ctx, s.network.at(host, 0), to)
		if err != nil {
			return nil, err
		}
		n.control = append(n.control, l)
		routes = append(routes, map[string]string{"to": to.String(), "via": l.Address()})
	}
	return routes, nil
}

// hosts are the last octets of the nodes' addresses.
func (s *Site) hosts() []int {
	var all []int
	for i := range s.Entries {
		all = append(all, firstEntry+i)
	}
	for i := range s.Agents * len(services) {
		all = append(all, firstAgent+i)
	}
	return all
}

func (n *node) start(directory string) error {
	p, err := cluster.StartLogged(directory, n.name, n.program, "run", "--settings", n.settings)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process = p
	return err
}

func (n *node) signal(g syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process.Signal(g)
}

// stop ends the process with SIGTERM, or after the grace time with SIGKILL, which it reports.
func (n *node) stop() (killed bool) {
	n.mutex.Lock()
	p := n.process
	n.mutex.Unlock()
	p.Signal(syscall.SIGTERM)
	if err := p.Wait(stopGrace); err != nil {
		var late *cluster.TimeoutError
		if errors.As(err, &late) {
			p.Kill()
			return true
		}
	}
	return false
}

func (n *node) kill() {
	n.mutex.Lock()
	p := n.process
	n.mutex.Unlock()
	p.Kill()
}

// Close ends the processes.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.process != nil {
			n.kill()
		}
	}
}

// PutPlan writes the next plan, with the extra route or without.
func (s *Site) PutPlan(extra bool) error {
	s.planMutex.Lock()
	defer s.planMutex.Unlock()
	s.plan += 1 + s.random.Uint64N(3)
	p := planOf(s.plan, extra)
	text, err := platform.Plans{}.Encode(p)
	if err != nil {
		return err
	}
	kind, name := platform.Plans{}.Location()
	if _, err = s.client.Put(context.Background(), kind, name, json.RawMessage(text)); err != nil {
		return err
	}
	s.Judge.accepted(time.Now(), p)
	return nil
}

// await waits until routers use all entries and a request is served on each route.
func (s *Site) await(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.Router.Ready() == s.Entries && s.servesAll() {
			return nil
		}
		time.Sleep(readinessPeriod)
	}
	return errors.WithStack(&cluster.TimeoutError{Process: "site", Action: "serve"})
}

func (s *Site) servesAll() bool {
	for i := range services {
		n, _ := s.Callers[0].Open(routeAddress(i))
		if n == nil {
			return false
		}
		outcome := n.Request(fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()))
		n.Close()
		if outcome != OutcomeServed && outcome != OutcomeLate {
			return false
		}
	}
	return true
}

// Logs copies every node's log, for a run that failed.
func (s *Site) Logs(w io.Writer) {
	for _, n := range s.nodes {
		text, err := os.ReadFile(filepath.Join(s.Directory, n.name+".log"))
		if err != nil {
			slog.Warn("log can't be read", "node", n.name, "error", err)
			continue
		}
		_, _ = w.Write(text)
	}
}
