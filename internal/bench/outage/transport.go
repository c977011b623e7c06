package outage

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// manner is how a client uses a connection for a request.
type manner int

const (
	newConnection manner = iota
	keptConnection
	smallPieces
	halfClosing // closes its sending side after the request
	dropping    // leaves before the response, as if that were lost
	manners
)

const (
	// maxPieces and maxPieceDelay limit how long a request in small pieces takes.
	maxPieces     = 25
	maxPieceDelay = 20 * time.Millisecond
	// maxDropDelay is how long a client may wait before it leaves without the response.
	maxDropDelay = 300 * time.Millisecond
)

var errDropped = errors.New("the client has left before the response")

// transport sends each request in a random manner.
type transport struct {
	timer    timer.Service
	separate http.RoundTripper
	kept     http.RoundTripper

	mu      sync.Mutex
	random  *rand.Rand
	dropped bool // the last change; the next one is not
}

func newTransport(seed uint64, t timer.Service) *transport {
	return &transport{
		timer: t, separate: &http.Transport{DisableKeepAlives: true},
		kept: &http.Transport{IdleConnTimeout: 5 * time.Second}, random: rand.New(rand.NewPCG(seed, 4)),
	}
}

// draw draws the manner for a request. The end of the input cancels requests of callers, which name a
// host other than the address of the instance. Reads have
// a time limit that repetitions would use up, and a change is dropped at most once in a row for the
// same reason.
func (t *transport) draw(q *http.Request) (m manner, random *rand.Rand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m = manner(t.random.IntN(int(manners)))
	switch {
	case q.Host != q.URL.Host && m >= halfClosing: // a request of a caller
		m = newConnection
	case m == dropping && (q.Method == http.MethodGet || t.dropped):
		m = halfClosing
	}
	if q.Method != http.MethodGet {
		t.dropped = m == dropping
	}
	return m, rand.New(rand.NewPCG(t.random.Uint64(), 0))
}

// RoundTrip sends a request and returns the response.
func (t *transport) RoundTrip(q *http.Request) (*http.Response, error) {
	switch m, random := t.draw(q); m {
	case newConnection:
		return t.separate.RoundTrip(q)
	case keptConnection:
		return t.kept.RoundTrip(q)
	default:
		return t.exchange(q, m, random)
	}
}

// exchange sends a request in small pieces over a connection of its own.
func (t *transport) exchange(q *http.Request, m manner, random *rand.Rand) (reply *http.Response, err error) {
	ctx := q.Context()
	q = q.Clone(ctx)
	q.Close = true
	var b bytes.Buffer
	if err := q.Write(&b); err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", q.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		if err != nil {
			stop()
			err = errors.CombineErrors(err, c.Close())
		}
	}()
	for rest, size := b.Bytes(), 1+b.Len()/maxPieces; len(rest) > 0; {
		n := min(1+random.IntN(2*size), len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			return nil, err
		}
		rest = rest[n:]
		if err := timer.Sleep(ctx, t.timer, time.Duration(random.Int64N(int64(maxPieceDelay)))); err != nil {
			return nil, err
		}
	}
	switch m {
	case halfClosing:
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return nil, err
		}
	case dropping:
		_ = timer.Sleep(ctx, t.timer, time.Duration(random.Int64N(int64(maxDropDelay))))
		return nil, errDropped
	}
	if reply, err = http.ReadResponse(bufio.NewReader(c), q); err != nil {
		return nil, err
	}
	reply.Body = &exchangeBody{reply.Body, c, stop}
	return reply, nil
}

// exchangeBody closes the connection with the body.
type exchangeBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the body and the connection.
func (b *exchangeBody) Close() error {
	b.stop()
	return errors.CombineErrors(b.ReadCloser.Close(), b.conn.Close())
}
