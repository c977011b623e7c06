// Package group runs the goroutines of a part together: the first error or a
// stop ends all of them, the latest started first.
package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Group runs members that stop together.
type Group struct {
	base context.Context

	mu      sync.Mutex
	members []*member
	err     error
	stopped bool
	done    chan struct{}
	once    sync.Once
}

type member struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a group that stops when the context is done.
func New(ctx context.Context) *Group {
	g := &Group{base: context.WithoutCancel(ctx), done: make(chan struct{})}
	context.AfterFunc(ctx, func() { g.fail(nil) })
	return g
}

// Go starts a member. An error that it returns stops the group; nil ends only
// the member. A member added after the stop does not start.
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

func (g *Group) run(ctx context.Context, m *member, run func(ctx context.Context) error) {
	err := run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil
	}
	m.cancel()
	if err != nil {
		// Recorded before the member counts as ended, so that Wait returns it.
		g.fail(errors.Wrap(err, m.name))
	}
	close(m.done)
	g.forget(m)
}

func (g *Group) forget(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, o := range g.members {
		if o == m {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// fail records the first error and begins the stop.
func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.stopped = true
	g.mu.Unlock()
	g.once.Do(func() { close(g.done) })
}

// Stop ends all members and waits for them.
func (g *Group) Stop() error {
	g.fail(nil)
	return g.Wait()
}

// Wait returns once the group was stopped and all members have ended. It
// returns the first error of a member.
func (g *Group) Wait() error {
	<-g.done
	for {
		m := g.last()
		if m == nil {
			break
		}
		m.cancel()
		<-m.done
		g.forget(m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

func (g *Group) last() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.members) == 0 {
		return nil
	}
	return g.members[len(g.members)-1]
}
