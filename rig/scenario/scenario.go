package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

// Scenario describes an experiment: how the cluster and the load are set up, what changes while callers run, and which
// additional checks the result must pass.
type Scenario struct {
	// Purpose is printed by measure --list.
	Purpose string
	// Planned scenarios must not break a connection, cut an answer or leave the outcome of a request unknown.
	Planned bool
	// Configure changes the cluster before it starts; it may be nil.
	Configure func(c *cluster.Cluster)
	// AdjustLoad changes the load of each service before the callers start; it may be nil.
	AdjustLoad func(l *caller.Load)
	// TimeoutMs limits how long a caller waits for an answer; 0 means defaultTimeoutMs.
	TimeoutMs int64
	// Run changes the cluster while the callers run, for about Options.Duration; it may be nil.
	Run func(ctx context.Context, e *Experiment) error
	// Check appends the names of failed checks of this scenario to Result.FailedChecks; it may be nil.
	Check func(e *Experiment, r *Result)
}

// Scenarios holds the registered scenarios.
var Scenarios = kernel.Registry[Scenario]{Kind: "scenario"}

// Options selects a scenario and its parameters.
type Options struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	Policy   string
	Size     string
}

// Experiment is a running scenario with its cluster and callers.
type Experiment struct {
	Options  Options
	Cluster  *cluster.Cluster
	Random   *rand.Rand
	Progress io.Writer
	// Moved counts the connections that agents moved on request; it is nil if the scenario moves none.
	Moved *int
	// AllowedBrokenConnections is the number of connections that a killed agent held; at most this many may break.
	AllowedBrokenConnections int
	// OpenAfterFault is the number of connections that the agents still hold after the fabric has forgotten its flows
	// and keep-alive has had time to detect it.
	OpenAfterFault int

	callers      []*cluster.Process
	outcomeFiles []string
}

const (
	callerProcesses    = 2
	defaultTimeoutMs   = 15000
	defaultUtilisation = 0.4
	shortMs            = 20
	longMs             = 1000
	longShare          = 0.01
	answerBytes        = 4000
	uploadBytes        = 2000
	nonIdempotentShare = 0.3
	openTimeout        = 120 * time.Second
	callerExitTimeout  = 60 * time.Second
	// maxOverrun is how much longer than requested a scenario may take before callers stop on their own. Usually they
	// are stopped by a signal.
	maxOverrun = 10 * time.Minute
)

// Logf writes a line to Progress.
func (e *Experiment) Logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", arguments...)
}

// Run runs a scenario on a started cluster and evaluates what callers and targets recorded.
func Run(ctx context.Context, c *cluster.Cluster, o Options, progress io.Writer) (Result, error) {
	s, err := Scenarios.Get(o.Name)
	if err != nil {
		return Result{}, err
	}
	e := &Experiment{Options: o, Cluster: c, Random: rand.New(rand.NewPCG(o.Seed, 1)), Progress: progress}
	r := Result{Scenario: o.Name, Seed: o.Seed, Policy: o.Policy, Size: o.Size, FailedChecks: []string{}}
	if err := e.startCallers(s); err != nil {
		return r, err
	}
	e.Logf("callers are connected, running the scenario for %v", o.Duration)
	begin := time.Now()
	bytesBefore := e.controlBytes(ctx)
	if s.Run != nil {
		if err := s.Run(ctx, e); err != nil {
			return r, err
		}
	}
	e.Logf("scenario steps took %.1fs", time.Since(begin).Seconds())
	time.Sleep(o.Duration - time.Since(begin))
	if err := e.stopCallers(&r); err != nil {
		return r, err
	}
	r.ControlBytesPerSecond = maxBytesPerSecond(bytesBefore, e.controlBytes(ctx), time.Since(begin))
	r.Moved = e.Moved
	if err := evaluate(c, e.outcomeFiles, e.loads(s, 1), &r); err != nil {
		return r, err
	}
	e.runChecks(s, &r)
	return r, nil
}

// loads returns the load that each of the given number of caller processes puts on every service.
func (e *Experiment) loads(s Scenario, processes int) []caller.Load {
	var loads []caller.Load
	for _, size := range e.Cluster.Size.Services {
		l := caller.Load{
			Service:            size.Service.Name,
			Address:            size.Service.Address,
			Connections:        size.Connections / processes,
			ShortMs:            shortMs,
			LongMs:             longMs,
			LongShare:          longShare,
			AnswerBytes:        answerBytes,
			UploadBytes:        uploadBytes,
			NonIdempotentShare: nonIdempotentShare,
		}
		capacity := float64(size.Hosts*size.Slots) * millisPerSecond / l.MeanMs()
		l.RequestsPerSecond = defaultUtilisation * capacity / float64(processes)
		if s.AdjustLoad != nil {
			s.AdjustLoad(&l)
		}
		loads = append(loads, l)
	}
	return loads
}

func (e *Experiment) startCallers(s Scenario) error {
	timeout := s.TimeoutMs
	if timeout == 0 {
		timeout = defaultTimeoutMs
	}
	for i := range callerProcesses {
		name := fmt.Sprintf("caller-%d", i+1)
		outcomes := filepath.Join(e.Cluster.Directory, name+".outcomes")
		p, err := e.Cluster.StartCaller(name, caller.Settings{
			Name:      name,
			Address:   netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}),
			Packets:   netip.MustParseAddrPort("127.0.0.1:0"),
			Fabric:    e.Cluster.Fabric(),
			Loads:     e.loads(s, callerProcesses),
			Seconds:   (e.Options.Duration + maxOverrun).Seconds(),
			Seed:      e.Options.Seed*callerProcesses + uint64(i),
			Outcomes:  outcomes,
			TimeoutMs: timeout,
			KeepAlive: tcpstack.KeepAlive{Idle: time.Hour, Interval: time.Minute, Count: 3},
		})
		if err != nil {
			return err
		}
		e.callers = append(e.callers, p)
		e.outcomeFiles = append(e.outcomeFiles, outcomes)
	}
	return e.awaitConnections()
}

// awaitConnections waits until every caller process has dialled its connections, which it reports by its first line of
// output.
func (e *Experiment) awaitConnections() error {
	for _, p := range e.callers {
		begin := time.Now()
		for !strings.Contains(p.Output(), "\n") {
			if time.Since(begin) > openTimeout || !p.Running() {
				return &cluster.TimeoutError{Process: p.Name, Action: "open its connections"}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// stopCallers stops the callers and adds their summaries to the result. Run calls it when the scenario has finished and
// the requested duration is over, so the load lasts at least that long.
func (e *Experiment) stopCallers(r *Result) error {
	for _, p := range e.callers {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range e.callers {
		if err := p.Wait(callerExitTimeout); err != nil {
			return err
		}
		_, summary, _ := strings.Cut(p.Output(), "\n")
		var s caller.Summary
		if err := json.Unmarshal([]byte(summary), &s); err != nil {
			return err
		}
		r.Connections += s.Connections
		r.BrokenConnections += s.Broken
		r.OpenAtEnd += s.OpenAtEnd
		r.DialFailed += s.DialFailed
	}
	return nil
}

// runChecks appends the name of every failed check to FailedChecks. Some checks apply to every scenario, some only to
// planned ones or to those that retire agents.
func (e *Experiment) runChecks(s Scenario, r *Result) {
	violations := map[string]int{
		"wrongService":   r.WrongService,
		"crossedAnswers": r.CrossedAnswers,
		"notRunButRan":   r.NotRunButRan,
		"ranTwice":       r.RanTwice,
		"slotsExceeded":  r.SlotsExceeded,
	}
	if s.Planned {
		violations["brokenConnections"] = r.BrokenConnections
		violations["cutAnswers"] = r.CutAnswers
		violations["unknown"] = r.Unknown
		violations["notOpenAtEnd"] = r.Connections - r.OpenAtEnd
	}
	if r.LateWorkOnRetiring != nil {
		violations["lateWorkOnRetiring"] = *r.LateWorkOnRetiring
		cut := r.CutAnswers + r.Unknown
		r.CutByDrain = &cut
	}
	for _, name := range sortedKeys(violations) {
		if violations[name] != 0 {
			r.FailedChecks = append(r.FailedChecks, name)
		}
	}
	if r.Answered == 0 {
		r.FailedChecks = append(r.FailedChecks, "nothingAnswered")
	}
	if s.Check != nil {
		s.Check(e, r)
	}
}
