// Package store stands in for the platform's object API.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	watchWait    = 30 * time.Second
	maxBodyBytes = 1 << 20
)

// Server holds objects in memory. Its zero value is empty and ready to use.
type Server struct {
	mutex   sync.Mutex
	objects map[string]store.Object
	version uint64
	changed chan struct{}
}

// Handler serves GET and PUT of /objects/{name}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name}", s.get)
	mux.HandleFunc("PUT /objects/{name}", s.put)
	return mux
}

func (s *Server) lookUp(name string) (store.Object, bool, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	o, ok := s.objects[name]
	return o, ok, s.changed
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, watching := watchedVersion(r)
	deadline := time.NewTimer(watchWait)
	defer deadline.Stop()
	for {
		o, ok, changed := s.lookUp(name)
		if !watching || ok && o.Version > after {
			answer(w, o, ok)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			answer(w, o, ok)
			return
		case <-changed:
		}
	}
}

func watchedVersion(r *http.Request) (uint64, bool) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, false
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return after, err == nil
}

func answer(w http.ResponseWriter, o store.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || readErr != nil || !json.Valid(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, ok := s.update(r.PathValue("name"), expected, body)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	answer(w, o, true)
}

func (s *Server) update(name string, expected uint64, value json.RawMessage) (store.Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects[name].Version != expected {
		return store.Object{}, false
	}
	if s.objects == nil {
		s.objects = make(map[string]store.Object)
	}
	s.version++
	o := store.Object{Name: name, Version: s.version, Value: value}
	s.objects[name] = o
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	return o, true
}
