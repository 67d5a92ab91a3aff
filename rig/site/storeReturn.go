package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// maxOperatorDelay limits the time from the return of the store until the operator writes again what was lost.
	maxOperatorDelay = 300 * time.Millisecond
	// objectLimit is the platform's limit on the time from the return of the store until the objects of live hosts are there.
	objectLimit = 2 * time.Second
)

// returnStore makes the store go away and return from a copy of some time before. The operator then writes again what was
// lost.
func (s *Site) returnStore(r *rand.Rand) string {
	s.returnMutex.Lock()
	defer s.returnMutex.Unlock()
	copied := s.storeServer.Snapshot()
	age, away := randomDuration(r), randomDuration(r)
	time.Sleep(age)
	s.storeServer.SetAway(true)
	s.recordStoreReturn()
	time.Sleep(away)
	s.storeServer.Restore(copied)
	time.Sleep(time.Duration(r.Int64N(int64(maxOperatorDelay))))
	if err := s.operator.writeAgain(); err != nil {
		s.Checker.report("operator", err.Error())
	}
	s.recordStoreReturn()
	return "copy of " + age.String() + " before, away for " + away.String()
}

func (s *Site) recordStoreReturn() {
	s.Checker.RecordDisruption(time.Now(), -1)
	s.Checker.recordLinkDisruption(time.Now())
}

// checkObjects checks after the faults that the object of each instance is in the store and, for an agent, names its target.
func (s *Site) checkObjects() {
	wrong := ""
	for begin := time.Now(); time.Since(begin) < objectLimit; time.Sleep(operatorRetry) {
		if wrong = s.wrongObject(); wrong == "" {
			return
		}
	}
	s.Checker.report("object", "the store's object of "+wrong+" is missing or out of date")
}

// wrongObject returns the name of an instance whose object is missing or out of date, or "" if there is none.
func (s *Site) wrongObject() string {
	for _, n := range s.nodes {
		o, err := s.operator.client.Get(context.Background(), control.KindInstances, n.name)
		var f facts.Fact
		if err != nil || json.Unmarshal(o.Spec, &f) != nil {
			return n.name
		}
		m, err := facts.DecodeMember(f)
		if err != nil || n.agentIndex >= 0 && (m.Target == nil || m.Target.ID != s.Targets[n.agentIndex].ID()) {
			return n.name
		}
	}
	return ""
}
