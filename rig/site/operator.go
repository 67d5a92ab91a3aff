package site

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	// operatorPatience limits how long the operator repeats a write that the store does not acknowledge.
	operatorPatience = 10 * time.Second
	// operatorRetry is the pause between two attempts.
	operatorRetry = 50 * time.Millisecond
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
