package control

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxFetchJitter limits the random delay before the first request for a newer plan. Instances that learn of a plan at
	// once ask at different times, and each learns of several sources meanwhile.
	maxFetchJitter = 40 * time.Millisecond
	// maxRefusalWait limits the wait before a source that refused is asked again.
	maxRefusalWait = 300 * time.Millisecond
	// peerFetchLimit is how long an instance asks peers for a newer plan before it reads the store. The store answers with
	// the whole plan, uncompressed. A new plan must be in force within 5 s.
	peerFetchLimit = 2 * time.Second
	// maxSources limits the number of known sources of a plan.
	maxSources = 32
)

// planSource is a peer that has a newer plan.
type planSource struct {
	// NotBefore is when to ask the peer.
	NotBefore time.Time
	// Failed is set if the peer did not send the plan.
	Failed bool
}

// planSources decides which peer to ask for a newer plan, and when. The zero value is ready to use.
type planSources struct {
	mutex sync.Mutex
	// version is the newest version that peers have, 0 if no newer one is known. since is when the first newer version was
	// reported after the instance was up to date, or when the last plan was fetched.
	version uint64
	since   time.Time
	sources map[netip.AddrPort]*planSource
}

// observe records that a peer has the plan of a version that is newer than the one in use.
func (s *planSources) observe(now time.Time, version uint64, from netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version == 0 {
		s.since = now
	}
	if version > s.version {
		s.version, s.sources = version, map[netip.AddrPort]*planSource{}
	}
	if version == s.version {
		s.add(from, s.since.Add(rand.N(maxFetchJitter)))
	}
}

// add adds a source. The caller must hold the mutex.
func (s *planSources) add(from netip.AddrPort, notBefore time.Time) {
	if _, known := s.sources[from]; !known && from.IsValid() && len(s.sources) < maxSources {
		s.sources[from] = &planSource{NotBefore: notBefore}
	}
}

// fetchStep is what to do next to get a newer plan: nothing if Version is 0, read the store, ask the peer From, or wait
// until another call.
type fetchStep struct {
	Version uint64
	Store   bool
	From    netip.AddrPort
	Wait    time.Duration
}

// next returns what to do next. used is the version in use.
func (s *planSources) next(now time.Time, used uint64) fetchStep {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version <= used {
		s.version, s.sources = 0, nil
		return fetchStep{}
	}
	step := fetchStep{Version: s.version, Wait: -1}
	ready := 0
	for a, p := range s.sources {
		wait := max(0, p.NotBefore.Sub(now))
		switch {
		case p.Failed:
		case wait == 0:
			// Each of the sources that are ready is chosen with the same probability.
			ready++
			if rand.N(ready) == 0 {
				step.From = a
			}
			step.Wait = 0
		case step.Wait < 0 || wait < step.Wait:
			step.Wait = wait
		}
	}
	step.Store = step.Wait < 0 || now.Sub(s.since) > peerFetchLimit
	return step
}

// refused records that a peer asks to be asked later, and which others it named.
func (s *planSources) refused(now time.Time, from netip.AddrPort, retry time.Duration, elsewhere []netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	retry = min(max(retry, time.Millisecond), maxRefusalWait)
	if p, known := s.sources[from]; known {
		p.NotBefore = now.Add(retry/2 + rand.N(retry))
	}
	if s.version == 0 {
		return
	}
	for _, a := range elsewhere {
		s.add(a, now)
	}
}

// failed records that a peer did not send the plan.
func (s *planSources) failed(from netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p, known := s.sources[from]; known {
		p.Failed = true
	}
}

// succeeded records that a newer plan came into force, although peers may have reported one that is newer still.
func (s *planSources) succeeded(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.since = now
}

// reset forgets the sources after the store was read. The next report of a peer starts anew.
func (s *planSources) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version, s.sources = 0, nil
}
