// Package plugin provides registries of named factories. Plug-ins register themselves
// in their init functions.
package plugin

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrUnknown is returned by Lookup for a name that is not registered.
var ErrUnknown = errors.New("unknown plug-in")

// Registry holds the factories of one kind of plug-in.
type Registry[T any] struct {
	kind string

	mu        sync.Mutex
	factories map[string]T
}

// NewRegistry returns an empty registry. kind names the kind of plug-in in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, factories: map[string]T{}}
}

// Register adds a factory. It panics if the name is already registered.
func (r *Registry[T]) Register(name string, factory T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.factories[name]; ok {
		panic("plugin: " + r.kind + " " + name + " registered twice")
	}
	r.factories[name] = factory
}

// Lookup returns the factory registered under the name.
func (r *Registry[T]) Lookup(name string) (factory T, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	factory, ok := r.factories[name]
	if !ok {
		return factory, errors.Wrapf(ErrUnknown, "%s %q", r.kind, name)
	}
	return factory, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.factories))
	for n := range r.factories {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
