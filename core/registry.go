package core

import (
	"fmt"
	"slices"
	"sync"
)

// Registry maps the names of plug-ins of one kind to their constructors; its
// zero value is ready for use.
type Registry[F any] struct {
	mu      sync.RWMutex
	plugins map[string]F
}

// Register adds a plug-in and panics when the name is taken.
func (r *Registry[F]) Register(name string, f F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plugins == nil {
		r.plugins = make(map[string]F)
	}
	if _, taken := r.plugins[name]; taken {
		panic("plug-in registered twice: " + name)
	}
	r.plugins[name] = f
}

// Lookup returns the plug-in with the given name, or an error that lists the
// names there are.
func (r *Registry[F]) Lookup(name string) (F, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f, ok := r.plugins[name]
	if !ok {
		return f, fmt.Errorf("no plug-in %q, have %v", name, r.names())
	}
	return f, nil
}

func (r *Registry[F]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for n := range r.plugins {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Stores holds the store drivers by URL scheme.
var Stores Registry[func(address string) (Store, error)]
