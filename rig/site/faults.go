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
	// maxFaultDuration bounds the random duration of a fault. It covers an outage of a few seconds.
	maxFaultDuration = 3 * time.Second
	// lossRate is the fraction of packets that are lost during a loss fault.
	lossRate = 0.03
)

// fault is a kind of fault that can be injected into a site.
type fault struct {
	name string
	// inject injects the fault, returns once it is over, and describes it for the list of injected faults.
	inject func(s *Site, r *rand.Rand) string
}

var faults = []fault{
	{"kill", (*Site).killNode},
	{"killAll", (*Site).killAll},
	{"pause", (*Site).pauseNode},
	{"restart", (*Site).restartNode},
	{"reload", (*Site).reloadNode},
	{"store", (*Site).disruptStore},
	{"storeForgets", (*Site).dropStoreHistory},
	{"control", (*Site).disruptControl},
	{"announcements", (*Site).disruptAnnouncements},
	{"loss", (*Site).losePackets},
	{"targetDies", (*Site).restartTarget},
	{"release", (*Site).replaceTarget},
	{"plan", (*Site).changePlan},
	{"evacuate", (*Site).evacuate},
	{"storeReturns", (*Site).returnStore},
}

// FaultNames returns the names of all kinds of fault.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// UnknownFaultError reports an unknown kind of fault.
type UnknownFaultError struct {
	Name string
}

// Error names the unknown kind.
func (e *UnknownFaultError) Error() string {
	return "unknown kind of fault: " + e.Name
}

// selectFaults returns the named kinds of fault, or all kinds if there are no names.
func selectFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var selected []fault
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.WithStack(&UnknownFaultError{Name: name})
		}
		selected = append(selected, faults[i])
	}
	return selected, nil
}

func (s *Site) randomNode(r *rand.Rand) *node {
	return s.nodes[r.IntN(len(s.nodes))]
}

func randomDuration(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(maxFaultDuration)))
}

// startProcess starts the process of a stopped or killed node.
func (s *Site) startProcess(n *node) string {
	s.Checker.RecordDisruption(time.Now(), n.agentIndex)
	if err := n.start(s.Directory); err != nil {
		s.Checker.report("start", n.name+": "+err.Error())
		return n.name + " did not start"
	}
	return n.name
}

func (s *Site) killNode(r *rand.Rand) string {
	n := s.randomNode(r)
	n.faultMutex.Lock()
	defer n.faultMutex.Unlock()
	s.Checker.RecordDisruption(time.Now(), n.agentIndex)
	n.kill()
	time.Sleep(randomDuration(r))
	return s.startProcess(n)
}

// killAll kills all nodes and starts them again after about the same downtime.
func (s *Site) killAll(r *rand.Rand) string {
	var restarts sync.WaitGroup
	downtime := randomDuration(r)
	for _, n := range s.nodes {
		extraDowntime := time.Duration(r.Int64N(int64(maxFaultDuration / 6)))
		restarts.Go(func() {
			n.faultMutex.Lock()
			defer n.faultMutex.Unlock()
			s.Checker.RecordDisruption(time.Now(), n.agentIndex)
			n.kill()
			time.Sleep(downtime + extraDowntime)
			s.startProcess(n)
		})
	}
	restarts.Wait()
	return "for " + downtime.String()
}

// pauseNode stops a node with SIGSTOP and continues it with SIGCONT.
func (s *Site) pauseNode(r *rand.Rand) string {
	n := s.randomNode(r)
	n.faultMutex.Lock()
	defer n.faultMutex.Unlock()
	s.Checker.RecordDisruption(time.Now(), n.agentIndex)
	n.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(r))
	n.signal(syscall.SIGCONT)
	s.Checker.RecordDisruption(time.Now(), n.agentIndex)
	return n.name
}

// restartNode stops a node with SIGTERM and starts it again.
func (s *Site) restartNode(r *rand.Rand) string {
	n := s.randomNode(r)
	n.faultMutex.Lock()
	defer n.faultMutex.Unlock()
	s.Checker.RecordDisruption(time.Now(), n.agentIndex)
	if n.stop() {
		s.Checker.report("stop", n.name+" did not exit within "+stopGracePeriod.String())
	}
	return s.startProcess(n)
}

// reloadNode sends SIGHUP, on which a node reloads its settings.
func (s *Site) reloadNode(r *rand.Rand) string {
	n := s.randomNode(r)
	n.faultMutex.Lock()
	defer n.faultMutex.Unlock()
	n.signal(syscall.SIGHUP)
	return n.name
}

// disruptLinks sets links to a mode for the given duration and then back to ModePass. It records a disruption at the start
// and at the end.
func (s *Site) disruptLinks(m Mode, d time.Duration, agentIndex int, links ...*Link) {
	for _, l := range links {
		if err := l.SetMode(m); err != nil {
			s.Checker.report("proxy", err.Error())
		}
	}
	s.Checker.RecordDisruption(time.Now(), agentIndex)
	s.Checker.recordLinkDisruption(time.Now())
	time.Sleep(d)
	s.Checker.RecordDisruption(time.Now(), agentIndex)
	s.Checker.recordLinkDisruption(time.Now())
	for _, l := range links {
		if err := l.SetMode(ModePass); err != nil {
			s.Checker.report("proxy", err.Error())
		}
	}
}

// randomMode returns any mode but ModePass.
func randomMode(r *rand.Rand) Mode {
	return ModeDelay + Mode(r.IntN(int(modeCount-ModeDelay)))
}

// disruptStore disrupts the store links of all nodes or of a random subset.
func (s *Site) disruptStore(r *rand.Rand) string {
	var links []*Link
	allNodes := r.IntN(2) == 0
	for _, n := range s.nodes {
		if allNodes || r.IntN(3) == 0 {
			links = append(links, n.storeLink)
		}
	}
	m := randomMode(r)
	s.disruptLinks(m, randomDuration(r), -1, links...)
	return fmt.Sprintf("%s on %d of %d nodes", m, len(links), len(s.nodes))
}

func (s *Site) dropStoreHistory(*rand.Rand) string {
	s.storeServer.DropHistory()
	return ""
}

func (s *Site) disruptControl(r *rand.Rand) string {
	n, m := s.randomNode(r), randomMode(r)
	s.disruptLinks(m, randomDuration(r), n.agentIndex, n.controlLinks...)
	return m.String() + " on " + n.name
}

func (s *Site) disruptAnnouncements(r *rand.Rand) string {
	n, m := s.nodes[s.Entries+r.IntN(len(s.Targets))], randomMode(r)
	s.disruptLinks(m, randomDuration(r), n.agentIndex, n.announcementsLink)
	return m.String() + " on " + n.name
}

func (s *Site) losePackets(r *rand.Rand) string {
	for _, c := range s.Callers {
		c.SetLoss(lossRate)
	}
	time.Sleep(randomDuration(r))
	for _, c := range s.Callers {
		c.SetLoss(0)
	}
	return ""
}

// restartTarget starts a new incarnation of a target, in half of the cases with the same id.
func (s *Site) restartTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	s.Checker.RecordDisruption(time.Now(), t.agentIndex)
	id := ""
	if r.IntN(2) == 0 {
		id = t.ID()
	}
	t.StartIncarnation(id)
	return agentName(t.agentIndex) + " id " + id
}

// replaceTarget drains a target and, once its time to drain is over, replaces it with a new incarnation. It does nothing
// more if the target's id has changed by then.
func (s *Site) replaceTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	id := t.ID()
	t.Drain()
	time.Sleep(drainPropagationLimit + randomDuration(r))
	if t.ID() == id {
		t.StartIncarnation("")
	}
	return agentName(t.agentIndex)
}

// changePlan stores a new plan, in half of the cases with the extra route.
func (s *Site) changePlan(r *rand.Rand) string {
	if err := s.PutPlan(r.IntN(2) == 0); err != nil {
		s.Checker.report("plan", err.Error())
	}
	return ""
}
