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
	// readinessInterval is the interval between readiness checks of an entry. After maxFailedChecks failed checks in a row
	// the entry leaves the rotation. Both are the platform's values.
	readinessInterval = 500 * time.Millisecond
	maxFailedChecks   = 2
	readinessPath     = "/ready"
)

// Router emulates the platform's routers: it selects the entry for each flow by a hash over the entries in rotation.
type Router struct {
	mutex   sync.Mutex
	entries []routedEntry
}

// routedEntry is an entry with its addresses and the results of its readiness checks.
type routedEntry struct {
	packets    netip.AddrPort
	readiness  netip.AddrPort
	inRotation bool
	// failedChecks is the number of failed checks since the last successful one.
	failedChecks int
}

// Add adds an entry, which joins the rotation once it is ready.
func (r *Router) Add(packets, readiness netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, routedEntry{packets: packets, readiness: readiness})
}

// Start checks the readiness of the entries until ctx ends.
func (r *Router) Start(ctx context.Context) {
	go r.run(ctx)
}

func (r *Router) run(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval * 4 / 5, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		var pending sync.WaitGroup
		for i := range r.entries {
			pending.Go(func() { r.recordReadiness(i, isReady(ctx, client, r.entries[i].readiness)) })
		}
		pending.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(ctx context.Context, c *http.Client, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+readinessPath, nil)
	if err != nil {
		return false
	}
	response, err := c.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *Router) recordReadiness(i int, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := &r.entries[i]
	if ready {
		e.inRotation, e.failedChecks = true, 0
		return
	}
	if e.failedChecks++; e.failedChecks >= maxFailedChecks {
		e.inRotation = false
	}
}

// ReadyCount returns the number of entries in rotation.
func (r *Router) ReadyCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.inRotation {
			n++
		}
	}
	return n
}

// Route returns the entry for a packet of a flow. If fewer than half of the entries are in rotation, it uses all entries.
func (r *Router) Route(f gue.Flow) netip.AddrPort {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var candidates []netip.AddrPort
	for _, e := range r.entries {
		if e.inRotation {
			candidates = append(candidates, e.packets)
		}
	}
	if 2*len(candidates) < len(r.entries) {
		candidates = candidates[:0]
		for _, e := range r.entries {
			candidates = append(candidates, e.packets)
		}
	}
	return candidates[f.Hash(gue.Key{High: 1})%uint64(len(candidates))]
}
