package kernel

import (
	"fmt"
	"sort"
	"sync"
)

// Registry holds the plug-ins of one kind by name. Plug-ins register themselves in
// their package's init function, so a program has those whose packages it imports.
type Registry[T any] struct {
	mu    sync.Mutex
	kind  string
	items map[string]T
}

// NewRegistry returns an empty registry; its error messages name the kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, items: map[string]T{}}
}

// Register adds a plug-in. It panics if the name is already registered, which is
// a programming error.
func (r *Registry[T]) Register(name string, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.items[name]; taken {
		panic(fmt.Sprintf("kernel: %s %q is registered twice", r.kind, name))
	}
	r.items[name] = item
}

// Get returns the plug-in registered under a name, or an error that lists the
// registered names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := r.items[name]
	if !ok {
		return item, fmt.Errorf("no %s is named %q; known: %v", r.kind, name, r.namesLocked())
	}
	return item, nil
}

// Names returns the registered names in sorted order.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.namesLocked()
}

func (r *Registry[T]) namesLocked() []string {
	names := make([]string, 0, len(r.items))
	for name := range r.items {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
