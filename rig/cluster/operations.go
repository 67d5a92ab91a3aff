package cluster

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

const (
	// fabricUpdateDelay is how long the fabric keeps sending packets to an entry that was told to exit.
	fabricUpdateDelay = 500 * time.Millisecond
	// retireTimeout limits how long an entry or agent may take to drain and exit.
	retireTimeout   = 90 * time.Second
	moveLimitMs     = 5000
	moveCallTimeout = 10 * time.Second
)

// ReplaceEntry starts a new entry, adds it to the fabric and tells an old one to exit. The fabric keeps using the old
// entry for fabricUpdateDelay.
func (c *Cluster) ReplaceEntry(ctx context.Context, old *Node) error {
	newNode, err := c.AddEntry()
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, newNode); err != nil {
		return err
	}
	if err := c.SetFabricEntries(c.Entries); err != nil {
		return err
	}
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(fabricUpdateDelay)
	c.Entries = slices.DeleteFunc(c.Entries, func(n *Node) bool { return n == old })
	if err := c.SetFabricEntries(c.Entries); err != nil {
		return err
	}
	return old.Process.Wait(retireTimeout)
}

// KillEntry kills an entry and starts another. The fabric keeps using the killed entry for detectionTime.
func (c *Cluster) KillEntry(ctx context.Context, victim *Node, detectionTime time.Duration) error {
	victim.Process.Kill()
	time.Sleep(detectionTime)
	c.Entries = slices.DeleteFunc(c.Entries, func(n *Node) bool { return n == victim })
	if err := c.SetFabricEntries(c.Entries); err != nil {
		return err
	}
	newNode, err := c.AddEntry()
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, newNode); err != nil {
		return err
	}
	return c.SetFabricEntries(c.Entries)
}

// ReplaceAgent starts a new target with its agent and retires an old one.
func (c *Cluster) ReplaceAgent(ctx context.Context, old *Node) error {
	newNode, err := c.AddAgent(old.Service)
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, newNode); err != nil {
		return err
	}
	return c.RetireAgent(old)
}

// RetireAgent tells an agent to drain and waits until it has exited.
func (c *Cluster) RetireAgent(old *Node) error {
	old.RetiredMs = time.Now().UnixMilli()
	old.Process.Signal(syscall.SIGTERM)
	return old.Process.Wait(retireTimeout)
}

// MoveAll tells an agent to move its connections to other agents and returns how many were moved.
func (c *Cluster) MoveAll(ctx context.Context, n *Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	var reply peer.MoveReply
	err := c.Peers.Call(ctx, n.Control, peer.MethodMove, peer.MoveRequest{LimitMs: moveLimitMs}, &reply)
	return reply.Moved, err
}

// Nodes lists every entry in use and every agent that was started.
func (c *Cluster) Nodes() []*Node {
	return slices.Concat(c.Entries, c.Agents)
}

// Running lists the entries in use and the live agents.
func (c *Cluster) Running() []*Node {
	return slices.Concat(c.Entries, c.LiveAgents())
}

// LiveAgents lists the agents that are running and have not been told to retire.
func (c *Cluster) LiveAgents() []*Node {
	var live []*Node
	for _, n := range c.Agents {
		if n.Process.Running() && n.RetiredMs == 0 {
			live = append(live, n)
		}
	}
	return live
}
