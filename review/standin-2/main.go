package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/store"
	"github.com/coltsfootline/coltsfootline/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// runLimit is how long a case runs at most.
const runLimit = 110 * time.Second

// observations is what hosts and clients saw.
type observations struct {
	mutex sync.Mutex
	// opened is the host that has the end of a flow's handshake.
	opened map[flowID]*host
	runs   map[string]int
	// ran says where and when each request ran.
	ran    map[string]string
	broken []string
	// syns holds what each host took as the opening packet of a flow.
	syns []openingPacket
}

type openingPacket struct {
	host *host
	flow flowID
	at   time.Time
}

var seen = observations{opened: map[flowID]*host{}, runs: map[string]int{}, ran: map[string]string{}}

func (w *world) onSYN(h *host, f flowID) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.syns = append(seen.syns, openingPacket{host: h, flow: f, at: time.Now()})
}

func (w *world) onOpen(h *host, f flowID) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.opened[f] = h
}

func (w *world) onRun(h *host, f flowID, id string) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.runs[id]++
	seen.ran[id] = fmt.Sprintf("ran at %s at %.3f", h.id, time.Since(w.started).Seconds())
	if seen.runs[id] > 1 {
		w.note("request %s ran %d times", id, seen.runs[id])
	}
}

// whereRan says where and when a request ran.
func whereRan(id string) string {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	if text := seen.ran[id]; text != "" {
		return text
	}
	return "did not run"
}

// violation records that the rule was broken.
func (w *world) violation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.note("RULE BROKEN: %s", text)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.broken = append(seen.broken, text)
}

func route(i int) gue.Endpoint {
	return gue.Endpoint{Address: [4]byte{198, 18, 0, byte(1 + i)}, Port: 443}
}

// operator is the operator's client of the store.
type operator struct {
	client  *store.Client
	version uint64
}

func (w *world) newOperator() (*operator, error) {
	c, err := store.NewClient("http://"+w.address(hostStore, portControl).String(), platform.Form)
	return &operator{client: c, version: 100}, err
}

// configure writes a configuration with one route for each service.
func (o *operator) configure(services ...string) error {
	o.version += 3
	var routes, described []map[string]any
	for i, s := range services {
		r := route(i)
		routes = append(routes, map[string]any{
			"name": "r" + s, "host": r.AddrPort().Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.Port), "service": s, "routeType": "non_idempotent",
			"timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
		})
		described = append(described, map[string]any{"name": s, "healthPath": "/health"})
	}
	spec, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes, "services": described, "limits": map[string]any{"idleTimeoutMs": idleTimeoutMs},
	})
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(2 * time.Second)
	defer cancel()
	_, err = o.client.Put(ctx, "config", "main", spec)
	return err
}

// cases maps the names of the cases to their plays. A play returns an error if it could not run.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitUnable)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// closeOnSignal ends the case, and all processes that it started, on a signal or after runLimit.
func (w *world) closeOnSignal(folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	w.close()
	_ = os.RemoveAll(folder)
	fmt.Println("the case could not run to its end")
	os.Exit(exitUnable)
}

func run(name, root, record string, trouble bool) int {
	folder, err := os.MkdirTemp("", "standin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs in", folder)
	}
	root, _ = filepath.Abs(root)
	w, err := newWorld(root, folder)
	if err == nil {
		go w.closeOnSignal(folder)
		err = cases[name](w, trouble)
		w.close()
	}
	if err == nil && w.fatal != "" {
		err = fmt.Errorf("%s", w.fatal)
	}
	code, verdict := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, verdict = exitUnable, "the case could not run: "+err.Error()
	case len(seen.broken) > 0:
		code, verdict = exitBroken, fmt.Sprintf("the rule was broken %d times; first: %s", len(seen.broken), seen.broken[0])
	}
	if w != nil {
		w.note("%s", verdict)
		lines := slices.Clone(w.record)
		if err := os.WriteFile(record, []byte(fmt.Sprintf("case %s, trouble %v\n", name, trouble)+strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = exitUnable
		}
	}
	fmt.Println(verdict)
	return code
}
