package caller

import (
	"context"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// emitter brings the stack's packets to the fabric.
type emitter struct {
	owner *Terminator
}

func (e *emitter) run(ctx context.Context) {
	s := e.owner.stack.Load()
	for {
		b := s.ReadOutbound(ctx)
		if b == nil {
			return
		}
		if e.owner.emit(b, time.Now()) {
			e.owner.toCaller(b)
		}
	}
}

// emit rewrites a packet of the stack and decides whether it may leave: only the holder of a flow answers for it.
func (t *Terminator) emit(b []byte, now time.Time) bool {
	p, reason := gue.Parse(b)
	if reason != gue.ReasonNone {
		t.Counters.drop(reason)
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
		f.fromStack(p, f.key.InitialSequence(t.Keys.Hash, f.callerInitial), now)
		return true
	case statePreparing:
		f.noteOpening(p)
		return false
	default:
		return false
	}
}

// noteOpening passes the stack's SYN-ACK to the handshake that waits for it.
func (f *flow) noteOpening(p gue.Packet) {
	if !p.Flags.Contains(header.TCPFlagSyn) || f.opening == nil {
		return
	}
	select {
	case f.opening <- p:
	default:
	}
}
