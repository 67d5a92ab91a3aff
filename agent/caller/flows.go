package caller

import (
	"sync"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const shardCount = 64

// flowTable maps 4-tuples to flows. The zero value is empty and ready to use.
type flowTable struct {
	shards [shardCount]shard
}

type shard struct {
	mutex sync.Mutex
	flows map[gue.Flow]*flow
}

func (t *flowTable) shard(hash uint64) *shard {
	return &t.shards[hash>>56%shardCount]
}

func (t *flowTable) find(key gue.Flow, hash uint64) *flow {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.flows[key]
}

// findOrAdd returns the flow and whether it already existed. A new flow is returned locked, an existing one is not.
func (t *flowTable) findOrAdd(key gue.Flow, hash uint64) (*flow, bool) {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f, ok := s.flows[key]; ok {
		return f, true
	}
	if s.flows == nil {
		s.flows = make(map[gue.Flow]*flow)
	}
	f := &flow{key: key, hash: hash}
	f.mutex.Lock()
	s.flows[key] = f
	return f, false
}

// remove deletes a locked flow from the table.
func (t *flowTable) remove(f *flow) {
	f.state = stateRemoved
	s := t.shard(f.hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.flows[f.key] == f {
		delete(s.flows, f.key)
	}
}

// all returns all flows. The shards are read one after another, so the result is not an exact snapshot.
func (t *flowTable) all() []*flow {
	var found []*flow
	for i := range t.shards {
		s := &t.shards[i]
		s.mutex.Lock()
		for _, f := range s.flows {
			found = append(found, f)
		}
		s.mutex.Unlock()
	}
	return found
}
