package caller

import (
	"sync"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const shardCount = 64

// flows finds flows by 4-tuple. The zero value is empty and ready to use.
type flows struct {
	shards [shardCount]shard
}

type shard struct {
	mutex sync.Mutex
	flows map[gue.Flow]*flow
}

func (t *flows) shard(hash uint64) *shard {
	return &t.shards[hash>>56%shardCount]
}

func (t *flows) find(key gue.Flow, hash uint64) *flow {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.flows[key]
}

// findOrAdd returns the flow and whether it was there; a new one is given back locked.
func (t *flows) findOrAdd(key gue.Flow, hash uint64) (*flow, bool) {
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

// remove takes a locked flow out of the table.
func (t *flows) remove(f *flow) {
	f.state = stateGone
	s := t.shard(f.hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.flows[f.key] == f {
		delete(s.flows, f.key)
	}
}

// all returns the flows of every shard at about one moment.
func (t *flows) all() []*flow {
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
