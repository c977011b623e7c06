package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
)

// Guards against requests to an upstream that refused one and asked for a pause, and against
// requests that wait for a pause that is longer than they can wait, or are refused though it is short.
func TestPausedUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		value  string
		paused time.Duration // 0: a short default
	}{
		{"seconds", "2", 2 * time.Second},
		{"a fraction", "1.5", 1500 * time.Millisecond},
		{"negative", "-1", 0},
		{"a date", "Wed, 21 Oct 2026 07:28:00 GMT", 0},
		{"no number", "soon", 0},
		{"longer than the test", "90", 2500 * time.Millisecond},
		{"without end", "1e9", 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			list, servers := startAnnouncing(t, 3)
			f := newFixture(t, servers, nil)
			list[0].set(http.StatusServiceUnavailable, "Refused: 1", "Retry-After: "+c.value)
			for i := 0; countSince(&list[0].limitingUpstream, time.Time{}, time.Now()) == 0 && i < 100; i++ {
				f.Equal(f.do("GET", "/look/"+strconv.Itoa(i), "").status, 200)
			}
			asked := time.Now()
			list[0].set(http.StatusOK)
			g := group.New(context.Background())
			g.Go("load", lookups(f, 2*time.Millisecond).loop)
			time.Sleep(2500 * time.Millisecond)
			f.NoErr(g.Stop())
			if c.paused > 0 {
				f.True(countSince(&list[0].limitingUpstream, asked.Add(500*time.Millisecond), asked.Add(c.paused-20*time.Millisecond)) <= 2)
			}
			f.True(c.paused >= 2500*time.Millisecond || countSince(&list[0].limitingUpstream, asked.Add(c.paused), time.Now()) > 0)
		})
	}
}

// Guards against holding a request whose time ends before all upstreams take requests again, and
// against refusing one that can wait.
func TestAllUpstreamsPaused(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  string
		status int
	}{
		{"longer than the time limit", "30", 503},
		{"shorter", "0.6", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			list, servers := startAnnouncing(t, 2)
			f := newFixture(t, servers, nil)
			for _, u := range list {
				u.set(http.StatusServiceUnavailable, "Refused: 1", "Retry-After: "+c.pause)
			}
			r := f.do("GET", "/look/first", "")
			f.Equal(r.status, 503)
			for _, u := range list {
				u.set(http.StatusOK)
			}
			start := time.Now()
			r = f.do("GET", "/look/second", "")
			f.Equal(r.status, c.status)
			if c.status == 503 {
				f.True(time.Since(start) < 200*time.Millisecond)
				f.True(strings.Contains(r.body, "not run"))
				seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				f.NoErr(err)
				f.True(seconds > 20)
			}
		})
	}
}

// Guards against requests that waited for the end of a pause and are refused because a few others returned
// first, and against all of them at once.
func TestRequestsReturnAfterPause(t *testing.T) {
	const requests, pause = 6, 200 * time.Millisecond
	var mu sync.Mutex
	running, most, asked := 0, 0, time.Time{}
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		mu.Lock()
		if asked.IsZero() {
			asked = time.Now()
			mu.Unlock()
			return respond(e, 503, "", "Refused: 1", "Retry-After: 0.2")
		}
		running++
		if time.Since(asked) < pause+150*time.Millisecond {
			most = max(most, running)
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return respondSigned(e, "ok")
	})
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	f.Equal(f.do("GET", "/look/first", "", "Request-Id", "first").status, 503)
	var served atomic.Int32
	var waiting sync.WaitGroup
	for n := range requests {
		waiting.Go(func() {
			if f.do("GET", "/look/"+strconv.Itoa(n), "", "Request-Id", "r"+strconv.Itoa(n)).status == 200 {
				served.Add(1)
			}
		})
	}
	waiting.Wait()
	f.Equal(int(served.Load()), requests)
	f.True(most <= 3) // one at once and one more each 100 ms
}

// Guards against a pause that is lost with the body of the response that asks for it.
func TestPauseInBrokenResponse(t *testing.T) {
	for _, c := range []struct{ name, lines, body string }{
		{"short body of a refusal", "Refused: 1\r\nContent-Length: 100\r\n", "half"},
		{"short body of a failure", "Signature: s\r\nContent-Length: 100\r\n", "half"},
		{"broken chunk", "Refused: 1\r\nTransfer-Encoding: chunked\r\n", "64\r\nhalf"},
		{"no body", "Refused: 1\r\nContent-Length: 100\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write("HTTP/1.1 503 x\r\nRequest-Id: " + e.Request.Header.Get("Request-Id") + "\r\nRetry-After: 5\r\n" + c.lines + "\r\n" + c.body)
				time.Sleep(10 * time.Millisecond) // a reset may overtake the head
				e.Reset()
				return false
			})
			f := newFixture(t, []*upstreamtest.Server{u}, nil)
			f.do("GET", "/look/1", "")
			r := f.do("GET", "/look/2", "")
			f.Equal(r.status, 503)
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			f.NoErr(err)
			f.True(seconds > 4)
			f.Equal(len(u.Requests()), 1)
		})
	}
}

// Guards against a pause or a leave that is lost because the caller of the request had gone when the response
// came, and against a caller that waits for such a response.
func TestStatementAfterCallerHasGone(t *testing.T) {
	for _, c := range []struct {
		name, response string
		headers        []string // of the first request
	}{
		{"pause", "503 x\r\nRefused: 1\r\nRetry-After: 5\r\n", nil},
		{"leave", "200 OK\r\nSignature: s\r\nLeaving: 1\r\n", nil},
		{"pause, time limit", "503 x\r\nRefused: 1\r\nRetry-After: 5\r\n", []string{"Deadline", "100"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			arrived, left := make(chan struct{}, 2), make(chan struct{})
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				arrived <- struct{}{}
				<-left
				time.Sleep(20 * time.Millisecond) // the instance notices that the caller has gone
				e.Write("HTTP/1.1 " + c.response + "Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
				return false
			})
			f := newFixture(t, []*upstreamtest.Server{u}, nil)
			if c.headers != nil {
				f.Equal(f.do("GET", "/look/1", "", c.headers...).status, 504)
			} else {
				conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
				f.NoErr(err)
				_, err = io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\n\r\n")
				f.NoErr(err)
				<-arrived
				f.NoErr(conn.Close())
			}
			close(left)
			time.Sleep(150 * time.Millisecond)
			f.Equal(f.do("GET", "/look/2", "", "Request-Id", "r2").status, 503)
			f.Equal(len(u.Requests()), 1)
		})
	}
}

// Guards against refusing requests at once that a busy brittle upstream would serve within their time, since
// another upstream pauses for long.
func TestBrittleUpstreamBesidePause(t *testing.T) {
	paused := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		return respond(e, 503, "", "Refused: 1", "Retry-After: 10")
	})
	brittle := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		time.Sleep(100 * time.Millisecond)
		return respond(e, 200, "ok", "Signature: s", "Brittle: 3")
	})
	f := newFixture(t, []*upstreamtest.Server{paused, brittle}, nil)
	for i := range 6 {
		f.do("GET", "/look/1", "", "Request-Id", "first"+strconv.Itoa(i))
	}
	var done sync.WaitGroup
	var served atomic.Int32
	for i := range 6 {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			if f.do("GET", "/look/1", "", "Request-Id", strconv.Itoa(i)).status == 200 {
				served.Add(1)
			}
		})
	}
	done.Wait()
	f.Equal(served.Load(), int32(6))
}
