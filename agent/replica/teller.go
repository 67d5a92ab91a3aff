package replica

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// MethodTell is the notification that carries a load.
const MethodTell = "load.tell"

const (
	tellPeriod = 100 * time.Millisecond
	// tellFanOut bounds how many agents are told at once, whatever the size of the service.
	tellFanOut = 6
)

// Tell is the notification's params.
type Tell struct {
	placement.Load
	Requests netip.AddrPort `json:"requests"`
}

// Notifier sends notifications to other instances.
type Notifier interface {
	Notify(ctx context.Context, to netip.AddrPort, method string, params any) error
}

// Teller tells the own load to a few agents of the service. Set the exported fields, then Start.
type Teller struct {
	Self     facts.Member
	Notifier Notifier
	Load     func(now time.Time) placement.Load
	Members  func() []facts.Member
}

// Start tells until ctx ends.
func (t *Teller) Start(ctx context.Context) {
	go t.run(ctx)
}

func (t *Teller) run(ctx context.Context) {
	ticker := time.NewTicker(tellPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.tellSome(ctx, now)
		}
	}
}

func (t *Teller) tellSome(ctx context.Context, now time.Time) {
	members := t.Members()
	message := Tell{Load: t.Load(now), Requests: t.Self.Requests}
	ctx, cancel := context.WithTimeout(ctx, tellPeriod)
	defer cancel()
	told := 0
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if m.Instance == t.Self.Instance || m.State != facts.StateServing {
			continue
		}
		// A lost load is replaced by the next.
		_ = t.Notifier.Notify(ctx, m.Control, MethodTell, message)
		told++
		if told == tellFanOut {
			return
		}
	}
}

// Tell notes a load that another agent told.
func (l *Loads) Tell(_ context.Context, m Tell) (struct{}, error) {
	l.Note(time.Now(), Peer{Load: m.Load, Requests: m.Requests})
	return struct{}{}, nil
}
