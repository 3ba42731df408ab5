package core

import (
	"fmt"
	"slices"
	"sync"
)

// Registry maps the names of plug-ins of one kind to their constructors. Its
// zero value is ready to use.
type Registry[F any] struct {
	mu      sync.RWMutex
	plugins map[string]F
}

// Register adds a plug-in and panics if the name is already registered.
func (r *Registry[F]) Register(name string, f F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plugins == nil {
		r.plugins = make(map[string]F)
	}
	if _, taken := r.plugins[name]; taken {
		panic("register plug-in: name is already registered: " + name)
	}
	r.plugins[name] = f
}

// Lookup returns the plug-in with the given name, or an error that lists the
// registered names.
func (r *Registry[F]) Lookup(name string) (F, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f, ok := r.plugins[name]
	if !ok {
		return f, fmt.Errorf("look up plug-in %q: not registered, want one of %v", name, r.listNames())
	}
	return f, nil
}

func (r *Registry[F]) listNames() []string {
	names := make([]string, 0, len(r.plugins))
	for n := range r.plugins {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Stores registers the store drivers by URL scheme.
var Stores Registry[func(address string) (Store, error)]
