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

// Scenario is one experiment.
type Scenario struct {
	Purpose string
	// Planned means that nothing in it may break a connection.
	Planned bool
	// Configure changes the cluster before it starts; it may be nil.
	Configure func(c *cluster.Cluster)
	// Adjust changes the load before the callers start; it may be nil.
	Adjust func(l *caller.Load)
	// TimeoutMs bounds a caller's wait for one answer; 0 means the default.
	TimeoutMs int64
	// Act works on the cluster while the callers run, for about the given time.
	Act func(ctx context.Context, e *Experiment) error
	// Check adds to the result's broken promises; it may be nil.
	Check func(e *Experiment, r *Result)
}

// Scenarios holds the registered scenarios.
var Scenarios = kernel.Registry[Scenario]{Kind: "scenario"}

// Options select an experiment.
type Options struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	Policy   string
	Size     string
}

// Experiment is a running scenario.
type Experiment struct {
	Options  Options
	Cluster  *cluster.Cluster
	Random   *rand.Rand
	Progress io.Writer
	Moved    *int
	// MayEnd is how many connections an unplanned death may end.
	MayEnd int
	// HeldAfter is how many connections the agents held after a fault.
	HeldAfter int

	callers  []*cluster.Process
	outcomes []string
}

const (
	callerProcesses  = 2
	defaultTimeoutMs = 15000
	usualLoad        = 0.4
	shortMs          = 20
	longMs           = 1000
	longShare        = 0.01
	answerBytes      = 4000
	uploadBytes      = 2000
	unrepeatable     = 0.3
	openTimeout      = 120 * time.Second
	endTimeout       = 60 * time.Second
	actTimeout       = 10 * time.Minute
)

// Say prints progress.
func (e *Experiment) Say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", arguments...)
}

// Run runs a scenario on a started cluster and judges it.
func Run(ctx context.Context, c *cluster.Cluster, o Options, progress io.Writer) (Result, error) {
	s, err := Scenarios.Get(o.Name)
	if err != nil {
		return Result{}, err
	}
	e := &Experiment{Options: o, Cluster: c, Random: rand.New(rand.NewPCG(o.Seed, 1)), Progress: progress}
	r := Result{Scenario: o.Name, Seed: o.Seed, Policy: o.Policy, Size: o.Size, BrokenPromises: []string{}}
	if err := e.startCallers(s); err != nil {
		return r, err
	}
	e.Say("callers are connected, acting for %v", o.Duration)
	begin := time.Now()
	traffic := e.controlBytes(ctx)
	if s.Act != nil {
		if err := s.Act(ctx, e); err != nil {
			return r, err
		}
	}
	e.Say("acted for %.1fs", time.Since(begin).Seconds())
	time.Sleep(o.Duration - time.Since(begin))
	if err := e.endCallers(&r); err != nil {
		return r, err
	}
	r.ControlBytesPerSecond = greatestRate(traffic, e.controlBytes(ctx), time.Since(begin))
	r.Moved = e.Moved
	if err := judge(c, e.outcomes, e.loads(s, 1), &r); err != nil {
		return r, err
	}
	e.promise(s, &r)
	return r, nil
}

func (e *Experiment) loads(s Scenario, share int) []caller.Load {
	var loads []caller.Load
	for _, size := range e.Cluster.Size.Services {
		l := caller.Load{
			Service:           size.Service.Name,
			Address:           size.Service.Address,
			Connections:       size.Connections / share,
			ShortMs:           shortMs,
			LongMs:            longMs,
			LongShare:         longShare,
			AnswerBytes:       answerBytes,
			UploadBytes:       uploadBytes,
			UnrepeatableShare: unrepeatable,
		}
		capacity := float64(size.Hosts*size.Slots) * millisPerSecond / l.MeanMs()
		l.RequestsPerSecond = usualLoad * capacity / float64(share)
		if s.Adjust != nil {
			s.Adjust(&l)
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
			Seconds:   (e.Options.Duration + actTimeout).Seconds(),
			Seed:      e.Options.Seed*callerProcesses + uint64(i),
			Outcomes:  outcomes,
			TimeoutMs: timeout,
			KeepAlive: tcpstack.KeepAlive{Idle: time.Hour, Interval: time.Minute, Count: 3},
		})
		if err != nil {
			return err
		}
		e.callers = append(e.callers, p)
		e.outcomes = append(e.outcomes, outcomes)
	}
	return e.awaitOpen()
}

func (e *Experiment) awaitOpen() error {
	for _, p := range e.callers {
		begin := time.Now()
		for !strings.Contains(p.Output(), "\n") {
			if time.Since(begin) > openTimeout || !p.Running() {
				return &cluster.TimeoutError{Process: p.Name, Waiting: "open its connections"}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// endCallers ends the load, which lasts as long as the scenario acts and no less than asked.
func (e *Experiment) endCallers(r *Result) error {
	for _, p := range e.callers {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range e.callers {
		if err := p.Wait(endTimeout); err != nil {
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

// promise lists which bounds were passed.
func (e *Experiment) promise(s Scenario, r *Result) {
	always := map[string]int{
		"wrongService":   r.WrongService,
		"crossedAnswers": r.CrossedAnswers,
		"notRunButRan":   r.NotRunButRan,
		"ranTwice":       r.RanTwice,
		"slotsExceeded":  r.SlotsExceeded,
	}
	if s.Planned {
		always["brokenConnections"] = r.BrokenConnections
		always["cutAnswers"] = r.CutAnswers
		always["unknown"] = r.Unknown
		always["notOpenAtEnd"] = r.Connections - r.OpenAtEnd
	}
	if r.LateWorkOnRetiring != nil {
		always["lateWorkOnRetiring"] = *r.LateWorkOnRetiring
		cut := r.CutAnswers + r.Unknown
		r.CutByDrain = &cut
	}
	for _, name := range sortedKeys(always) {
		if always[name] != 0 {
			r.BrokenPromises = append(r.BrokenPromises, name)
		}
	}
	if r.Answered == 0 {
		r.BrokenPromises = append(r.BrokenPromises, "nothingAnswered")
	}
	if s.Check != nil {
		s.Check(e, r)
	}
}
