// Package cluster runs the real entry and agent programs, with an emulated store, fabric, targets and callers, as
// processes on loopback addresses.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/store"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
	"github.com/coltsfootline/coltsfootline/rig/fabric"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	hashKey      = "000102030405060708090a0b0c0d0e0f"
	packetKey    = "f0e0d0c0b0a090807060504030201000"
)

// Cluster manages the processes of entries and agents, and of the emulated components around them. Set Directory,
// Programs, Size, Seed and Logger, then call Start.
type Cluster struct {
	Directory string
	Programs  Programs
	Size      Size
	Seed      uint64
	Logger    *slog.Logger
	// Policy is the agents' placement policy; empty means their default.
	Policy string
	// Peers holds the connections for calls to the control addresses of the nodes.
	Peers peer.Pool
	// KeepAlive is the agents' TCP keep-alive setting; the zero value means their default.
	KeepAlive tcpstack.KeepAlive
	// ProxyControlLinks makes the nodes that Start starts reach each other's control addresses through proxies, which
	// Isolate can block.
	ProxyControlLinks bool

	Entries []*Node
	Agents  []*Node

	fabricProcess *Process
	storeProcess  *Process
	fabricAddress netip.AddrPort
	fabricControl netip.AddrPort
	storeAddress  netip.AddrPort
	fabricState   fabric.State
	links         *links
	nodesStarted  int
	processes     []*Process
}

// Start starts the store, the fabric and the nodes, waits until every node is ready and all agree on the members, and
// makes the fabric use the entries. Callers are started by StartCaller.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.startStoreAndFabric(ctx); err != nil {
		return err
	}
	if c.ProxyControlLinks {
		if err := c.createLinks(); err != nil {
			return err
		}
	}
	for range c.Size.Entries {
		if _, err := c.AddEntry(); err != nil {
			return err
		}
	}
	for _, s := range c.Size.Services {
		for range s.Hosts {
			if _, err := c.AddAgent(s); err != nil {
				return err
			}
		}
	}
	for _, n := range c.Nodes() {
		if err := c.AwaitReady(ctx, n); err != nil {
			return err
		}
	}
	if err := c.SetFabricEntries(c.Entries); err != nil {
		return err
	}
	return c.awaitMembers(ctx)
}

// awaitMembers waits until every instance reports the same digest of its facts.
func (c *Cluster) awaitMembers(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(pollInterval) {
		digests := map[uint64]bool{}
		for _, n := range c.Nodes() {
			var s peer.StatusReply
			if err := c.Peers.Call(ctx, n.Control, peer.MethodStatus, peer.StatusRequest{}, &s); err != nil {
				return err
			}
			digests[s.Digest] = true
		}
		if len(digests) == 1 {
			return nil
		}
	}
	return &TimeoutError{Process: "the cluster", Action: "agree on its members"}
}

func (c *Cluster) startStoreAndFabric(ctx context.Context) error {
	addresses, err := allocateAddresses(3)
	if err != nil {
		return err
	}
	c.fabricAddress, c.fabricControl, c.storeAddress = addresses[0], addresses[1], addresses[2]
	c.storeProcess, err = c.start("store", c.Programs.Rig, "store", "--listen", c.storeAddress.String())
	if err != nil {
		return err
	}
	c.fabricProcess, err = c.start("fabric", c.Programs.Rig, "fabric", "--listen", c.fabricAddress.String(),
		"--control", c.fabricControl.String(), "--seed", strconv.FormatUint(c.Seed, 10))
	if err != nil {
		return err
	}
	if err := c.awaitHTTPStatus(ctx, "http://"+c.fabricControl.String()+"/", http.StatusNotFound); err != nil {
		return err
	}
	if err := c.awaitHTTPStatus(ctx, "http://"+c.storeAddress.String()+"/", http.StatusNotFound); err != nil {
		return err
	}
	return c.putServices(ctx)
}

func (c *Cluster) putServices(ctx context.Context) error {
	var l services.List
	for _, s := range c.Size.Services {
		l.Services = append(l.Services, s.Service)
	}
	value, err := json.Marshal(l)
	if err != nil {
		return err
	}
	client, err := store.NewClient(c.StoreURL(), store.DefaultDialect)
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, services.DocumentKind, services.DocumentName, value)
	return err
}

// StoreURL returns the base URL of the emulated store.
func (c *Cluster) StoreURL() string {
	return "http://" + c.storeAddress.String()
}

// Fabric returns the address on which the fabric receives packets.
func (c *Cluster) Fabric() netip.AddrPort {
	return c.fabricAddress
}

func (c *Cluster) start(name, program string, arguments ...string) (*Process, error) {
	p, err := startProcess(c.Directory, name, program, arguments...)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

// startNode starts an entry or an agent. These write their logs to the standard output.
func (c *Cluster) startNode(name, program, settingsFile string) (*Process, error) {
	p, err := StartLogged(c.Directory, name, program, "run", "--settings", settingsFile)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

// StartCaller writes a settings file and starts a caller process with it.
func (c *Cluster) StartCaller(name string, settings any) (*Process, error) {
	file, err := c.writeSettings(name, settings)
	if err != nil {
		return nil, err
	}
	return c.start(name, c.Programs.Rig, "caller", "--settings", file)
}

// RunsFile returns the path of the file in which the target of a node records its runs.
func (c *Cluster) RunsFile(n *Node) string {
	return filepath.Join(c.Directory, n.Name+".runs")
}

// AwaitReady waits until the readiness page of a node reports success.
func (c *Cluster) AwaitReady(ctx context.Context, n *Node) error {
	return c.awaitHTTPStatus(ctx, "http://"+n.Admin.String()+"/readyz", http.StatusOK)
}

// awaitHTTPStatus polls a URL until it answers with the given status code.
func (c *Cluster) awaitHTTPStatus(ctx context.Context, url string, status int) error {
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(pollInterval) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == status {
			return nil
		}
	}
	return &TimeoutError{Process: url, Action: "answer with status " + strconv.Itoa(status)}
}

// SetFabricEntries makes the fabric distribute packets over the given entries.
func (c *Cluster) SetFabricEntries(entries []*Node) error {
	c.fabricState.Entries = nil
	for _, e := range entries {
		c.fabricState.Entries = append(c.fabricState.Entries, e.Packets)
	}
	return c.PutFabric("state", c.fabricState)
}

// SetFaults replaces the faults that the fabric applies to packets.
func (c *Cluster) SetFaults(f fabric.Faults) error {
	c.fabricState.Faults = f
	return c.PutFabric("state", c.fabricState)
}

// PutFabric sends a PUT request with a JSON body to the control interface of the fabric.
func (c *Cluster) PutFabric(page string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+c.fabricControl.String()+"/"+page, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// Stop kills every process that this cluster started, including suspended ones.
func (c *Cluster) Stop() {
	c.Peers.Close()
	if c.links != nil {
		defer c.links.stop()
	}
	for _, p := range c.processes {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}
