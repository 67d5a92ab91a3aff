package site

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// longest is the longest fault: an outage of a few seconds.
	longest = 3 * time.Second
	// lossShare is the share of packets that the network loses while it does.
	lossShare = 0.03
)

// fault is one kind of disruption.
type fault struct {
	name string
	do   func(s *Site, r *rand.Rand) string
}

var faults = []fault{
	{"kill", (*Site).killOne},
	{"killAll", (*Site).killAll},
	{"pause", (*Site).pauseOne},
	{"restart", (*Site).restartOne},
	{"reload", (*Site).reloadOne},
	{"store", (*Site).breakStore},
	{"storeForgets", (*Site).forgetHistory},
	{"control", (*Site).breakControl},
	{"announcements", (*Site).breakAnnouncements},
	{"loss", (*Site).losePackets},
	{"targetDies", (*Site).killTarget},
	{"release", (*Site).releaseTarget},
	{"plan", (*Site).changePlan},
}

// FaultNames names the kinds of fault.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// UnknownFaultError reports a kind of fault that does not exist.
type UnknownFaultError struct {
	Name string
}

// Error names the kind.
func (e *UnknownFaultError) Error() string {
	return "no kind of fault is called " + e.Name
}

func kindsOf(only []string) ([]fault, error) {
	if len(only) == 0 {
		return faults, nil
	}
	var kinds []fault
	for _, name := range only {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.WithStack(&UnknownFaultError{Name: name})
		}
		kinds = append(kinds, faults[i])
	}
	return kinds, nil
}

func (s *Site) draw(r *rand.Rand) *node {
	return s.nodes[r.IntN(len(s.nodes))]
}

func some(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(longest)))
}

// restart starts a node's process again.
func (s *Site) restart(n *node) string {
	s.Judge.Disturb(time.Now(), n.agent)
	if err := n.start(s.Directory); err != nil {
		s.Judge.broken("start", n.name+": "+err.Error())
		return n.name + " did not start"
	}
	return n.name
}

func (s *Site) killOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	n.kill()
	time.Sleep(some(r))
	return s.restart(n)
}

func (s *Site) killAll(r *rand.Rand) string {
	var all sync.WaitGroup
	down := some(r)
	for _, n := range s.nodes {
		late := time.Duration(r.Int64N(int64(longest / 6)))
		all.Go(func() {
			n.busy.Lock()
			defer n.busy.Unlock()
			s.Judge.Disturb(time.Now(), n.agent)
			n.kill()
			time.Sleep(down + late)
			s.restart(n)
		})
	}
	all.Wait()
	return "for " + down.String()
}

func (s *Site) pauseOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	n.signal(syscall.SIGSTOP)
	time.Sleep(some(r))
	n.signal(syscall.SIGCONT)
	s.Judge.Disturb(time.Now(), n.agent)
	return n.name
}

func (s *Site) restartOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	if n.stop() {
		s.Judge.broken("stop", n.name+" did not end within "+stopGrace.String())
	}
	return s.restart(n)
}

func (s *Site) reloadOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	n.signal(syscall.SIGHUP)
	return n.name
}

// during sets links to a mode for a while.
func (s *Site) during(m Mode, d time.Duration, agent int, links ...*Link) {
	for _, l := range links {
		if err := l.SetMode(m); err != nil {
			s.Judge.broken("proxy", err.Error())
		}
	}
	s.Judge.Disturb(time.Now(), agent)
	time.Sleep(d)
	s.Judge.Disturb(time.Now(), agent)
	for _, l := range links {
		if err := l.SetMode(ModePass); err != nil {
			s.Judge.broken("proxy", err.Error())
		}
	}
}

func mode(r *rand.Rand) Mode {
	return ModeDelay + Mode(r.IntN(int(modeCount-ModeDelay)))
}

// breakStore disturbs the links of some or all nodes to the store.
func (s *Site) breakStore(r *rand.Rand) string {
	var links []*Link
	whole := r.IntN(2) == 0
	for _, n := range s.nodes {
		if whole || r.IntN(3) == 0 {
			links = append(links, n.store)
		}
	}
	m := mode(r)
	s.during(m, some(r), -1, links...)
	return fmt.Sprintf("%s on %d of %d nodes", m, len(links), len(s.nodes))
}

func (s *Site) forgetHistory(*rand.Rand) string {
	s.store.Forget()
	return ""
}

func (s *Site) breakControl(r *rand.Rand) string {
	n, m := s.draw(r), mode(r)
	s.during(m, some(r), n.agent, n.control...)
	return m.String() + " on " + n.name
}

func (s *Site) breakAnnouncements(r *rand.Rand) string {
	n, m := s.nodes[s.Entries+r.IntN(len(s.Targets))], mode(r)
	s.during(m, some(r), n.agent, n.announcements)
	return m.String() + " on " + n.name
}

func (s *Site) losePackets(r *rand.Rand) string {
	for _, c := range s.Callers {
		c.SetLoss(lossShare)
	}
	time.Sleep(some(r))
	for _, c := range s.Callers {
		c.SetLoss(0)
	}
	return ""
}

// killTarget lets a target start anew, at times with the id that it had.
func (s *Site) killTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	s.Judge.Disturb(time.Now(), t.index)
	id := ""
	if r.IntN(2) == 0 {
		id = t.ID()
	}
	t.Begin(id)
	return agentName(t.index) + " id " + id
}

// releaseTarget drains a target, and replaces it when its time to drain is over.
func (s *Site) releaseTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	id := t.ID()
	t.Drain()
	time.Sleep(drainInForce + some(r))
	if t.ID() == id {
		t.Begin("")
	}
	return agentName(t.index)
}

func (s *Site) changePlan(r *rand.Rand) string {
	if err := s.PutPlan(r.IntN(2) == 0); err != nil {
		s.Judge.broken("plan", err.Error())
	}
	return ""
}
