package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	rigstore "github.com/coltsfootline/coltsfootline/rig/store"
)

// Ports of every machine of a site. Each machine has a loopback address of its own.
const (
	portPackets = 17200 + iota
	portControl
	portInternal
	portAdmin
	portReadiness
	portApp
	portOutbound
	portStore
)

// Last octets of the machines' addresses.
const (
	storeMachine  = 1
	firstEntry    = 10
	firstAgent    = 60
	callerMachine = 160
	routeMachine  = 200
)

// record collects the lines of record.txt.
type record struct {
	mutex sync.Mutex
	lines []string
	begin time.Time
	file  io.Writer
}

func (r *record) add(who, format string, v ...any) {
	r.addAt(time.Now(), who, fmt.Sprintf(format, v...))
}

func (r *record) addAt(at time.Time, who, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f %-8s %s", at.Sub(r.begin).Seconds(), who, text)
	r.lines = append(r.lines, line)
	_, _ = fmt.Fprintln(r.file, line)
}

// site starts the programs under test, with the commands of the deploy file, and their surroundings.
type site struct {
	*record
	root, directory string
	prefix          string
	store           *rigstore.Server
	processes       []*process
	entries         []netip.AddrPort
	// onHostEvent is called with each event line of a host.
	onHostEvent func(at time.Time, kind, text string)
}

// process is a process that the site started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// newSite takes a loopback network and starts the store. record.txt is written to the given folder.
func newSite(folder string) (*site, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{record: &record{begin: time.Now(), file: file}, store: &rigstore.Server{}}
	if s.root, err = os.Getwd(); err != nil {
		return nil, err
	}
	if s.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for i := range 5000 {
		n := (os.Getpid() + i) % 5000
		s.prefix = fmt.Sprintf("127.%d.%d.", 80+n/250, 1+n%250)
		listener, err := net.Listen("tcp4", s.text(storeMachine, portStore))
		if err == nil {
			go func() { _ = http.Serve(listener, s.store.Handler()) }()
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (s *site) address(machine, port int) netip.AddrPort {
	return netip.MustParseAddrPort(s.text(machine, port))
}

func (s *site) text(machine, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, machine, port) }

// start starts a process and passes the lines of its output to onLine, if that is not nil, or to a log file.
func (s *site) start(name string, onLine func(line string), command string, arguments ...string) (*process, error) {
	p := &process{name: name, command: exec.Command(command, arguments...), done: make(chan struct{})}
	p.command.Dir = s.root
	log, err := os.OpenFile(filepath.Join(s.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	var output io.ReadCloser
	if onLine == nil {
		p.command.Stdout = log
	} else if output, err = p.command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		if output != nil {
			for lines := bufio.NewScanner(output); lines.Scan(); {
				onLine(lines.Text())
			}
		}
		_ = p.command.Wait()
		close(p.done)
	}()
	s.processes = append(s.processes, p)
	s.add("script", "%s started", name)
	return p, nil
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// settings writes a settings file with the keys of the templates of the deploy file.
func (s *site) settings(name string, machine, zone int, more map[string]string) (string, error) {
	seeds := fmt.Sprintf("[%q, %q]", s.text(firstEntry, portControl), s.text(firstEntry+1, portControl))
	lines := []string{
		"instance: " + name, fmt.Sprintf("dataCentre: zone-%d", zone), "form: platform", "packets: " + s.text(machine, portPackets),
		"admin: " + s.text(machine, portAdmin), "readiness: " + s.text(machine, portReadiness), "readinessPath: /ready",
		"store: http://" + s.text(storeMachine, portStore),
	}
	for key, value := range more {
		lines = append(lines, key+": "+strings.ReplaceAll(value, "SEEDS", seeds))
	}
	file := filepath.Join(s.directory, name+".yaml")
	return file, os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startEntry starts the i-th entry.
func (s *site) startEntry(i int) (*process, error) {
	name := fmt.Sprintf("edge-%d", i+1)
	file, err := s.settings(name, firstEntry+i, i, map[string]string{"control": s.text(firstEntry+i, portControl), "peers": "SEEDS", "linkMbps": "1000"})
	if err != nil {
		return nil, err
	}
	s.entries = append(s.entries, s.address(firstEntry+i, portPackets))
	return s.start(name, nil, "target/entry", "run", "--settings", file)
}

// startAgent starts an agent of a service on the i-th machine of a host.
func (s *site) startAgent(i int, name, service string) (*process, error) {
	m := firstAgent + i
	file, err := s.settings(name, m, i%2, map[string]string{
		"service": service, "control": s.text(m, portInternal), "entries": "SEEDS", "targetPackets": s.text(m, portApp),
		"outbound": s.text(m, portOutbound), "announcements": s.text(m, portControl), "targetListener": s.text(m, portApp),
	})
	if err != nil {
		return nil, err
	}
	return s.start(name, nil, "target/agent", "run", "--settings", file)
}

// startHost starts the stand-in of a host on the i-th machine of a host.
func (s *site) startHost(i int, id, service string, clockAhead time.Duration) (*process, error) {
	m := firstAgent + i
	return s.start(id, s.hostLine, os.Args[0], "host", "--id", id, "--service", service, "--control", s.text(m, portControl),
		"--app", s.text(m, portApp), "--outbound", s.text(m, portOutbound), "--clock-ahead", clockAhead.String())
}

// hostLine records a line of a host, which begins with the time and the kind of an event.
func (s *site) hostLine(line string) {
	ms, rest, _ := strings.Cut(line, " ")
	kind, text, _ := strings.Cut(rest, " ")
	var unix int64
	_, _ = fmt.Sscan(ms, &unix)
	at := time.UnixMilli(unix)
	s.addAt(at, "host", kind+" "+text)
	if s.onHostEvent != nil {
		s.onHostEvent(at, kind, text)
	}
}

// putConfig writes version 1 of the operator's configuration, with a route for each service.
func (s *site) putConfig(services ...string) error {
	var routes, all []map[string]any
	for i, name := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": s.route(i).Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", s.route(i).Port()), "routeType": "idempotent",
			"timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": name, "maxAttempts": 2,
		})
		all = append(all, map[string]any{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
	}
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": "main"}, "spec": map[string]any{
		"version": 1, "routes": routes, "services": all, "limits": map[string]any{"idleTimeoutMs": 15000},
	}})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+s.text(storeMachine, portStore)+"/objects/config", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("the store answered %d to the configuration", response.StatusCode)
	}
	return nil
}

// route returns the address of the i-th service's route.
func (s *site) route(i int) netip.AddrPort { return s.address(routeMachine+i, 8080) }

// waitReady waits until all entries are ready.
func (s *site) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range s.entries {
			response, err := client.Get("http://" + s.text(firstEntry+i, portReadiness) + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready")
}

// close ends all processes. The logs are kept if KEEP is set.
func (s *site) close() {
	for _, p := range s.processes {
		p.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}
