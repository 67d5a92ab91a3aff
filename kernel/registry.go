// Package kernel holds the plug-in registry that every program shares.
package kernel

import (
	"sort"
	"strings"
	"sync"
)

// UnknownPlugInError reports a plug-in name that nothing registered.
type UnknownPlugInError struct {
	Kind  string
	Name  string
	Known []string
}

// Error names the plug-in and lists the registered ones.
func (e *UnknownPlugInError) Error() string {
	return "unknown " + e.Kind + " " + e.Name + ", known: " + strings.Join(e.Known, ", ")
}

// Registry maps names to plug-ins of one kind. The zero value is ready to use.
type Registry[T any] struct {
	Kind string

	mutex   sync.RWMutex
	plugIns map[string]T
}

// Register adds a plug-in under a name; a later registration replaces an earlier one.
func (r *Registry[T]) Register(name string, plugIn T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.plugIns == nil {
		r.plugIns = make(map[string]T)
	}
	r.plugIns[name] = plugIn
}

// Get returns the plug-in registered under name or an UnknownPlugInError.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	p, ok := r.plugIns[name]
	if !ok {
		return p, &UnknownPlugInError{Kind: r.Kind, Name: name, Known: r.names()}
	}
	return p, nil
}

// Names returns the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugIns))
	for n := range r.plugIns {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
