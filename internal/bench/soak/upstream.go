package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// beat is the pause between two announcements.
	beat = 400 * time.Millisecond
	// events is the length of a stream.
	events = 12
	// step is the pause between two events, and the shortest work of a plain request.
	step = 15 * time.Millisecond
)

// upstreamNode is one simulated upstream behind a proxy.
type upstreamNode struct {
	soak    *Soak
	id      string
	service string
	zone    string
	born    time.Time
	random  *rand.Rand
	server  *http.Server
	proxy   *proxy
	group   *group.Group
	// grey is the share of requests, in percent, that end with a failure or cut.
	grey atomic.Int32

	mu       sync.Mutex
	sequence uint64
	draining bool
	left     bool
	// drained is when its end was acknowledged, 0 before.
	drained timer.Instant
}

// start makes it serve and announce itself.
func (s *Soak) startUpstream(id, service, zone string, seed uint64) (u *upstreamNode, err error) {
	u = &upstreamNode{soak: s, id: id, service: service, zone: zone, born: s.options.Timer.Wall(), random: rand.New(rand.NewPCG(seed, 5))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	u.group = group.New(context.Background())
	if u.proxy, err = newProxy(u.group, s.options.Timer, l.Addr().String()); err != nil {
		return nil, err
	}
	u.group.Go("server", (&serving{u.server, l}).run)
	u.group.Go("announcer", u.loop)
	return u, nil
}

// serving serves at one listener.
type serving struct {
	server   *http.Server
	listener net.Listener
}

func (s *serving) run(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// crash ends it without a word.
func (u *upstreamNode) crash() {
	u.proxy.close()
	_ = u.server.Close()
	_ = u.group.Stop()
}

// loop announces the upstream to an instance until it is accepted, then pauses.
func (u *upstreamNode) loop(ctx context.Context) error {
	ticks := u.soak.options.Timer.Subscribe(beat)
	defer ticks.Stop()
	for {
		u.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

func (u *upstreamNode) announce(ctx context.Context) {
	u.mu.Lock()
	u.sequence++
	a := Announcement{ID: u.id, Service: u.service, Address: u.proxy.address(), Zone: u.zone, Incarnation: u.born, Sequence: u.sequence, Draining: u.draining, Deregistered: u.left}
	u.mu.Unlock()
	for range 4 {
		n := u.soak.nodes[u.soak.draw(len(u.soak.nodes))]
		q, err := u.soak.options.Dialect.AnnounceRequest(n.ip, a)
		if err != nil {
			u.soak.ledger.broken("announcement: %v", err)
			return
		}
		if status, _, err := u.soak.ask(ctx, q, time.Second); err == nil && status == http.StatusOK {
			u.mu.Lock()
			if (a.Draining || a.Deregistered) && u.drained == 0 {
				u.drained = u.soak.options.Timer.Now()
			}
			u.mu.Unlock()
			return
		}
	}
}

// leave announces the end.
func (u *upstreamNode) leave() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
}

// late tells whether the upstream gets a request although its end was acknowledged
// and nothing was disturbed since.
func (u *upstreamNode) late() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.soak.options.Timer.Now()
	return u.drained != 0 && now > u.drained.Add(u.soak.options.Dialect.DrainDelay()) && u.soak.ledger.calmSince(u.drained)
}

// ServeHTTP answers by the id of the request alone, so that callers can check each byte.
func (u *upstreamNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names, l := u.soak.options.Dialect.Protocol(), u.soak.ledger
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if e := r.Header.Get(names.ExpectedUpstream); e != u.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the instance has left
	}
	if u.late() {
		l.broken("%s gets request %s after its end was acknowledged", u.id, id)
	}
	u.check(r, id, string(body))
	l.ran(id, u.id)
	u.mu.Lock()
	fate := u.random.IntN(100)
	u.mu.Unlock()
	bad := fate < int(u.grey.Load())
	if bad && fate%3 == 0 {
		panic(http.ErrAbortHandler) // answer lost
	}
	w.Header().Set(names.Signature, "s-"+id)
	if bad && fate%3 == 1 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		u.stream(w, r, names, id, bad)
		return
	}
	if timer.Sleep(r.Context(), u.soak.options.Timer, step+time.Duration(fate)*time.Millisecond/2) != nil {
		return
	}
	text := answer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if bad {
		text = text[:len(text)/2] // cut short: the length does not fit
	}
	_, _ = io.WriteString(w, text)
}

func (u *upstreamNode) stream(w http.ResponseWriter, r *http.Request, names *upstream.Protocol, id string, bad bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if v := r.Header.Get(names.LastEventID); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			u.soak.ledger.broken("request %s resumes at %q", id, v)
		}
		first = n + 1
	}
	for n := first; n <= events; n++ {
		if timer.Sleep(r.Context(), u.soak.options.Timer, step) != nil {
			return
		}
		if bad && n > first+2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(id, n))
		_ = http.NewResponseController(w).Flush()
	}
}

// check compares the request with what its caller sent.
func (u *upstreamNode) check(r *http.Request, id, body string) {
	names, l := u.soak.options.Dialect.Protocol(), u.soak.ledger
	pooled := strings.HasPrefix(r.URL.Path, StreamPath)
	switch {
	case pooled != (u.service == PoolService):
		l.broken("%s of %s gets %s", u.id, u.service, r.URL.Path)
	case r.Method != method(r.URL.Path) || r.URL.RawQuery != "q="+id || body != question(r.Method, id):
		l.broken("%s gets request %s changed: %s %s %q", u.id, id, r.Method, r.URL, body)
	case r.Header.Get(names.Authorization) != "":
		l.broken("%s gets the key of request %s", u.id, id)
	case r.Header.Get(names.Account) == "" || r.Header.Get(names.Account) == forged:
		l.broken("%s gets request %s of client account %q", u.id, id, r.Header.Get(names.Account))
	}
}

// method returns the method of the requests at a path.
func method(path string) string {
	if strings.HasPrefix(path, OncePath) || strings.HasPrefix(path, StreamPath) {
		return http.MethodPost
	}
	return http.MethodGet
}

// question returns the body of a request, answer that of its answer, and event one of
// the events of its stream.
func question(method, id string) string {
	if method == http.MethodGet {
		return ""
	}
	return strings.Repeat("question "+id+"\n", 20)
}

func answer(id string) string { return strings.Repeat("answer "+id+"\n", 50) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }
