package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// pausedClock is the clock of a process that was paused: the time has moved on, but no timer
// has fired for that yet.
type pausedClock struct {
	*timer.System
	pause atomic.Int64
}

func (p *pausedClock) Now() timer.Instant {
	return p.System.Now().Add(time.Duration(p.pause.Load()))
}

// startUpstreams starts an upstream of each service. requests returns how many requests they got.
func startUpstreams(t *testing.T, f *fakeControl) (requests func() int) {
	engine := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
	desk := startBookingService(t, f, "d1", nil)
	return func() int { return engine.requestCount() + desk.runCount() }
}

// Guards against a request that is sent after its deadline, since the process was paused and the
// timer of the deadline runs later than the request.
func TestDeadlineIsCheckedBeforeSending(t *testing.T) {
	for _, c := range requestKinds {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			requests := startUpstreams(t, f)
			clock := &pausedClock{System: timer.NewSystem()}
			_, s := newHandler(t, f, func(o *Options) {
				o.Timer = clock
				o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					clock.pause.Store(int64(DefaultTimeout))
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			})
			r, body := send(t, c.method, s.URL+c.path, c.body, c.headers...)
			is.Equal(r.StatusCode, 504)
			is.True(strings.Contains(body, "not run"))
			is.Equal(requests(), 0)
		})
	}
}

// Guards against a request that waited for its connection while the upstream asked for a pause, and is
// sent to it all the same.
func TestPauseBeginsBeforeRequestIsSent(t *testing.T) {
	for _, c := range requestKinds {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			requests := startUpstreams(t, f)
			var h *Handler
			h, s := newHandler(t, f, func(o *Options) {
				o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					for _, u := range f.config.Upstreams {
						h.pool.Pause(u.Name, u.Incarnation, 30*time.Second)
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			})
			r, body := send(t, c.method, s.URL+c.path, c.body, c.headers...)
			is.Equal(r.StatusCode, 503)
			is.True(strings.Contains(body, "not run"))
			seconds, err := strconv.Atoi(r.Header.Get("Retry-After"))
			is.NoErr(err)
			is.True(seconds >= 29)
			is.Equal(requests(), 0)
		})
	}
}

// Guards against pauses that begin or end, and values that are not honoured, without a line in the log.
func TestPauseIsLogged(t *testing.T) {
	for _, c := range []struct {
		value string
		lines []string
	}{
		{"0.2", []string{"upstream asks for a pause", "pause of an upstream is over"}},
		{"soon", []string{"upstream asks for an invalid pause", "upstream asks for a pause", "pause of an upstream is over"}},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zap.InfoLevel)
			f := newFakeControl(poolDocument(), deskDocument())
			var asked atomic.Bool
			startBookingService(t, f, "d1", func(w http.ResponseWriter, r *http.Request) bool {
				if asked.Swap(true) {
					return false
				}
				w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
				w.Header().Set(upstream.HeaderOutcome, string(upstream.NotRun))
				w.Header().Set("Retry-After", c.value)
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			_, s := newHandler(t, f, func(o *Options) { o.Log = zap.New(core) })
			for status := 0; status != http.StatusCreated; time.Sleep(50 * time.Millisecond) {
				r, _ := send(t, "GET", s.URL+"/v1/services/desk/bookings/1", "")
				status = r.StatusCode
			}
			var lines []string
			for _, e := range logs.All() {
				if strings.Contains(e.Message, "pause") {
					lines = append(lines, e.Message)
					is.Equal(e.ContextMap()["upstream"], "d1")
				}
			}
			is.Equal(lines, c.lines)
		})
	}
}
