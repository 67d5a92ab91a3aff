// Package cluster starts the real programs and the stand-ins as processes on loopback.
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
	readyPause   = 50 * time.Millisecond
	hashKey      = "000102030405060708090a0b0c0d0e0f"
	packetKey    = "f0e0d0c0b0a090807060504030201000"
)

// Cluster is the running system with its stand-ins. Set Directory, Programs, Size, Seed and Logger, then Start.
type Cluster struct {
	Directory string
	Programs  Programs
	Size      Size
	Seed      uint64
	Logger    *slog.Logger
	// Policy is the agents' placement policy; empty means their default.
	Policy string
	Peers  peer.Pool
	// KeepAlive is the agents' setting; the zero value means their default.
	KeepAlive tcpstack.KeepAlive
	// Proxied puts a proxy that can be cut into each control link between the nodes that Start starts.
	Proxied bool

	Entries []*Node
	Agents  []*Node

	fabricProcess *Process
	storeProcess  *Process
	fabricAddress netip.AddrPort
	fabricControl netip.AddrPort
	storeAddress  netip.AddrPort
	faults        fabric.State
	links         *links
	started       int
	everyProcess  []*Process
}

// Start starts every process and waits until each is ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.startStandIns(ctx); err != nil {
		return err
	}
	if c.Proxied {
		if err := c.planLinks(); err != nil {
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
	if err := c.UseEntries(c.Entries); err != nil {
		return err
	}
	return c.awaitMembers(ctx)
}

// awaitMembers waits until every instance has the same facts.
func (c *Cluster) awaitMembers(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(readyPause) {
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
	return &TimeoutError{Process: "the cluster", Waiting: "agree on its members"}
}

func (c *Cluster) startStandIns(ctx context.Context) error {
	addresses, err := freeAddresses(3)
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
	if err := c.awaitPage(ctx, "http://"+c.fabricControl.String()+"/", http.StatusNotFound); err != nil {
		return err
	}
	if err := c.awaitPage(ctx, "http://"+c.storeAddress.String()+"/", http.StatusNotFound); err != nil {
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

// StoreURL is the base address of the store stand-in.
func (c *Cluster) StoreURL() string {
	return "http://" + c.storeAddress.String()
}

// Fabric is the fabric's packet address.
func (c *Cluster) Fabric() netip.AddrPort {
	return c.fabricAddress
}

func (c *Cluster) start(name, program string, arguments ...string) (*Process, error) {
	p, err := startProcess(c.Directory, name, program, arguments...)
	if err == nil {
		c.everyProcess = append(c.everyProcess, p)
	}
	return p, err
}

// StartCaller starts a caller process with its settings.
func (c *Cluster) StartCaller(name string, settings any) (*Process, error) {
	file, err := c.writeSettings(name, settings)
	if err != nil {
		return nil, err
	}
	return c.start(name, c.Programs.Rig, "caller", "--settings", file)
}

// RunsFile is where the target of a node records its runs.
func (c *Cluster) RunsFile(n *Node) string {
	return filepath.Join(c.Directory, n.Name+".runs")
}

// AwaitReady waits for a node's readiness page.
func (c *Cluster) AwaitReady(ctx context.Context, n *Node) error {
	return c.awaitPage(ctx, "http://"+n.Admin.String()+"/readyz", http.StatusOK)
}

func (c *Cluster) awaitPage(ctx context.Context, url string, status int) error {
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(readyPause) {
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
	return &TimeoutError{Process: url, Waiting: "answer"}
}

// UseEntries makes the fabric spray over the given entries.
func (c *Cluster) UseEntries(entries []*Node) error {
	c.faults.Entries = nil
	for _, e := range entries {
		c.faults.Entries = append(c.faults.Entries, e.Packets)
	}
	return c.PutFabric("state", c.faults)
}

// SetFaults changes what the fabric does to packets.
func (c *Cluster) SetFaults(f fabric.Faults) error {
	c.faults.Faults = f
	return c.PutFabric("state", c.faults)
}

// PutFabric calls the fabric's control page.
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

// Stop ends every process that this cluster started.
func (c *Cluster) Stop() {
	c.Peers.Close()
	if c.links != nil {
		defer c.links.stop()
	}
	for _, p := range c.everyProcess {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}
