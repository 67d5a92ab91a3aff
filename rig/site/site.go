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

// Options configures a site.
type Options struct {
	// Directory receives the settings files and logs of the processes.
	Directory string
	// Programs holds the paths of the entry and agent programs.
	Programs cluster.Programs
	Seed     uint64
	Entries  int
	// Agents is the number of agents per service.
	Agents  int
	Callers int
}

const (
	// startTimeout limits the wait, after all processes have started, until all entries are in rotation and each route is
	// served. The store also uses it as its read header timeout.
	startTimeout = 30 * time.Second
	// stopGracePeriod is the time between SIGTERM and SIGKILL. The platform uses the same value.
	stopGracePeriod = 6 * time.Second
)

// Site holds the running processes and the emulated routers, callers, targets and store around them.
type Site struct {
	Options

	Checker *Checker
	Router  *Router
	Targets []*Target
	Callers []*Caller

	network     network
	storeServer rigstore.Server
	operator    operator
	nodes       []*node
	random      *rand.Rand

	// evacuationMutex is held while a data centre is evacuated.
	evacuationMutex sync.Mutex
	// returnMutex is held while the store is about to return from a copy.
	returnMutex sync.Mutex

	planMutex   sync.Mutex
	planVersion uint64
}

// node is an entry or agent process, which can be started again.
type node struct {
	name         string
	program      string
	settingsPath string
	storeLink    *Link
	// controlLinks lead to the control addresses of all other nodes.
	controlLinks []*Link
	// announcementsLink leads to an agent's announcements address. It is nil for an entry.
	announcementsLink *Link
	// agentIndex is the index of the agent, or -1 for an entry.
	agentIndex int

	// faultMutex is held while a fault acts on the process, so that two faults do not restart it at the same time. Faults
	// of its links do not hold it.
	faultMutex sync.Mutex
	mutex      sync.Mutex
	process    *cluster.Process
}

// New starts a site and returns when the route of each service is served. The emulated machines run until ctx ends, and
// the processes until Close. If the routes are not served in time, New returns the site together with the error.
func New(ctx context.Context, o Options) (*Site, error) {
	n, err := freeNetwork((os.Getpid()*7 + int(o.Seed)) % networkCount)
	if err != nil {
		return nil, err
	}
	s := &Site{Options: o, Checker: newChecker(), Router: &Router{}, network: n, random: rand.New(rand.NewPCG(o.Seed, 1))}
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
		c := &Caller{Router: s.Router, Checker: s.Checker, address: n.address(firstCallerHost+i, portPackets), random: rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))}
		if err := c.Start(ctx); err != nil {
			return nil, err
		}
		s.Callers = append(s.Callers, c)
	}
	return s, s.waitServing(ctx)
}

func (s *Site) startStore(ctx context.Context) error {
	l, err := net.Listen("tcp4", s.network.address(storeHost, portControl).String())
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: s.storeServer.Handler(), ReadHeaderTimeout: startTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	s.operator.client, err = store.NewClient("http://"+l.Addr().String(), platform.Form)
	return err
}

func (s *Site) startNodes(ctx context.Context) error {
	var seeds []netip.AddrPort
	for i := range s.Entries {
		seeds = append(seeds, s.network.address(firstEntryHost+i, portControl))
	}
	for i := range s.Entries {
		address := func(port int) netip.AddrPort { return s.network.address(firstEntryHost+i, port) }
		settings := commonSettings(entryName(i), dataCentre(i), address)
		settings["peers"] = seeds
		if _, err := s.addNode(ctx, s.Programs.Entry, firstEntryHost+i, -1, settings); err != nil {
			return err
		}
		s.Router.Add(address(portPackets), address(portReadiness))
	}
	for i := range s.Agents * len(services) {
		if err := s.addAgent(ctx, i, seeds); err != nil {
			return err
		}
	}
	s.Router.Start(ctx)
	return nil
}

// addAgent starts the i-th agent and its target.
func (s *Site) addAgent(ctx context.Context, i int, seeds []netip.AddrPort) error {
	address := func(port int) netip.AddrPort { return s.network.address(firstAgentHost+i, port) }
	t := &Target{
		Service: services[i%len(services)], Checker: s.Checker, agentIndex: i, packets: address(portTarget), outbound: address(portOutbound),
		random: rand.New(rand.NewPCG(s.Seed, uint64(2000+i))),
	}
	settings := commonSettings(agentName(i), agentDataCentre(i), address)
	settings["service"], settings["entries"] = t.Service, seeds
	settings["targetPackets"], settings["outbound"], settings["announcements"] = t.packets, t.outbound, address(portAnnouncements)
	n, err := s.addNode(ctx, s.Programs.Agent, firstAgentHost+i, i, settings)
	if err != nil {
		return err
	}
	if n.announcementsLink, err = newLink(ctx, address(0), address(portAnnouncements)); err != nil {
		return err
	}
	t.announcements = "http://" + n.announcementsLink.Address()
	s.Targets = append(s.Targets, t)
	return t.Start(ctx)
}

// commonSettings returns the settings that entries and agents share.
func commonSettings(name, dataCentre string, address func(port int) netip.AddrPort) map[string]any {
	return map[string]any{
		"instance": name, "dataCentre": dataCentre, "form": platform.Form, "packets": address(portPackets), "control": address(portControl),
		"admin": address(portAdmin), "readiness": address(portReadiness), "readinessPath": readinessPath,
		"evacuations": true,
	}
}

// addNode writes the settings of a node and starts it. The node calls the store and the other nodes through links of its
// own.
func (s *Site) addNode(ctx context.Context, program string, host, agentIndex int, settings map[string]any) (*node, error) {
	name := fmt.Sprint(settings["instance"])
	n := &node{name: name, program: program, agentIndex: agentIndex, settingsPath: filepath.Join(s.Directory, name+".yaml")}
	var err error
	if n.storeLink, err = newLink(ctx, s.network.address(host, 0), s.network.address(storeHost, portControl)); err != nil {
		return nil, err
	}
	settings["store"] = "http://" + n.storeLink.Address()
	if settings["controlRoutes"], err = s.newControlLinks(ctx, n, host); err != nil {
		return nil, err
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := os.WriteFile(n.settingsPath, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	s.nodes = append(s.nodes, n)
	return n, n.start(s.Directory)
}

// newControlLinks creates a link from a node to every other node, adds the links to controlLinks and returns their
// addresses in the form of the controlRoutes setting.
func (s *Site) newControlLinks(ctx context.Context, n *node, host int) ([]map[string]string, error) {
	var routes []map[string]string
	for _, other := range s.nodeHosts() {
		if other == host {
			continue
		}
		to := s.network.address(other, portControl)
		l, err := newLink(ctx, s.network.address(host, 0), to)
		if err != nil {
			return nil, err
		}
		n.controlLinks = append(n.controlLinks, l)
		routes = append(routes, map[string]string{"to": to.String(), "via": l.Address()})
	}
	return routes, nil
}

// nodeHosts returns the last octets of the addresses of all nodes.
func (s *Site) nodeHosts() []int {
	var all []int
	for i := range s.Entries {
		all = append(all, firstEntryHost+i)
	}
	for i := range s.Agents * len(services) {
		all = append(all, firstAgentHost+i)
	}
	return all
}

// start starts the process. Its log file in the directory is appended to.
func (n *node) start(directory string) error {
	p, err := cluster.StartLogged(directory, n.name, n.program, "run", "--settings", n.settingsPath)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process = p
	return err
}

func (n *node) signal(sig syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process.Signal(sig)
}

// stop sends SIGTERM and, if the process is still running after the grace period, SIGKILL. It reports whether it sent
// SIGKILL.
func (n *node) stop() (killed bool) {
	n.mutex.Lock()
	p := n.process
	n.mutex.Unlock()
	p.Signal(syscall.SIGTERM)
	if err := p.Wait(stopGracePeriod); err != nil {
		var timeout *cluster.TimeoutError
		if errors.As(err, &timeout) {
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

// Close kills all processes.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.process != nil {
			n.kill()
		}
	}
}

// PutPlan stores a new plan, with or without the extra route. Its version is 1 to 3 higher than the previous one.
func (s *Site) PutPlan(extra bool) error {
	s.planMutex.Lock()
	defer s.planMutex.Unlock()
	s.planVersion += 1 + s.random.Uint64N(3)
	p := newPlan(s.planVersion, extra)
	text, err := platform.PlanFormat{}.Encode(p)
	if err != nil {
		return err
	}
	kind, name := platform.PlanFormat{}.Location()
	if err = s.operator.put(kind, name, json.RawMessage(text)); err != nil {
		return err
	}
	s.Checker.recordPlan(time.Now(), p)
	return nil
}

// waitServing waits until all entries are in rotation and a request is served on the route of each service.
func (s *Site) waitServing(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.Router.ReadyCount() == s.Entries && s.servesAllServices() {
			return nil
		}
		time.Sleep(readinessInterval)
	}
	return errors.WithStack(&cluster.TimeoutError{Process: "site", Action: "serve"})
}

// servesAllServices reports whether a request is served on the route of each service.
func (s *Site) servesAllServices() bool {
	for i := range services {
		conn, _ := s.Callers[0].Open(routeAddress(i))
		if conn == nil {
			return false
		}
		outcome := conn.Request(fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()))
		conn.Close()
		if outcome != OutcomeServed && outcome != OutcomeLate {
			return false
		}
	}
	return true
}

// WriteLogs copies the logs of all nodes to w.
func (s *Site) WriteLogs(w io.Writer) {
	for _, n := range s.nodes {
		text, err := os.ReadFile(filepath.Join(s.Directory, n.name+".log"))
		if err != nil {
			slog.Warn("cannot read log file", "node", n.name, "error", err)
			continue
		}
		_, _ = w.Write(text)
	}
}
