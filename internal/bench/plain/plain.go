// Package plain simulates a plain HTTP service. Its bookings, seals and
// acknowledgements must run at most once; its lookups are idempotent.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Options configures a plain service.
type Options struct {
	Service string
	// Slots limits the number of concurrent calls; further calls are rejected.
	Slots int
	// CallDuration is the time that a call takes.
	CallDuration time.Duration
	Timer        timer.Service
	// Crash terminates the process; tests replace it.
	Crash func()
}

// Service is a simulated plain service.
type Service struct {
	Faults fault.Set
	// Runs counts runs per Idempotency-Key, or per request id for calls without a key.
	Runs fault.RunCounter

	options      Options
	running      atomic.Int64
	loadSequence atomic.Uint64
}

// Response is the body of every successful response.
type Response struct {
	Kind string `json:"kind"`
	// Number is derived from the path and body of the call; see ExpectedNumber.
	Number string `json:"number"`
	Key    string `json:"key,omitempty"`
	// RunCount is the number of runs for the key, including this one.
	RunCount int `json:"run"`
}

// New returns a service.
func New(o Options) *Service {
	if o.Slots == 0 {
		o.Slots = 64
	}
	if o.Crash == nil {
		o.Crash = func() { os.Exit(3) }
	}
	return &Service{options: o}
}

// ExpectedNumber returns the number in the response to a call with this path and body,
// so that a caller can verify the response.
func ExpectedNumber(path string, body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(path+"\n"+string(body)))
}

// Load returns the current load.
func (s *Service) Load() announce.Load {
	return announce.Load{Running: int(s.running.Load()), Slots: s.options.Slots}
}

// Register adds the handlers for calls, faults and run counts.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /bookings", s.handle)
	mux.HandleFunc("POST /seals", s.handle)
	mux.HandleFunc("POST /acknowledgements", s.handle)
	mux.HandleFunc("GET /lookups/{number}", s.handle)
	s.Faults.Register(mux)
	s.Runs.Register(mux)
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		return
	}
	f := s.Faults.Match(body)
	if s.running.Add(1) > int64(s.options.Slots) || f.Kind == fault.Reject {
		s.running.Add(-1)
		s.reject(w, r)
		return
	}
	defer s.running.Add(-1)
	key := r.Header.Get("Idempotency-Key")
	id := key
	if id == "" {
		id = fault.RequestID(r)
	}
	run := s.Runs.Begin(id)
	// A started call takes effect even if its caller has disconnected, so it is never
	// counted as cancelled.
	defer s.Runs.End(false)
	s.run(r, f)
	response, _ := json.Marshal(Response{
		Kind: strings.Split(r.URL.Path, "/")[1], Number: ExpectedNumber(r.URL.Path, body), Key: key, RunCount: run,
	})
	s.writeResponse(w, r, f, response)
}

// run simulates the execution of a call, including the faults that prevent a response.
func (s *Service) run(r *http.Request, f fault.Fault) {
	switch f.Kind {
	case fault.Crash:
		s.options.Crash()
	case fault.Close:
		panic(http.ErrAbortHandler)
	case fault.Delayed:
		_ = timer.Sleep(r.Context(), s.options.Timer, f.DelayDuration())
	}
	_ = timer.Sleep(r.Context(), s.options.Timer, s.options.CallDuration)
}

// writeResponse sends a successful response, altered or truncated if the fault says so.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, f fault.Fault, body []byte) {
	s.setHeaders(w, r)
	if f.Kind == fault.ResponseMismatch {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id")+"-other")
		body = []byte(`{"kind":"bookings","number":"0","key":"other","run":1}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch f.Kind {
	case fault.Truncate, fault.EndEarly, fault.Stall:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		if f.Kind == fault.Stall {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Service) setHeaders(w http.ResponseWriter, r *http.Request) {
	l := s.Load()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Wisteriakeel-Load", fmt.Sprintf("running=%d waiting=0 slots=%d tokens=0 sequence=%d",
		l.Running, l.Slots, s.loadSequence.Add(1)))
}

func (s *Service) reject(w http.ResponseWriter, r *http.Request) {
	s.setHeaders(w, r)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Wisteriakeel-Outcome", "not run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"error":{"message":"service is full","type":"refused","code":"full",`+
		`"outcome":"not run","retry":100}}`)
}
