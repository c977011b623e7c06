package system

import (
	"net/http"
	"strings"
	"sync"
)

// Tamper changes what an upstream answers to a request.
type Tamper func(w http.ResponseWriter, r *http.Request, next http.Handler)

// Trap holds a hook and a change of answers that a proof replaces as it goes on,
// and notes which upstream ran what.
type Trap struct {
	mu     sync.Mutex
	hook   func(Point)
	tamper Tamper
	// tampered holds the requests whose answer was changed.
	tampered map[string]bool
	runs     []Ran
}

// Ran is one run of a chat by an engine.
type Ran struct{ Upstream, ID string }

// Options adds the trap to the options of a system.
func (t *Trap) Options(o Options) Options {
	t.tampered = map[string]bool{}
	o.Hook = func(p Point) {
		t.mu.Lock()
		f := t.hook
		t.mu.Unlock()
		if f != nil {
			f(p)
		}
	}
	o.Wrap = func(name string, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(name, w, r, next) })
	}
	return o
}

// serve changes the answer of the first run of each request.
func (t *Trap) serve(name string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	// The entry adds a part of its own, which differs when the caller sends again.
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	t.mu.Lock()
	f := t.tamper
	if t.tampered[id] {
		f = nil
	}
	t.tampered[id] = t.tampered[id] || f != nil
	t.runs = append(t.runs, Ran{Upstream: name, ID: id})
	t.mu.Unlock()
	if f != nil {
		f(w, r, next)
		return
	}
	next.ServeHTTP(w, r)
}

// Set replaces the hook and the change of answers; either may be nil.
func (t *Trap) Set(hook func(Point), tamper Tamper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook, t.tamper = hook, tamper
}

// Runs returns the runs so far.
func (t *Trap) Runs() []Ran {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Ran{}, t.runs...)
}

// Cutter is a writer that ends the connection after that many events.
type Cutter struct {
	http.ResponseWriter
	Left int
}

// Unwrap is for http.ResponseController.
func (c *Cutter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write passes one event on.
func (c *Cutter) Write(b []byte) (n int, err error) {
	if c.Left == 0 {
		panic(http.ErrAbortHandler)
	}
	c.Left--
	n, err = c.ResponseWriter.Write(b)
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	return n, err
}
