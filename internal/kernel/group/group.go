// Package group runs the goroutines of a component as a unit: the first error or
// a call of Stop cancels all of them one by one, in reverse order of their start.
package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Group is a set of goroutines, its members, that stop together.
type Group struct {
	// base is the parent of the members' contexts. It is never done, since members are
	// cancelled one by one.
	base context.Context

	mu      sync.Mutex
	members []*member
	err     error
	stopped bool
	done    chan struct{} // closed when the group begins to stop
	once    sync.Once     // guards the close of done
}

// member is one goroutine of a group.
type member struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{} // closed when the member has returned
}

// New returns a group that stops when the context is done.
func New(ctx context.Context) *Group {
	g := &Group{base: context.WithoutCancel(ctx), done: make(chan struct{})}
	context.AfterFunc(ctx, func() { g.beginStop(nil) })
	return g
}

// Go starts a member. If it returns an error, the whole group stops; if it returns
// nil, the other members keep running. Once the group has begun to stop, Go does nothing.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	ctx, cancel := context.WithCancel(g.base)
	m := &member{name: name, cancel: cancel, done: make(chan struct{})}
	g.members = append(g.members, m)
	go g.run(ctx, m, run)
}

// run runs the member and stops the group if it fails.
func (g *Group) run(ctx context.Context, m *member, run func(ctx context.Context) error) {
	err := run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		// The member was asked to stop, so its cancellation is not a failure.
		err = nil
	}
	m.cancel()
	if err != nil {
		// Recorded before m.done is closed, so that Wait cannot miss it.
		g.beginStop(errors.Wrap(err, m.name))
	}
	close(m.done)
	g.remove(m)
}

func (g *Group) remove(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, x := range g.members {
		if x == m {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// beginStop lets Wait stop the members; it keeps the first error that is not nil.
func (g *Group) beginStop(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.stopped = true
	g.mu.Unlock()
	g.once.Do(func() { close(g.done) })
}

// Stop cancels all members and waits until they have returned.
func (g *Group) Stop() error {
	g.beginStop(nil)
	return g.Wait()
}

// Wait blocks until the group begins to stop, then stops the members, the newest
// first, and returns the first error of a member.
func (g *Group) Wait() error {
	<-g.done
	for {
		m := g.newest()
		if m == nil {
			break
		}
		m.cancel()
		<-m.done
		g.remove(m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// newest returns the member started last, or nil if none is left.
func (g *Group) newest() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.members) == 0 {
		return nil
	}
	return g.members[len(g.members)-1]
}
