package site

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	// readinessPeriod is how often routers ask entries whether they are ready, and missesOut how many misses in a row take
	// one out of the rotation; both are the platform's.
	readinessPeriod = 500 * time.Millisecond
	missesOut       = 2
	readinessPath   = "/ready"
)

// Router hands callers' packets to entries by a hash of the flow over those in rotation.
type Router struct {
	mutex   sync.Mutex
	entries []routedEntry
}

type routedEntry struct {
	packets   netip.AddrPort
	readiness netip.AddrPort
	in        bool
	misses    int
}

// Add lets the router know an entry; it is in rotation once it is ready.
func (r *Router) Add(packets, readiness netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, routedEntry{packets: packets, readiness: readiness})
}

// Start asks for readiness until ctx ends.
func (r *Router) Start(ctx context.Context) {
	go r.run(ctx)
}

func (r *Router) run(ctx context.Context) {
	client := &http.Client{Timeout: readinessPeriod * 4 / 5, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessPeriod)
	defer ticker.Stop()
	for {
		var asked sync.WaitGroup
		for i := range r.entries {
			asked.Go(func() { r.note(i, isReady(ctx, client, r.entries[i].readiness)) })
		}
		asked.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(ctx context.Context, c *http.Client, a netip.AddrPort) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+readinessPath, nil)
	if err != nil {
		return false
	}
	response, err := c.Do(q)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *Router) note(i int, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := &r.entries[i]
	if ready {
		e.in, e.misses = true, 0
		return
	}
	if e.misses++; e.misses >= missesOut {
		e.in = false
	}
}

// Ready counts the entries in rotation.
func (r *Router) Ready() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.in {
			n++
		}
	}
	return n
}

// Route returns the entry for a packet of a flow. With fewer than half in rotation all are used.
func (r *Router) Route(f gue.Flow) netip.AddrPort {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var in []netip.AddrPort
	for _, e := range r.entries {
		if e.in {
			in = append(in, e.packets)
		}
	}
	if 2*len(in) < len(r.entries) {
		in = in[:0]
		for _, e := range r.entries {
			in = append(in, e.packets)
		}
	}
	return in[f.Hash(gue.Key{High: 1})%uint64(len(in))]
}
