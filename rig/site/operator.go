package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	// operatorPatience limits how long the operator repeats a write that the store does not acknowledge.
	operatorPatience = 10 * time.Second
	// operatorRetry is the pause between two attempts.
	operatorRetry = 50 * time.Millisecond
	// maxOperatorDelay limits the time from the return of the store until the operator writes again what was lost.
	maxOperatorDelay = 300 * time.Millisecond
	// objectLimit is the platform's limit on the time from the return of the store until the objects of live hosts are there.
	objectLimit = 2 * time.Second
)

// operator writes to the store, and writes again what the store lost.
type operator struct {
	client *store.Client

	mutex sync.Mutex
	// written maps each object to its content, or to nil if the operator deleted it.
	written map[operatorObject]json.RawMessage
}

type operatorObject struct{ kind, name string }

// put writes an object and returns when the store has acknowledged it.
func (o *operator) put(kind, name string, spec json.RawMessage) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.write(operatorObject{kind, name}, spec)
}

// remove deletes an object and returns when the store has acknowledged it.
func (o *operator) remove(kind, name string) error {
	return o.put(kind, name, nil)
}

// writeAgain repeats the last write of each object.
func (o *operator) writeAgain() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for object, spec := range o.written {
		if err := o.write(object, spec); err != nil {
			return err
		}
	}
	return nil
}

// write repeats a write until it succeeds or operatorPatience is over. The mutex must be held.
func (o *operator) write(object operatorObject, spec json.RawMessage) error {
	if o.written == nil {
		o.written = make(map[operatorObject]json.RawMessage)
	}
	o.written[object] = spec
	for begin := time.Now(); ; time.Sleep(operatorRetry) {
		var err error
		if spec == nil {
			err = o.client.Delete(context.Background(), object.kind, object.name, 0)
		} else {
			_, err = o.client.Put(context.Background(), object.kind, object.name, spec)
		}
		if err == nil || time.Since(begin) > operatorPatience {
			return err
		}
	}
}

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

// checkObjects checks after the faults that the object of each instance is in the store.
func (s *Site) checkObjects() {
	missing := ""
	for begin := time.Now(); time.Since(begin) < objectLimit; time.Sleep(operatorRetry) {
		if missing = s.missingObject(); missing == "" {
			return
		}
	}
	s.Checker.report("object", missing+" is not in the store")
}

// missingObject returns the name of an instance without an object, or "" if there is none.
func (s *Site) missingObject() string {
	for _, n := range s.nodes {
		_, err := s.operator.client.Get(context.Background(), control.KindInstances, n.name)
		var notFound *store.NotFoundError
		if errors.As(err, &notFound) {
			return n.name
		}
	}
	return ""
}
