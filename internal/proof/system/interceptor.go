package system

import (
	"net/http"
	"strings"
	"sync"
)

// TamperFunc handles a request in place of an upstream's handler, next, to change the response.
type TamperFunc func(w http.ResponseWriter, r *http.Request, next http.Handler)

// Interceptor has a hook and a TamperFunc that a proof can replace while the system runs,
// and records which upstream ran which request.
type Interceptor struct {
	mu     sync.Mutex
	hook   func(HookPoint)
	tamper TamperFunc
	// tampered holds the ids of requests whose response was changed.
	tampered map[string]bool
	runs     []EngineRun
}

// EngineRun is a request that reached an upstream.
type EngineRun struct{ Upstream, RequestID string }

// AddTo returns the options with the interceptor's hook and upstream wrapper.
func (i *Interceptor) AddTo(o Options) Options {
	i.tampered = map[string]bool{}
	o.Hook = func(p HookPoint) {
		i.mu.Lock()
		f := i.hook
		i.mu.Unlock()
		if f != nil {
			f(p)
		}
	}
	o.WrapUpstream = func(name string, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { i.serve(name, w, r, next) })
	}
	return o
}

// serve records a run of a request. It applies the TamperFunc to each request at most once.
func (i *Interceptor) serve(name string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	// The entry appends a suffix, which differs when the caller resends the request.
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	i.mu.Lock()
	f := i.tamper
	if i.tampered[id] {
		f = nil
	}
	i.tampered[id] = i.tampered[id] || f != nil
	i.runs = append(i.runs, EngineRun{Upstream: name, RequestID: id})
	i.mu.Unlock()
	if f != nil {
		f(w, r, next)
		return
	}
	next.ServeHTTP(w, r)
}

// Set replaces the hook and the TamperFunc; either may be nil.
func (i *Interceptor) Set(hook func(HookPoint), tamper TamperFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hook, i.tamper = hook, tamper
}

// Runs returns the recorded runs.
func (i *Interceptor) Runs() []EngineRun {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]EngineRun{}, i.runs...)
}

// TruncatingWriter is a response writer that closes the connection after EventsLeft more
// events.
type TruncatingWriter struct {
	http.ResponseWriter
	EventsLeft int
}

// Unwrap returns the underlying writer to http.ResponseController.
func (w *TruncatingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes and flushes one event.
func (w *TruncatingWriter) Write(b []byte) (n int, err error) {
	if w.EventsLeft == 0 {
		panic(http.ErrAbortHandler)
	}
	w.EventsLeft--
	n, err = w.ResponseWriter.Write(b)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	return n, err
}
