// Package store stands in for the platform's object API.
package store

import (
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
	// pageLength is how many objects a listing returns at once.
	pageLength = 500
)

// Server holds objects in memory. Its zero value is empty and ready to use.
type Server struct {
	mutex    sync.Mutex
	objects  map[key]store.Object
	history  []store.Object
	forgot   uint64
	revision uint64
	changed  chan struct{}
	dialect  platform.StoreDialect
}

type key struct {
	kind string
	name string
}

// Handler serves the calls of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range s.dialect.Routes() {
		mux.HandleFunc(r, s.serve)
	}
	return mux
}

// Forget drops the history, so that watches have to list anew.
func (s *Server) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.forgot = nil, s.revision
	s.signal()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	c, err := s.dialect.DecodeCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch c.Operation {
	case store.OperationList:
		s.answerPage(w, s.list(c), false)
	case store.OperationWatch:
		s.watch(w, r, c)
	default:
		o, status := s.apply(c)
		s.answerObject(w, o, status)
	}
}

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
	if len(p.Objects) > pageLength {
		p.Objects, p.More = p.Objects[:pageLength], true
	}
	return p
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, c store.Call) {
	deadline := time.NewTimer(c.Wait)
	defer deadline.Stop()
	for {
		p, gone, changed := s.since(c)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(p.Objects) > 0:
			s.answerPage(w, p, true)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			s.answerPage(w, p, true)
			return
		case <-changed:
		}
	}
}

func (s *Server) since(c store.Call) (store.Page, bool, chan struct{}) {
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
	return p, c.Revision < s.forgot, s.changed
}

func (s *Server) apply(c store.Call) (store.Object, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := key{kind: c.Kind, name: c.Name}
	held, exists := s.objects[k]
	switch {
	case c.Operation == store.OperationGet && exists:
		return held, http.StatusOK
	case c.Operation != store.OperationCreate && !exists:
		return store.Object{}, http.StatusNotFound
	case c.Operation == store.OperationCreate && exists, c.Revision != 0 && c.Revision != held.Revision:
		return held, http.StatusConflict
	case c.Operation == store.OperationReplace && string(held.Spec) == string(c.Spec):
		return held, http.StatusOK
	}
	if s.objects == nil {
		s.objects = make(map[key]store.Object)
	}
	s.revision++
	o := store.Object{Kind: c.Kind, Name: c.Name, Revision: s.revision, Spec: c.Spec}
	if c.Operation == store.OperationDelete {
		o.Spec, o.Deleted = held.Spec, true
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, o)
	s.signal()
	return o, http.StatusOK
}

func (s *Server) signal() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Server) answerObject(w http.ResponseWriter, o store.Object, status int) {
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	b, err := s.dialect.EncodeObject(o)
	answer(w, b, status, err)
}

func (s *Server) answerPage(w http.ResponseWriter, p store.Page, watch bool) {
	b, err := s.dialect.EncodePage(p, watch)
	answer(w, b, http.StatusOK, err)
}

func answer(w http.ResponseWriter, body []byte, status int, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
