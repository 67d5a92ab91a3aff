package cluster

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

const (
	fabricLag    = 500 * time.Millisecond
	retireLimit  = 90 * time.Second
	moveLimitMs  = 5000
	moveCallTime = 10 * time.Second
)

// ReplaceEntry starts a new entry, gives it to the fabric and retires an old one, which the fabric goes on using for a while.
func (c *Cluster) ReplaceEntry(ctx context.Context, old *Node) error {
	fresh, err := c.AddEntry()
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, fresh); err != nil {
		return err
	}
	if err := c.UseEntries(c.Entries); err != nil {
		return err
	}
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(fabricLag)
	c.Entries = slices.DeleteFunc(c.Entries, func(n *Node) bool { return n == old })
	if err := c.UseEntries(c.Entries); err != nil {
		return err
	}
	return old.Process.Wait(retireLimit)
}

// LoseEntry kills an entry, which the fabric goes on using until it notices, and starts another.
func (c *Cluster) LoseEntry(ctx context.Context, victim *Node, noticed time.Duration) error {
	victim.Process.Kill()
	time.Sleep(noticed)
	c.Entries = slices.DeleteFunc(c.Entries, func(n *Node) bool { return n == victim })
	if err := c.UseEntries(c.Entries); err != nil {
		return err
	}
	fresh, err := c.AddEntry()
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, fresh); err != nil {
		return err
	}
	return c.UseEntries(c.Entries)
}

// ReplaceAgent starts a new target with its agent and retires an old one.
func (c *Cluster) ReplaceAgent(ctx context.Context, old *Node) error {
	fresh, err := c.AddAgent(old.Service)
	if err != nil {
		return err
	}
	if err := c.AwaitReady(ctx, fresh); err != nil {
		return err
	}
	return c.RetireAgent(old)
}

// RetireAgent tells an agent to drain and waits for its end.
func (c *Cluster) RetireAgent(old *Node) error {
	old.RetiredMs = time.Now().UnixMilli()
	old.Process.Signal(syscall.SIGTERM)
	return old.Process.Wait(retireLimit)
}

// MoveAll makes an agent move its connections to others and returns how many moved.
func (c *Cluster) MoveAll(ctx context.Context, n *Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, moveCallTime)
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
	return slices.Concat(c.Entries, c.Live())
}

// Live lists the agents whose process runs.
func (c *Cluster) Live() []*Node {
	var live []*Node
	for _, n := range c.Agents {
		if n.Process.Running() && n.RetiredMs == 0 {
			live = append(live, n)
		}
	}
	return live
}
