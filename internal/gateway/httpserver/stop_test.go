package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// loadedHandler is a handler with a Drainer, as that of callers: it closes connections while
// it drains and refuses new requests afterwards.
type loadedHandler struct {
	running             atomic.Int64
	draining, rejecting atomic.Bool
	seen                sync.Map // ids of the requests whose header was read
	work                time.Duration
	answerAll           chan struct{} // closed when all requests must end
}

func (h *loadedHandler) Drain()         { h.draining.Store(true) }
func (h *loadedHandler) RejectNew()     { h.rejecting.Store(true) }
func (h *loadedHandler) RejectWaiting() {}
func (h *loadedHandler) AnswerAll()     { close(h.answerAll) }
func (h *loadedHandler) Running() int64 { return h.running.Load() }

func (h *loadedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	h.seen.Store(r.Header.Get("Id"), true)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if h.rejecting.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(h.work):
	case <-h.answerAll:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// stopCaller sends requests until it can open no more connections.
type stopCaller struct {
	address string
	name    string
	count   int // requests so far
	// pause is the time between the header and the body of a request.
	pause time.Duration
	ended sync.WaitGroup

	answered, refused int
	cut               []string // ids of the requests without an answer
}

func (c *stopCaller) loop() {
	defer c.ended.Done()
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.serve(conn)
	}
}

// serve sends requests on one connection until the server closes it.
func (c *stopCaller) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		c.count++
		id := fmt.Sprint(c.name, "-", c.count)
		if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\nContent-Length: 4\r\n\r\n"); err != nil {
			return // closed between two requests
		}
		time.Sleep(c.pause)
		if _, err := io.WriteString(conn, "body"); err != nil {
			c.cut = append(c.cut, id)
			return
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			c.cut = append(c.cut, id)
			return
		}
		if res.StatusCode == http.StatusOK {
			c.answered++
		} else {
			c.refused++
		}
		if res.Close {
			return
		}
	}
}

// Guards against a planned stop that cuts off requests that were just accepted: callers with
// open connections, with new ones, and with bodies that arrive late keep sending until the
// server takes no more connections. A connection that is closed before anything was read from
// it does not count, since its caller knows that the request has not run.
func TestStopUnderLoad(t *testing.T) {
	for _, c := range []struct {
		grace, work time.Duration
		least       int // of the requests that are answered, and of those that are refused
	}{
		{8 * time.Second, 20 * time.Millisecond, 101},
		{8 * time.Second, 400 * time.Millisecond, 24},
		{3 * time.Second, 400 * time.Millisecond, 24},
		{2 * time.Second, 400 * time.Millisecond, 24},
		{2 * time.Second, 5 * time.Second, 0},
	} {
		t.Run(fmt.Sprint(c.grace, " for requests of ", c.work), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &loadedHandler{work: c.work, answerAll: make(chan struct{})}
			address := freeAddress(t)
			s, err := New(Options{
				Endpoints: []Endpoint{{Name: "callers", Address: address, Handler: h}}, Drainer: h, Deregister: func() {},
				GracePeriod: c.grace, Timer: timer.NewSystem(), Log: zap.NewNop(),
			})
			is.NoErr(err)
			ctx, stop := context.WithCancel(context.Background())
			var callers []*stopCaller
			for n := range 24 {
				c := &stopCaller{address: address, name: fmt.Sprint(n), pause: time.Duration(n%3) * 15 * time.Millisecond}
				callers = append(callers, c)
				c.ended.Add(1)
				go c.loop()
			}
			time.AfterFunc(300*time.Millisecond, stop)
			is.NoErr(s.Run(ctx))
			answered, refused, closed, cut := 0, 0, 0, 0
			for _, c := range callers {
				c.ended.Wait()
				answered, refused, closed = answered+c.answered, refused+c.refused, closed+len(c.cut)
				for _, id := range c.cut {
					if _, seen := h.seen.Load(id); seen {
						cut++
					}
				}
			}
			t.Logf("%d answered, %d refused, %d closed, %d of them read", answered, refused, closed, cut)
			is.True(answered >= c.least && refused >= c.least)
			is.Equal(cut, 0)
		})
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
