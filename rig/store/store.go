// Package store implements the platform's object API in memory, as an emulated store for the rig and for tests.
package store

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/store"
	"github.com/coltsfootline/coltsfootline/platform"
)

const (
	maxBodyBytes = 1 << 20
	// pageSize is the maximum number of objects in one page of a list.
	pageSize = 500
)

// Server holds objects in memory. Its zero value is empty and ready to use.
type Server struct {
	mutex               sync.Mutex
	objects             map[objectKey]store.Object
	history             []store.Object
	lastDroppedRevision uint64
	revision            uint64
	changed             chan struct{}
	dialect             platform.StoreDialect
	// returns counts the calls of Restore. away is set while the store breaks off all calls.
	returns uint64
	away    bool
}

// Snapshot is a copy of the objects and the history at one revision.
type Snapshot struct {
	objects             map[objectKey]store.Object
	history             []store.Object
	lastDroppedRevision uint64
	revision            uint64
}

// objectKey identifies an object.
type objectKey struct {
	kind string
	name string
}

// Handler returns the HTTP handler of the object API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range s.dialect.Routes() {
		mux.HandleFunc(r, s.serve)
	}
	return mux
}

// DropHistory drops the history of changes. Watches from an earlier revision then fail with 410 Gone, and their
// clients must list the objects again.
func (s *Server) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.lastDroppedRevision = nil, s.revision
	s.notifyWatchers()
}

// Snapshot returns a copy to restore later.
func (s *Server) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{maps.Clone(s.objects), slices.Clone(s.history), s.lastDroppedRevision, s.revision}
}

// Restore makes the store return from a copy. It begins the next era, loses all changes since the copy and assigns their
// revisions again. Waiting watches are broken off, and SetAway(true) ends.
func (s *Server) Restore(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects, s.history = maps.Clone(c.objects), slices.Clone(c.history)
	s.lastDroppedRevision, s.revision = c.lastDroppedRevision, c.revision
	s.returns++
	s.away = false
	s.notifyWatchers()
}

// SetAway makes the store break off all calls, waiting watches included, or serve them again.
func (s *Server) SetAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.notifyWatchers()
}

// era returns the number that responses report, which rises with each return, and whether the store is away.
func (s *Server) era() (era uint64, away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.returns + 1, s.away
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	era, away := s.era()
	if away {
		panic(http.ErrAbortHandler)
	}
	s.dialect.EncodeEra(w.Header(), era)
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	c, err := s.dialect.DecodeCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch c.Operation {
	case store.OperationList:
		s.writePage(w, s.list(c), false)
	case store.OperationWatch:
		s.watch(w, r, c, era)
	default:
		o, status := s.apply(c)
		s.writeObject(w, o, status)
	}
}

// list returns the next page of a list, sorted by name. It starts after the name c.After.
func (s *Server) list(c store.Call) store.Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := store.Page{Revision: s.revision}
	for k, o := range s.objects {
		if k.kind == c.Kind && k.name > c.After {
			p.Objects = append(p.Objects, o)
		}
	}
	slices.SortFunc(p.Objects, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	if len(p.Objects) > pageSize {
		p.Objects, p.More = p.Objects[:pageSize], true
	}
	return p
}

// watch responds with the changes since the call's revision. If there are none, it waits for changes until c.Wait is over
// and then responds with an empty page. It breaks off if the store goes away or returns from a copy meanwhile.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, c store.Call, era uint64) {
	deadline := time.NewTimer(c.Wait)
	defer deadline.Stop()
	for {
		p, expired, changed := s.changesSince(c)
		if now, away := s.era(); away || now != era {
			panic(http.ErrAbortHandler)
		}
		switch {
		case expired:
			w.WriteHeader(http.StatusGone)
			return
		case len(p.Objects) > 0:
			s.writePage(w, p, true)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			s.writePage(w, p, true)
			return
		case <-changed:
		}
	}
}

// changesSince returns the changes after the call's revision, whether the store lacks that revision or the history since
// then, and a channel that is closed on the next change.
func (s *Server) changesSince(c store.Call) (store.Page, bool, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	p := store.Page{Revision: s.revision}
	for _, o := range s.history {
		if o.Kind == c.Kind && o.Revision > c.Revision {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, c.Revision < s.lastDroppedRevision || c.Revision > s.revision, s.changed
}

// apply executes a call for a single object and returns the object and the HTTP status. A call with revision 0 applies to
// any revision. Replacing an object with an equal spec keeps its revision.
func (s *Server) apply(c store.Call) (store.Object, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := objectKey{kind: c.Kind, name: c.Name}
	existing, exists := s.objects[k]
	switch {
	case c.Operation == store.OperationGet && exists:
		return existing, http.StatusOK
	case c.Operation != store.OperationCreate && !exists:
		return store.Object{}, http.StatusNotFound
	case c.Operation == store.OperationCreate && exists, c.Revision != 0 && c.Revision != existing.Revision:
		return existing, http.StatusConflict
	case c.Operation == store.OperationReplace && string(existing.Spec) == string(c.Spec):
		return existing, http.StatusOK
	}
	if s.objects == nil {
		s.objects = make(map[objectKey]store.Object)
	}
	s.revision++
	o := store.Object{Kind: c.Kind, Name: c.Name, Revision: s.revision, Spec: c.Spec}
	if c.Operation == store.OperationDelete {
		o.Spec, o.Deleted = existing.Spec, true
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, o)
	s.notifyWatchers()
	return o, http.StatusOK
}

// notifyWatchers wakes all waiting watches. The mutex must be held.
func (s *Server) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Server) writeObject(w http.ResponseWriter, o store.Object, status int) {
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	b, err := s.dialect.EncodeObject(o)
	writeResponse(w, b, status, err)
}

func (s *Server) writePage(w http.ResponseWriter, p store.Page, watch bool) {
	b, err := s.dialect.EncodePage(p, watch)
	writeResponse(w, b, http.StatusOK, err)
}

func writeResponse(w http.ResponseWriter, body []byte, status int, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
