// Package kernel provides the registry through which packages choose plug-ins by name.
package kernel

import (
	"sort"
	"strings"
	"sync"
)

// UnknownPlugInError reports a plug-in name that is not registered.
type UnknownPlugInError struct {
	Kind string
	Name string
	// Known lists the registered names.
	Known []string
}

// Error returns a message with the unknown name and the registered names.
func (e *UnknownPlugInError) Error() string {
	return "unknown " + e.Kind + " " + e.Name + ", known: " + strings.Join(e.Known, ", ")
}

// Registry maps names to plug-ins of one kind. It is safe for concurrent use, and the zero value is ready to use.
type Registry[T any] struct {
	// Kind describes the plug-ins in errors, such as "store dialect".
	Kind string

	mutex   sync.RWMutex
	plugIns map[string]T
}

// Register adds a plug-in. It replaces an earlier plug-in of the same name.
func (r *Registry[T]) Register(name string, plugIn T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.plugIns == nil {
		r.plugIns = make(map[string]T)
	}
	r.plugIns[name] = plugIn
}

// Get returns the plug-in with the given name, or an UnknownPlugInError.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	p, ok := r.plugIns[name]
	if !ok {
		return p, &UnknownPlugInError{Kind: r.Kind, Name: name, Known: r.names()}
	}
	return p, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.names()
}

// names returns the sorted names. The caller must hold the mutex.
func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugIns))
	for n := range r.plugIns {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
