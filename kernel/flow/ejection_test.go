package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	faultFrom = 2 * time.Second
	faultTo   = 7 * time.Second
	modelTime = 9 * time.Second
	// factDelay is how long a member fact takes to reach the entries.
	factDelay = 300 * time.Millisecond
)

// ejectionModel is a model whose hosts may misbehave between faultFrom and faultTo.
type ejectionModel struct {
	*model

	start     time.Time
	decisions []timedDecision
	// changes counts the changes of the facts.
	changes int
	// delay is how long a fact takes to reach the entries.
	delay time.Duration
}

// timedDecision is a decision of an entry, with the time since the fault began.
type timedDecision struct {
	Decision

	at    time.Duration
	entry netip.AddrPort
}

// fault handles a request in a slot of a host and reports whether it did. It frees the slot itself.
type fault func(m *ejectionModel, h *modelHost, f gue.Flow) bool

// answerAfter answers a request that has a slot.
func (m *model) answerAfter(h *modelHost, f gue.Flow, d time.Duration, size int, isError bool) {
	m.after(d, func() {
		if !h.held[f] {
			return
		}
		h.serving--
		delete(h.held, f)
		if isError {
			m.errors[f.Caller] = true
		}
		m.fromTarget(h, encode(Header{Source: f.Service, Destination: f.Caller, Length: size, Sequence: 2}))
		m.serve(h)
	})
}

// tryAgain opens another flow for a request, unless a target may have run a part of it and it must not run twice.
func (m *model) tryAgain(r *modelRequest) {
	if r.answered && m.kinds[r.kind].once {
		m.results[r.kind].failed++
		return
	}
	m.open(r)
}

func (m *ejectionModel) faulty() bool {
	t := m.now.Sub(m.start)
	return t >= faultFrom && t < faultTo
}

// free ends a request without an answer.
func (m *ejectionModel) free(h *modelHost, f gue.Flow) {
	h.serving--
	delete(h.held, f)
	m.serve(h)
}

func (m *ejectionModel) index(h *modelHost) int { return int(h.address.Addr().As4()[3]) }

// sometimes returns a fault of the given share of the requests of the hosts with a lower number than hosts.
func sometimes(hosts int, share float64, do func(m *ejectionModel, h *modelHost, f gue.Flow)) fault {
	return func(m *ejectionModel, h *modelHost, f gue.Flow) bool {
		if m.index(h) >= hosts || !m.faulty() || m.random.Float64() >= share {
			return false
		}
		do(m, h, f)
		return true
	}
}

func failQuickly(m *ejectionModel, h *modelHost, f gue.Flow) {
	m.answerAfter(h, f, time.Millisecond, 100, true)
}

func answerQuickly(m *ejectionModel, h *modelHost, f gue.Flow) {
	m.answerAfter(h, f, time.Millisecond, 100, false)
}

func answerSlowly(m *ejectionModel, h *modelHost, f gue.Flow) {
	m.answerAfter(h, f, 8*m.work[f.Caller], modelAnswer, false)
}

func resetFlow(m *ejectionModel, h *modelHost, f gue.Flow) {
	m.after(time.Millisecond, func() {
		m.fromTarget(h, encode(Header{Source: f.Service, Destination: f.Caller, RST: true}))
		m.free(h, f)
	})
}

// hang gives no answer. The caller gives up at its deadline.
func hang(m *ejectionModel, h *modelHost, f gue.Flow) {
	r := m.callers[f.Caller]
	if r == nil {
		m.free(h, f)
		return
	}
	m.after(max(r.begun.Add(m.kinds[r.kind].deadline).Sub(m.now), 0), func() {
		delete(m.callers, f.Caller)
		m.results[r.kind].failed++
		m.fromCaller(r, Header{RST: true})
		m.free(h, f)
	})
}

// runEjection runs one data centre of 20 hosts and 16 entries.
func runEjection(load float64, on bool, f fault, script func(m *ejectionModel)) *ejectionModel {
	kinds := modelKinds()
	kinds[0].once = true
	m := &ejectionModel{model: newModel(1, kinds, map[string][2]int{"a": {16, 20}}), delay: factDelay}
	m.start = m.now
	m.fault = func(h *modelHost, fl gue.Flow) bool { return f != nil && f(m, h, fl) }
	for _, e := range m.entries {
		e.Ejection = on
	}
	for _, h := range m.hosts {
		h.agent.Scored = on
	}
	rate := load * capacity(kinds, 20)
	m.rate = func(string) float64 { return rate }
	if script != nil {
		script(m)
	}
	m.after(0, m.judge)
	m.run(modelTime)
	return m
}

// judge does what the ticks of entries and agents do.
func (m *ejectionModel) judge() {
	for i := range m.members {
		h := m.hosts[m.members[i].Packets.Addr()]
		if health, changed := h.agent.UpdateHealth(m.now); changed {
			m.changes++
			m.publish(i, func(member *facts.Member) { member.Health = health })
		}
	}
	for _, e := range m.entries {
		var out Output
		e.UpdateEjections(m.now, &out)
		for _, d := range out.Decisions {
			m.decisions = append(m.decisions, timedDecision{Decision: d, at: m.now.Sub(m.start) - faultFrom, entry: e.Self})
		}
	}
	if m.now.Sub(m.start) < modelTime {
		m.after(50*time.Millisecond, m.judge)
	}
}

// publish changes the fact of a host, which reaches the entries after a while.
func (m *ejectionModel) publish(i int, change func(member *facts.Member)) {
	m.after(m.delay, func() {
		m.members = slices.Clone(m.members)
		change(&m.members[i])
		d := NewDirectory(m.members)
		for _, e := range m.entries {
			e.Update(m.now, nil, d)
		}
	})
}

// flap stops the target of host 0 every 1.4 s for half of that time.
func flap(m *ejectionModel) {
	i := slices.IndexFunc(m.members, func(member facts.Member) bool { return member.Packets.Addr().As4()[3] == 0 })
	h := m.hosts[m.members[i].Packets.Addr()]
	target := *m.members[i].Target
	for at := faultFrom; at < faultTo; at += 1400 * time.Millisecond {
		m.after(at, func() { h.dead, h.queue, h.held = true, nil, map[gue.Flow]bool{} })
		m.after(at+120*time.Millisecond, func() {
			var out Output
			h.agent.TargetAbsent(m.now, m.now, &out)
			m.send(h.address, &out)
			m.publish(i, func(member *facts.Member) {
				gone := target
				gone.State = facts.TargetGone
				member.Target = &gone
			})
		})
		m.after(at+700*time.Millisecond, func() {
			h.dead, h.serving = false, 0
			target.StartedMs++
			latest := target
			h.agent.UpdateTarget(m.now, latest, true, &Output{})
			m.publish(i, func(member *facts.Member) { member.Target = &latest })
		})
	}
}

// summary returns what the first entry that ejected a host did, with the times since the fault began.
func (m *ejectionModel) summary() string {
	text := ""
	for _, d := range m.decisions {
		if d.entry != m.decisions[0].entry {
			continue
		}
		if d.Action == ActionHostEjected {
			text += fmt.Sprintf("%s %s at %.1f s ", d.Instance, d.Reason, d.at.Seconds())
		} else {
			text += fmt.Sprintf("back at %.1f s (%s) ", d.at.Seconds(), d.Reason)
		}
	}
	return text
}

// bad returns the number of requests that were late or failed.
func (m *ejectionModel) bad() int {
	n := 0
	for _, r := range m.results {
		n += r.late + r.failed
	}
	return n
}

func (m *ejectionModel) counts() string {
	asked, late, failed := 0, 0, 0
	for _, r := range m.results {
		asked, late, failed = asked+r.asked, late+r.late, failed+r.failed
	}
	return fmt.Sprintf("%d: %d, %d", asked, late, failed)
}

// ejectionCase is a load with a fault that lasts from faultFrom to faultTo.
type ejectionCase struct {
	name   string
	load   float64
	fault  fault
	script func(m *ejectionModel)
	// least is what is left of the late and failed requests at most.
	least float64
	// mayEject holds the only hosts that may be ejected.
	mayEject []string
}

var ejectionCases = []ejectionCase{
	{"one of 20 fails 40%, small errors", 0.5, sometimes(1, 0.4, failQuickly), nil, 0.6, []string{"a-0"}},
	{"one fails all, small errors", 0.5, sometimes(1, 1, failQuickly), nil, 0.6, []string{"a-0"}},
	{"one resets 42%", 0.5, sometimes(1, 0.42, resetFlow), nil, 1.05, []string{"a-0"}},
	{"one 8 times slower", 0.5, sometimes(1, 1, answerSlowly), nil, 1.05, []string{"a-0"}},
	{"one 8 times slower, load 0.8", 0.8, sometimes(1, 1, answerSlowly), nil, 1.05, []string{"a-0"}},
	{"one hangs for 42%", 0.5, sometimes(1, 0.42, hang), nil, 1.05, []string{"a-0"}},
	{"one hangs for all", 0.5, sometimes(1, 1, hang), nil, 1.05, []string{"a-0"}},
	{"one flaps", 0.5, nil, flap, 1.05, []string{"a-0"}},
	{"three fail 42%, small errors", 0.5, sometimes(3, 0.42, failQuickly), nil, 0.6, []string{"a-0", "a-1", "a-2"}},
	{"three reset 42%, load 0.95", 0.95, sometimes(3, 0.42, resetFlow), nil, 1.05, []string{"a-0", "a-1", "a-2"}},
	{"all 8 times slower, load 0.1", 0.1, sometimes(20, 1, answerSlowly), nil, 1, nil},
	{"all reset 42%", 0.5, sometimes(20, 0.42, resetFlow), nil, 1, nil},
	{"all fail 42%, small errors", 0.5, sometimes(20, 0.42, failQuickly), nil, 1, nil},
	{"no fault, load 1.2", 1.2, nil, nil, 1.02, nil},
	{"one witness in 20 hosts", 0.5, sometimes(20, 0.02, failQuickly), nil, 1, nil},
	{"false sign: one answers 42% early, small, good", 0.5, sometimes(1, 0.42, answerQuickly), nil, 1, []string{"a-0"}},
}

// Guards against callers that keep getting the errors of one host, and against hosts that are taken out although the load or
// the requests are the cause.
func TestEjectionServesCallersBetter(t *testing.T) {
	rows := make([]string, len(ejectionCases))
	t.Run("cases", func(t *testing.T) {
		for i, c := range ejectionCases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				off, on := runEjection(c.load, false, c.fault, c.script), runEjection(c.load, true, c.fault, c.script)
				rows[i] = fmt.Sprintf("| %s | %s | %s | %s | %d |", c.name, off.counts(), on.counts(), on.summary(), on.changes)
				if off.bad() > 0 {
					require.LessOrEqual(t, float64(on.bad()), c.least*float64(off.bad())+3, rows[i])
				}
				for _, d := range on.decisions {
					if d.Action == ActionHostEjected {
						require.Contains(t, c.mayEject, d.Instance, rows[i])
						require.LessOrEqual(t, d.Count, 4)
					}
				}
			})
		}
	})
	t.Logf("| load | asked: late, failed without | late, failed with | ejected by the first entry | facts |\n%s", strings.Join(rows, "\n"))
}

// Guards against a host that stays without flows because the agent that reported it is gone. The agent restarts while
// its host is ejected and knows nothing; the host must come back after its probation, and not be ejected again.
func TestEjectedHostReturnsAfterItsAgentRestarts(t *testing.T) {
	var h *modelHost
	seen := 0
	m := runEjection(0.5, true, func(m *ejectionModel, h *modelHost, f gue.Flow) bool {
		if m.index(h) == 0 && m.now.Sub(m.start) > 8500*time.Millisecond {
			seen++
		}
		return m.now.Sub(m.start) < 4*time.Second && sometimes(1, 1, failQuickly)(m, h, f)
	}, func(m *ejectionModel) {
		i := slices.IndexFunc(m.members, func(member facts.Member) bool { return m.index(m.hosts[member.Packets.Addr()]) == 0 })
		h = m.hosts[m.members[i].Packets.Addr()]
		m.after(4*time.Second, func() {
			old := h.agent
			h.agent = &Agent{Self: old.Self, Service: old.Service, Target: old.Target, Codec: old.Codec, Scored: true}
			h.agent.SetPlan(old.plan)
			h.agent.UpdateTarget(m.now, *old.target, true, &Output{})
			m.publish(i, func(member *facts.Member) { member.Health = nil })
		})
	})
	require.Equal(t, 2*len(m.entries), len(m.decisions), m.summary())
	for _, d := range m.decisions[len(m.entries):] {
		require.Equal(t, ActionHostReturned, d.Action)
		require.Equal(t, "probation", d.Reason)
	}
	require.Positive(t, seen)
}

// Guards against requests that fail because of an ejection: a host that is ejected takes what no other host can.
func TestEjectedHostTakesWhatNoOtherCan(t *testing.T) {
	tn := newTestNetwork(t, 1, 6)
	for _, h := range tn.hosts {
		tn.startAgent(h)
		h.target.full = h != tn.hosts[0]
	}
	tn.updateEntry(0)
	tn.entries[0].Ejection = true
	tn.entries[0].hostLoadOf(tn.hosts[0].member.Instance).withheld = 1
	tn.openFlow(0, 1)
	require.NotEmpty(t, tn.hosts[0].target.received)
}

// Guards against the ejection of hosts that are slow because they are cold, as all those of a data centre whose
// evacuation has ended, or that end their flows because they drain.
func TestHostsThatSaySoAreNotScored(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	tn.startAgent(tn.hosts[0])
	a := tn.hosts[0].agent
	a.Scored, a.cold.rate = true, 25
	require.False(t, a.scores(tn.now), "cold")
	a.ObserveWarmup(tn.now, 0, true, &Output{})
	require.True(t, a.scores(tn.now))
	draining := *a.target
	draining.State = facts.TargetDraining
	a.UpdateTarget(tn.now, draining, true, &Output{})
	require.False(t, a.scores(tn.now), "draining")
}
