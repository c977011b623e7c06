package system

import (
	"net/http"
	"strings"
	"sync"
)

// TamperFunc changes what an upstream answers to a request.
type TamperFunc func(w http.ResponseWriter, r *http.Request, next http.Handler)

// Interceptor holds a hook and a change of answers that a proof replaces as it goes on,
// and notes which upstream ran what.
type Interceptor struct {
	mu     sync.Mutex
	hook   func(HookPoint)
	tamper TamperFunc
	// tampered holds the requests whose answer was changed.
	tampered map[string]bool
	runs     []EngineRun
}

// EngineRun is one run of a chat by an engine.
type EngineRun struct{ Upstream, RequestID string }

// AddTo adds the trap to the options of a system.
func (t *Interceptor) AddTo(o Options) Options {
	t.tampered = map[string]bool{}
	o.Hook = func(p HookPoint) {
		t.mu.Lock()
		f := t.hook
		t.mu.Unlock()
		if f != nil {
			f(p)
		}
	}
	o.WrapUpstream = func(name string, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(name, w, r, next) })
	}
	return o
}

// serve changes the answer of the first run of each request.
func (t *Interceptor) serve(name string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	// The entry adds a part of its own, which differs when the caller sends again.
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	t.mu.Lock()
	f := t.tamper
	if t.tampered[id] {
		f = nil
	}
	t.tampered[id] = t.tampered[id] || f != nil
	t.runs = append(t.runs, EngineRun{Upstream: name, RequestID: id})
	t.mu.Unlock()
	if f != nil {
		f(w, r, next)
		return
	}
	next.ServeHTTP(w, r)
}

// Set replaces the hook and the change of answers; either may be nil.
func (t *Interceptor) Set(hook func(HookPoint), tamper TamperFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook, t.tamper = hook, tamper
}

// Runs returns the runs so far.
func (t *Interceptor) Runs() []EngineRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]EngineRun{}, t.runs...)
}

// TruncatingWriter is a writer that ends the connection after that many events.
type TruncatingWriter struct {
	http.ResponseWriter
	EventsLeft int
}

// Unwrap is for http.ResponseController.
func (c *TruncatingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write passes one event on.
func (c *TruncatingWriter) Write(b []byte) (n int, err error) {
	if c.EventsLeft == 0 {
		panic(http.ErrAbortHandler)
	}
	c.EventsLeft--
	n, err = c.ResponseWriter.Write(b)
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	return n, err
}
