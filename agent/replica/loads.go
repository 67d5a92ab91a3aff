// Package replica exchanges load reports and requests with the other agents of the same service.
package replica

import (
	"net/netip"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// LoadTTL is how long a load report stays valid.
const LoadTTL = time.Second

// Peer is another agent with its last reported load.
type Peer struct {
	Load placement.Load
	// Requests is the TCP address that takes handed-over requests.
	Requests netip.AddrPort
}

type peerLoad struct {
	peer       Peer
	receivedAt time.Time
}

// Loads holds the latest load report of each peer. The zero value is ready to use.
type Loads struct {
	mutex      sync.Mutex
	byInstance map[string]peerLoad
}

// Update stores a load report that was received at now.
func (l *Loads) Update(now time.Time, p Peer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byInstance == nil {
		l.byInstance = make(map[string]peerLoad)
	}
	l.byInstance[p.Load.Instance] = peerLoad{peer: p, receivedAt: now}
}

// Fresh returns the peers whose load report is at most LoadTTL old and removes all others.
func (l *Loads) Fresh(now time.Time) []Peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var fresh []Peer
	for name, p := range l.byInstance {
		if now.Sub(p.receivedAt) > LoadTTL {
			delete(l.byInstance, name)
			continue
		}
		fresh = append(fresh, p.peer)
	}
	return fresh
}

// AddBusy counts a request handed over to an instance as one more busy slot there, until its next load report.
func (l *Loads) AddBusy(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if p, ok := l.byInstance[instance]; ok {
		p.peer.Load.Busy++
		l.byInstance[instance] = p
	}
}

// Remove drops an instance that refused or failed a request, until its next load report.
func (l *Loads) Remove(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.byInstance, instance)
}
