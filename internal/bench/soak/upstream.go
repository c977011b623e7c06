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
	// announceInterval is the interval between two announcements of an upstream.
	announceInterval = 400 * time.Millisecond
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 12
	// eventGap is the pause between two events, and the least time that another request takes.
	eventGap = 15 * time.Millisecond
)

// simulatedUpstream serves requests behind a proxy and announces itself to the instances.
type simulatedUpstream struct {
	soak        *Soak
	id          string
	service     string
	zone        string
	incarnation time.Time
	random      *rand.Rand
	server      *http.Server
	proxy       *proxy
	group       *group.Group
	// failurePercent is the percentage of requests that fail or are cut short.
	failurePercent atomic.Int32

	mu           sync.Mutex
	sequence     uint64
	draining     bool
	deregistered bool
	// drainAcknowledged is when an instance acknowledged that the upstream drains or leaves; 0 before.
	drainAcknowledged timer.Instant
	limit             statedLimit
	announced         announcement
	pause             requestedPause
	brittle           *brittleness // nil unless the upstream is brittle
}

// startUpstream starts an upstream, which serves and announces itself from then on.
func (s *Soak) startUpstream(id, service, zone string, seed uint64) (u *simulatedUpstream, err error) {
	u = &simulatedUpstream{soak: s, id: id, service: service, zone: zone, incarnation: s.options.Timer.Wall(), random: rand.New(rand.NewPCG(seed, 5))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	u.group = group.New(context.Background())
	if u.proxy, err = newProxy(u.group, s.options.Timer, l.Addr().String()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.running[u] = struct{}{}
	p, b := s.partition, s.brittle[service]
	s.mu.Unlock()
	u.setBrittle(b)
	if err = u.proxy.setPartition(p); err != nil {
		return nil, err
	}
	u.group.Go("server", (&httpService{u.server, l}).run)
	u.group.Go("announcer", u.announceLoop)
	return u, nil
}

// httpService runs an HTTP server as a member of a group.
type httpService struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpService) run(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// failureStatuses are those with which an upstream fails after it has run a request. To callers the last three
// would state that it has not run.
var failureStatuses = []int{
	http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
}

// crash stops the upstream without deregistering it.
func (u *simulatedUpstream) crash() {
	u.soak.mu.Lock()
	delete(u.soak.running, u)
	u.soak.mu.Unlock()
	u.proxy.close()
	_ = u.server.Close()
	_ = u.group.Stop()
}

// announceLoop announces the upstream at regular intervals.
func (u *simulatedUpstream) announceLoop(ctx context.Context) error {
	ticks := u.soak.options.Timer.Subscribe(announceInterval)
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

// announce sends one announcement to random instances until one accepts it, four at most.
func (u *simulatedUpstream) announce(ctx context.Context) {
	u.mu.Lock()
	u.sequence++
	a := Announcement{ID: u.id, Service: u.service, Address: u.proxy.address(), Zone: u.zone, Slots: u.soak.options.Size.Slots, Incarnation: u.incarnation, Sequence: u.sequence, Draining: u.draining, Deregistered: u.deregistered}
	u.mu.Unlock()
	for range 4 {
		n := u.soak.instances[u.soak.randomInt(len(u.soak.instances))]
		q, err := u.soak.options.Dialect.AnnounceRequest(n.ip, a)
		if err != nil {
			u.soak.recorder.violation("announcement: %v", err)
			return
		}
		if status, _, err := u.soak.sendUnchecked(ctx, q, time.Second); err == nil && status == http.StatusOK {
			u.mu.Lock()
			if (a.Draining || a.Deregistered) && u.drainAcknowledged == 0 {
				u.drainAcknowledged = u.soak.options.Timer.Now()
			}
			u.mu.Unlock()
			return
		}
	}
}

// beginDraining makes the following announcements say that the upstream drains.
func (u *simulatedUpstream) beginDraining() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
}

// drainOver reports whether the upstream must get no more requests: its draining was acknowledged, or
// its leave was stated in a response, longer than DrainDelay ago, and there was no disturbance since.
func (u *simulatedUpstream) drainOver() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.soak.options.Timer.Now()
	for _, since := range []timer.Instant{u.drainAcknowledged, u.announced.leaveStated} {
		if since != 0 && now > since.Add(u.soak.options.Dialect.DrainDelay()) && u.soak.recorder.undisturbedSince(since) {
			return true
		}
	}
	return false
}

// serve sends a response that depends only on the ID of the request, so that callers can check each byte.
func (u *simulatedUpstream) serve(w http.ResponseWriter, r *http.Request) {
	names, rec := u.soak.options.Dialect.Protocol(), u.soak.recorder
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if e := r.Header.Get(names.ExpectedUpstream); e != u.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the instance closed the connection
	}
	if u.drainOver() {
		rec.violation("%s gets request %s after its end was acknowledged", u.id, id)
	}
	u.checkLimit()
	u.stateLimit(w.Header())
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	u.checkLeaving(ip, id)
	u.checkEvacuated(ip, id)
	u.stateLeaving(w.Header())
	u.stateBrittle(w.Header())
	if u.refuseInPause(w.Header(), ip) {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	leave, ok := u.enter(ip)
	if !ok {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	u.checkRequest(r, id, string(body))
	rec.recordRun(id, u.id)
	u.mu.Lock()
	draw := u.random.IntN(100)
	u.mu.Unlock()
	fails := draw < int(u.failurePercent.Load())
	if fails && draw%3 == 0 {
		panic(http.ErrAbortHandler) // close the connection without a response
	}
	w.Header().Set(names.Signature, "s-"+id)
	if fails && draw%3 == 1 {
		w.WriteHeader(failureStatuses[draw/3%len(failureStatuses)])
		return
	}
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		u.stream(w, r, names, id, fails)
		return
	}
	if timer.Sleep(r.Context(), u.soak.options.Timer, eventGap+time.Duration(draw)*time.Millisecond/2) != nil {
		return
	}
	text := responseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fails {
		text = text[:len(text)/2] // shorter than the declared length
	}
	_, _ = io.WriteString(w, text)
}

// stream sends the events after the one that the request names as the last received.
func (u *simulatedUpstream) stream(w http.ResponseWriter, r *http.Request, names *upstream.Protocol, id string, fails bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if v := r.Header.Get(names.LastEventID); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			u.soak.recorder.violation("request %s resumes at %q", id, v)
		}
		first = n + 1
	}
	for n := first; n <= eventsPerStream; n++ {
		if timer.Sleep(r.Context(), u.soak.options.Timer, eventGap) != nil {
			return
		}
		if fails && n > first+2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventText(id, n))
		_ = http.NewResponseController(w).Flush()
	}
}

// checkRequest checks that the request arrives as its caller sent it, without the caller's API key, and
// for the right service and account.
func (u *simulatedUpstream) checkRequest(r *http.Request, id, body string) {
	names, rec := u.soak.options.Dialect.Protocol(), u.soak.recorder
	switch {
	case serviceOf(r.URL.Path) != u.service:
		rec.violation("%s of %s gets %s", u.id, u.service, r.URL.Path)
	case r.Method != methodOf(r.URL.Path) || r.URL.RawQuery != "q="+id || body != requestBody(r.Method, id):
		rec.violation("%s gets request %s changed: %s %s %q", u.id, id, r.Method, r.URL, body)
	case r.Header.Get(names.Authorization) != "":
		rec.violation("%s gets the key of request %s", u.id, id)
	case r.Header.Get(names.Account) == "" || r.Header.Get(names.Account) == forgedAccount:
		rec.violation("%s gets request %s of client account %q", u.id, id, r.Header.Get(names.Account))
	}
}

// methodOf returns the HTTP method of requests to a path.
func methodOf(path string) string {
	if strings.HasPrefix(path, OncePath) || strings.HasPrefix(path, StreamPath) {
		return http.MethodPost
	}
	return http.MethodGet
}

// serviceOf returns the service that gets the requests to a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, StreamPath) {
		return PoolService
	}
	return DeskService
}

// requestBody returns the body of the request with that method and ID.
func requestBody(method, id string) string {
	if method == http.MethodGet {
		return ""
	}
	return strings.Repeat("question "+id+"\n", 20)
}

// responseBody returns the body of the response to a request.
func responseBody(id string) string { return strings.Repeat("answer "+id+"\n", 50) }

// eventText returns one event of the stream that answers a request.
func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }
