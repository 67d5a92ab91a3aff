// Package replica speaks to the other agents of the same service: it tells them the load and hands requests over.
package replica

import (
	"net/netip"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// FreshTime is how long a told load counts.
const FreshTime = time.Second

// Peer is another agent with its last known load.
type Peer struct {
	Load placement.Load
	// Requests is the TCP address that takes handed-over requests.
	Requests netip.AddrPort
}

type told struct {
	peer Peer
	at   time.Time
}

// Loads keeps what other agents told. The zero value is ready to use.
type Loads struct {
	mutex sync.Mutex
	told  map[string]told
}

// Note keeps a load told at now.
func (l *Loads) Note(now time.Time, p Peer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.told == nil {
		l.told = make(map[string]told)
	}
	l.told[p.Load.Instance] = told{peer: p, at: now}
}

// Fresh returns the peers whose load was told lately.
func (l *Loads) Fresh(now time.Time) []Peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var fresh []Peer
	for name, t := range l.told {
		if now.Sub(t.at) > FreshTime {
			delete(l.told, name)
			continue
		}
		fresh = append(fresh, t.peer)
	}
	return fresh
}

// Sent counts a request handed to an instance until it tells its load again.
func (l *Loads) Sent(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t, ok := l.told[instance]; ok {
		t.peer.Load.Busy++
		l.told[instance] = t
	}
}

// Forget drops an instance that refused a request until it tells its load again.
func (l *Loads) Forget(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.told, instance)
}
