package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainBound is drainMs of the settings of a small deployment.
	drainBound = 3 * time.Second
	// clockStep is the largest jump of the time of day in the site files.
	clockStep = 2400 * time.Millisecond
	// uptime is how long the host runs before it crashes, and downtime how long it is away then. No requests are sent yet.
	uptime   = time.Second
	downtime = 500 * time.Millisecond
)

// drainAfterClockStep restarts a host on its machine after the time of day was set back, and lets it drain later. A flow
// that the host takes later than drainBound after its heartbeat that it drains was acknowledged breaks the rule.
func drainAfterClockStep(s *site, trouble bool) (bool, error) {
	const service = "orders"
	const id = "i-1"
	var mutex sync.Mutex
	var acknowledged time.Time
	lateFlows := 0
	s.onHostEvent = func(at time.Time, kind, text string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case kind == "heartbeat" && text == id+" draining answered 200" && acknowledged.IsZero():
			acknowledged = at
		case kind == "syn" && strings.HasPrefix(text, id+" ") && !acknowledged.IsZero() && at.Sub(acknowledged) > drainBound:
			lateFlows++
		}
	}
	if err := s.putConfig(service); err != nil {
		return false, err
	}
	for i := range 2 {
		if _, err := s.startEntry(i); err != nil {
			return false, err
		}
		if _, err := s.startAgent(i, fmt.Sprintf("side-%d", i+1), service); err != nil {
			return false, err
		}
	}
	if _, err := s.startHost(1, "i-2", service, 0); err != nil {
		return false, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = clockStep
		s.add("trouble", "the time of day of the machine of %s is %v ahead", id, ahead)
	}
	host, err := s.startHost(0, id, service, ahead)
	if err != nil {
		return false, err
	}
	started := time.Now()
	if err := s.waitReady(); err != nil {
		return false, err
	}
	c := &caller{address: s.address(callerMachine, portPackets), record: s.record, entries: rotation(s)}
	if err := c.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(uptime)))
	if trouble {
		s.add("trouble", "the time of day of the machine of %s is set back by %v; the host crashes", id, clockStep)
		host.kill()
		time.Sleep(downtime)
		if host, err = s.startHost(0, id, service, 0); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() { sendRequests(c, s, stop) })
	// The machine is in touch again after stableWindowMs, which is 4 s.
	time.Sleep(8 * time.Second)
	s.add("script", "%s is told to drain", id)
	_ = host.command.Process.Signal(syscall.SIGUSR1)
	time.Sleep(drainBound + 6*time.Second)
	close(stop)
	requests.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	if acknowledged.IsZero() {
		return false, fmt.Errorf("the heartbeat of the draining host was not acknowledged")
	}
	s.add("script", "flows that %s took later than %v after the acknowledgement: %d", id, drainBound, lateFlows)
	return lateFlows > 0, nil
}
