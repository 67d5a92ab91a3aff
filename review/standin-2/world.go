// Command standin plays the cases of review/6 and later. It starts the project's own programs as processes on loopback
// addresses, and plays the platform around them: the store, the routers, the hosts and the clients.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	rigstore "github.com/coltsfootline/coltsfootline/rig/store"
)

// Ports of each machine. Each machine has a loopback address of its own.
const (
	portPackets  = 18172
	portReady    = 18167
	portControl  = 18166
	portApp      = 18165
	portOutbound = 18162
	portPeers    = 17720
	portAdmin    = 17721
)

const (
	hostStore   = 1
	hostEntries = 10
	hostSides   = 40
	hostClients = 160
)

// The bounds of the site's sheet that the cases use.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	drainTime       = 3 * time.Second
	stableWindow    = 4 * time.Second
	graceTime       = 6 * time.Second
	idleTimeoutMs   = 12000
	// storeAnswer is how long the store takes for an answer.
	storeAnswer = 4 * time.Millisecond
)

var zones = []string{"sohar", "saham", "khabura"}

// world is the platform and the processes of the system.
type world struct {
	network [2]byte
	folder  string
	root    string
	started time.Time

	mutex  sync.Mutex
	record []string

	store rigstore.Server
	// storePort is the port at which the processes reach the store.
	storePort int
	entries   []*node
	sides     []*node
	hosts     []*host
	router    router
	clients   []*client
	fatal     string
}

// note adds a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record = append(w.record, fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds())+fmt.Sprintf(format, arguments...))
}

func (w *world) address(machine, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(machine)}), uint16(port))
}

// newWorld finds a free loopback network and starts the store in it.
func newWorld(root, folder string) (*world, error) {
	w := &world{root: root, folder: folder, started: time.Now(), storePort: portControl}
	var listener net.Listener
	for i := range 200 {
		n := (os.Getpid() + i*7) % 40000
		w.network = [2]byte{byte(60 + n/250%40), byte(1 + n%250)}
		var err error
		if listener, err = net.Listen("tcp4", w.address(hostStore, portControl).String()); err == nil {
			break
		}
	}
	if listener == nil {
		return nil, fmt.Errorf("no free loopback network")
	}
	handler := w.store.Handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			time.Sleep(storeAnswer)
			handler.ServeHTTP(r, q)
		}))
	}()
	w.router.world = w
	return w, nil
}

// node is one process of the system.
type node struct {
	world   *world
	name    string
	program string
	file    string
	machine int

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.world.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.world.root, n.program), "run", "--settings", n.file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.world.root, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	n.mutex.Lock()
	n.cmd, n.ended = cmd, ended
	n.mutex.Unlock()
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end of the process.
func (n *node) stop() {
	n.mutex.Lock()
	cmd, ended := n.cmd, n.ended
	n.mutex.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		_ = cmd.Process.Kill()
		<-ended
	}
}

// restart does planned work on the process: SIGTERM, and a start after the delay.
func (n *node) restart(delay time.Duration) {
	n.world.note("%s gets SIGTERM", n.name)
	n.stop()
	n.world.note("%s has ended", n.name)
	time.Sleep(delay)
	if err := n.start(); err != nil {
		n.world.fail("start " + n.name + ": " + err.Error())
		return
	}
	n.world.note("%s is started again", n.name)
}

func (w *world) fail(text string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.fatal == "" {
		w.fatal = text
	}
}

// close ends all processes that the world started.
func (w *world) close() {
	for _, n := range append(append([]*node{}, w.entries...), w.sides...) {
		n.mutex.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		n.mutex.Unlock()
	}
}

// quoted returns the addresses as a YAML list.
func quoted(all []netip.AddrPort) string {
	texts := make([]string, len(all))
	for i, a := range all {
		texts[i] = `"` + a.String() + `"`
	}
	return "[" + strings.Join(texts, ",") + "]"
}

// addNode writes a settings file of the form of the deploy templates.
func (w *world) addNode(name, program string, machine int, lines []string) (*node, error) {
	n := &node{world: w, name: name, program: program, machine: machine, file: filepath.Join(w.folder, name+".yaml")}
	return n, os.WriteFile(n.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startSystem starts entries, and agents with their hosts. services holds the service of each host.
func (w *world) startSystem(entries int, services []string) error {
	var seeds []netip.AddrPort
	for i := range min(entries, 3) {
		seeds = append(seeds, w.address(hostEntries+i, portControl))
	}
	common := func(name string, zone string, machine int) []string {
		return []string{
			"instance: " + name, "dataCentre: " + zone, "form: platform",
			"packets: " + w.address(machine, portPackets).String(),
			"admin: " + w.address(machine, portAdmin).String(),
			"readiness: " + w.address(machine, portReady).String(), "readinessPath: /ready",
			"store: http://" + w.address(hostStore, w.storePort).String(), "tolerateDataCentres: 0",
		}
	}
	for i := range entries {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones))
		lines := append(common(name, zone, hostEntries+i), "control: "+w.address(hostEntries+i, portControl).String(),
			"peers: "+quoted(seeds), "linkMbps: 1000", "flowLifetime: 60s")
		n, err := w.addNode(name, "target/entry", hostEntries+i, lines)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, n)
	}
	for i, service := range services {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones))
		machine := hostSides + i
		lines := append(common(name, zone, machine), "service: "+service, "control: "+w.address(machine, portPeers).String(),
			"entries: "+quoted(seeds), "targetPackets: "+w.address(machine, portApp).String(),
			"outbound: "+w.address(machine, portOutbound).String(), "announcements: "+w.address(machine, portControl).String(),
			"targetListener: "+w.address(machine, portApp).String())
		n, err := w.addNode(name, "target/agent", machine, lines)
		if err != nil {
			return err
		}
		w.sides = append(w.sides, n)
		h, err := w.startHost(i, service, machine)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, n := range append(append([]*node{}, w.entries...), w.sides...) {
		if err := n.start(); err != nil {
			return err
		}
	}
	go w.router.run()
	return nil
}

// awaitReady waits until all entries are in rotation.
func (w *world) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(w.router.rotation()) == len(w.entries) {
			return true
		}
	}
	return false
}

// router takes clients' packets to the entries in rotation, by a hash of the four addresses and ports.
type router struct {
	world  *world
	mutex  sync.Mutex
	misses map[*node]int
	ready  map[*node]bool
}

// run asks each entry twice a second whether it is ready. After two misses it is out of rotation.
func (r *router) run() {
	r.mutex.Lock()
	r.misses, r.ready = map[*node]int{}, map[*node]bool{}
	r.mutex.Unlock()
	for _, n := range r.world.entries {
		go r.probe(n)
	}
}

func (r *router) probe(n *node) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + r.world.address(n.machine, portReady).String() + "/ready"
	for range time.Tick(500 * time.Millisecond) {
		response, err := client.Get(url)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mutex.Lock()
		was := r.ready[n]
		switch {
		case ok:
			r.misses[n], r.ready[n] = 0, true
		default:
			r.misses[n]++
			r.ready[n] = r.ready[n] && r.misses[n] < 2
		}
		now := r.ready[n]
		r.mutex.Unlock()
		if was != now {
			r.world.note("%s is in rotation: %v", n.name, now)
		}
	}
}

// rotation returns the entries that take packets.
func (r *router) rotation() []*node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []*node
	for _, n := range r.world.entries {
		if r.ready[n] {
			all = append(all, n)
		}
	}
	return all
}

// entryFor returns the entry for a flow, or nil if none is in rotation.
func (r *router) entryFor(f flowID) *node {
	all := r.rotation()
	if len(all) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.String()))
	return all[int(h.Sum32())%len(all)]
}

// withTimeout is a context for one call of a stand-in.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
