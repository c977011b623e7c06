package upstream

import (
	"context"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

const (
	// endlessUpstreams is the number of upstreams that send bytes without end at once.
	endlessUpstreams = 100
	// maxTestMemory is the memory of an instance at the target size.
	maxTestMemory = 64 << 20
)

// exchangeReader reads a response in one of the ways in which requests do.
type exchangeReader func(r *Response) error

func readBody(r *Response) error {
	body, err := r.ReadAll()
	if err == nil {
		body.Close()
	}
	return err
}

func readEvents(r *Response) error {
	events := NewEventReader(r)
	for {
		if _, _, err := events.Next(); err != nil {
			return err
		}
	}
}

// memoryWatch records the largest heap.
type memoryWatch struct {
	stop    chan struct{}
	stopped sync.WaitGroup
	largest uint64
}

func (w *memoryWatch) loop() {
	defer w.stopped.Done()
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		w.largest = max(w.largest, m.HeapInuse)
		select {
		case <-w.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// exchange is one exchange of the test.
type exchange struct {
	client  *Client
	address string
	read    exchangeReader
	err     error
	expired bool // the exchange lasted until its deadline
	done    *sync.WaitGroup
}

func (e *exchange) run() {
	defer e.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	defer func() { e.expired = ctx.Err() != nil }()
	r, err := e.client.Send(ctx, Target{Address: e.address}, newRequest("a"))
	if err != nil {
		e.err = err
		return
	}
	defer r.Close()
	e.err = e.read(r)
}

// Guards against an instance that runs out of memory, or requests that never end, because
// upstreams in trouble send bytes that are no answer until their connection is closed.
func TestEndlessBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	for _, c := range []struct {
		name, first, repeated string
		read                  exchangeReader
	}{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 4096), readBody},
		{"header line", head + "X: ", strings.Repeat("x", 4096), readBody},
		{"header lines", head, strings.Repeat("X: y\r\n", 600), readBody},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("y", 4096) + "\r\n\r\n", readBody},
		{"response to another request", strings.Replace(head, "a", "z", 1) + "Transfer-Encoding: chunked\r\n\r\n", chunk, readBody},
		{"body without a length", head + "\r\n", strings.Repeat("x", 4096), readBody},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, readBody},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x", 4096), readBody},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 600), readBody},
		{"long body announced", head + "Content-Length: 4000000\r\n\r\n", strings.Repeat("x", 4096), readBody},
		{"event", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, readEvents},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			repeated := []byte(c.repeated)
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write(c.first)
				for {
					if _, err := e.Conn.Write(repeated); err != nil {
						return false
					}
				}
			})
			client := newClient()
			runtime.GC()
			w := &memoryWatch{stop: make(chan struct{})}
			w.stopped.Add(1)
			go w.loop()
			var done sync.WaitGroup
			var exchanges []*exchange
			for range endlessUpstreams {
				e := &exchange{client: client, address: u.Address(), read: c.read, done: &done}
				exchanges = append(exchanges, e)
				done.Add(1)
				go e.run()
			}
			done.Wait()
			close(w.stop)
			w.stopped.Wait()
			succeeded, interrupted := 0, 0
			for _, e := range exchanges {
				switch {
				case e.err == nil:
					succeeded++
				case errors.Is(e.err, ErrInterrupted) || c.name == "event":
					interrupted++
				}
				is.True(!e.expired)
			}
			is.True(succeeded == 0 || c.name == "long body announced") // that one has an end
			is.True(succeeded+interrupted >= endlessUpstreams/2)       // the others found no connection in time
			is.True(w.largest < maxTestMemory)
			is.Equal(client.buffers.held(), 0)
			t.Logf("largest heap %d MB", w.largest>>20)
		})
	}
}

// Guards against sound responses that fail because upstreams in trouble hold the memory for
// bodies and events: each sends much, then a byte now and then.
func TestEndlessBytesBesideSoundResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	for _, c := range []struct {
		name  string
		bytes int // that are sent at once
		read  exchangeReader
	}{{"body", maxBodyBytes * 3 / 4, readBody}, {"event", maxEventBytes * 3 / 4, readEvents}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			endless := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write(head + "\r\n" + strings.Repeat("x", c.bytes))
				for {
					if _, err := e.Conn.Write([]byte("x")); err != nil {
						return false
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
			body := strings.Repeat("y", 200<<10)
			sound := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
				return true
			})
			client := newClient()
			ctx, stop := context.WithCancel(t.Context())
			var done sync.WaitGroup
			for range endlessUpstreams {
				done.Go(func() {
					r, err := client.Send(ctx, Target{Address: endless.Address()}, newRequest("a"))
					if err != nil {
						return
					}
					defer r.Close()
					_ = c.read(r)
				})
			}
			time.Sleep(300 * time.Millisecond)
			for range 20 {
				var one sync.WaitGroup
				one.Add(1)
				e := &exchange{client: client, address: sound.Address(), read: readBody, done: &one}
				e.run()
				is.NoErr(e.err)
			}
			stop()
			done.Wait()
			is.Equal(client.buffers.held(), 0)
		})
	}
}

// Guards against a refusal whose body never ends: what comes after the head is not needed, and
// must not keep the request from going elsewhere.
func TestDiscardEndlessBody(t *testing.T) {
	for _, c := range []struct {
		name, framing, body string
		pause               time.Duration
		fails               bool
	}{
		{"short", "Content-Length: 4\r\n\r\n", "full", 0, false},
		{"none", "Content-Length: 0\r\n\r\n", "", 0, false},
		{"without end", "\r\n", strings.Repeat("x", 4096), 0, true},
		{"a byte now and then", "\r\n", "x", 10 * time.Millisecond, true},
		{"silent", "Content-Length: 4\r\n\r\n", "", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write("HTTP/1.1 503 x\r\nRequest-Id: a\r\n" + c.framing + c.body)
				for c.fails {
					select {
					case <-ended:
						return false
					case <-time.After(c.pause):
					}
					if _, err := e.Conn.Write([]byte(c.body)); err != nil {
						return false
					}
				}
				return true
			})
			defer close(ended)
			r, err := newClient().Send(t.Context(), Target{Address: u.Address()}, newRequest("a"))
			is.NoErr(err)
			defer r.Close()
			start := time.Now()
			is.Equal(r.Discard() != nil, c.fails)
			is.True(time.Since(start) < time.Second)
		})
	}
}

// Guards against an instance that runs out of memory because aborted responses still hold theirs
// while others already use it.
func TestEvictedReaderHoldsItsMemory(t *testing.T) {
	is := is.New(t)
	b := newBuffers()
	evicted := make(chan struct{})
	first, second := &holder{evict: func() { close(evicted) }}, &holder{}
	b.startReading(first)
	is.NoErr(b.reserve(first, maxBufferedBytes))
	reserved := make(chan error)
	go func() { reserved <- b.reserve(second, blockBytes) }()
	<-evicted
	is.True(errors.Is(b.reserve(first, blockBytes), errEvicted))
	select {
	case <-reserved:
		t.Fatal("the memory was given away while a reader used it")
	case <-time.After(20 * time.Millisecond):
	}
	b.release(first)
	is.NoErr(<-reserved)
	is.Equal(b.held(), blockBytes)
}

// Guards against an instance that runs out of memory because it keeps error responses of upstreams
// in trouble while their requests are sent again.
func TestKeptBodiesAreEvicted(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", maxBodyBytes-1)
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		e.Write("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
		return true
	})
	client := newClient()
	var kept []*Body
	for range 10 {
		r, err := client.Send(t.Context(), Target{Address: u.Address()}, newRequest("a"))
		is.NoErr(err)
		b, err := r.ReadAll()
		is.NoErr(err)
		r.Close()
		b.AllowEviction()
		kept = append(kept, b)
	}
	is.True(client.buffers.held() <= maxBufferedBytes)
	blocks := 0
	for i, b := range kept {
		blocks += len(b.blocks)
		is.Equal(b.Claim(), len(b.blocks) > 0)
		is.True(i < len(kept)-1 || len(b.blocks) > 0) // the last one was not needed for others
		b.Close()
	}
	is.True(blocks*blockBytes <= maxBufferedBytes+len(kept)*blockBytes)
	is.Equal(client.buffers.held(), 0)
}
