// Package plugin keeps the named factories that plug-ins register in init.
package plugin

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrUnknown is returned for a name that nothing registered.
var ErrUnknown = errors.New("unknown plug-in")

// Registry holds the factories of one kind of plug-in.
type Registry[T any] struct {
	kind string

	mu    sync.Mutex
	named map[string]T
}

// NewRegistry returns an empty registry; kind is used in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, named: map[string]T{}}
}

// Register adds a factory. Registering a name twice is a programming error and panics.
func (r *Registry[T]) Register(name string, factory T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.named[name]; ok {
		panic("plugin: " + r.kind + " " + name + " registered twice")
	}
	r.named[name] = factory
}

// Lookup returns the factory of that name.
func (r *Registry[T]) Lookup(name string) (factory T, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	factory, ok := r.named[name]
	if !ok {
		return factory, errors.Wrapf(ErrUnknown, "%s %q", r.kind, name)
	}
	return factory, nil
}

// Names lists the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.named))
	for n := range r.named {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
