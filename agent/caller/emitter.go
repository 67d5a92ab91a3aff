package caller

import (
	"context"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// emitter sends the stack's packets to the fabric.
type emitter struct {
	terminator *Terminator
}

func (e *emitter) run(ctx context.Context) {
	s := e.terminator.stack.Load()
	for {
		b := s.ReadOutbound(ctx)
		if b == nil {
			return
		}
		if e.terminator.rewriteFromStack(b, time.Now()) {
			e.terminator.sendToCaller(b)
		}
	}
}

// rewriteFromStack rewrites a packet of the stack for the caller and reports whether to send it: only the holder of a
// flow may send its packets.
func (t *Terminator) rewriteFromStack(b []byte, now time.Time) bool {
	p, reason := gue.Parse(b)
	if reason != gue.ReasonNone {
		t.Counters.countDrop(reason)
		return false
	}
	key := p.ReverseFlow()
	f := t.flows.find(key, key.Hash(t.Keys.Hash))
	if f == nil {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch f.state {
	case stateLocal:
		if !f.opened && !p.Flags.Contains(header.TCPFlagSyn) {
			// The packet belongs to an earlier connection of the same 4-tuple, which was aborted for the new one.
			return false
		}
		f.translateFromStack(p, f.key.InitialSequence(t.Keys.Hash, f.callerISN), now)
		return true
	case statePreparing:
		f.deliverSYNACK(p)
		return false
	default:
		return false
	}
}

// deliverSYNACK passes the stack's SYN-ACK to the synthetic handshake that waits for it.
func (f *flow) deliverSYNACK(p gue.Packet) {
	if !p.Flags.Contains(header.TCPFlagSyn) || f.synACK == nil {
		return
	}
	select {
	case f.synACK <- p:
	default:
	}
}
