package outage

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a relay that loses, reorders or repeats bytes, passes more than a segment on at once,
// or doesn't end with its peer.
func TestRelay(t *testing.T) {
	for _, c := range []struct {
		name  string
		links links
		least time.Duration // for the answer
	}{
		{"good links", links{}, 0},
		{"losses", links{quality: quality{loss: 100}, seed: 5}, minRetransmission}, // with a loss on the way out
		{"delay", links{quality: quality{delay: 50 * time.Millisecond}, seed: 3}, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNetwork(t)
			n.set(&c.links)
			conn, err := n.Dial(context.Background(), n.address)
			n.is.NoErr(err)
			text := bytes.Repeat([]byte("0123456789abcdef"), 512)
			begin, sent := time.Now(), &writing{conn, text, make(chan error, 1)}
			go sent.run()
			b, got := make([]byte, 2*maxSegment), []byte(nil)
			for len(got) < len(text) {
				length, err := conn.Read(b)
				n.is.NoErr(err)
				n.is.True(length <= maxSegment)
				got = append(got, b[:length]...)
			}
			n.is.NoErr(<-sent.err)
			n.is.True(bytes.Equal(got, text))
			n.is.True(time.Since(begin) >= c.least)
			n.is.NoErr(conn.Close())
			_, err = conn.Read(b)
			n.is.True(err != nil)
		})
	}
}

// writing is a Write in progress.
type writing struct {
	conn net.Conn
	data []byte
	err  chan error
}

func (w *writing) run() {
	_, err := w.conn.Write(w.data)
	w.err <- err
}

// Guards against an outage that closes connections in both directions, which ends calls as a kill does.
func TestHalfClosed(t *testing.T) {
	n := newTestNetwork(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	n.is.NoErr(err)
	defer func() { _ = l.Close() }()
	for _, near := range []bool{false, true} {
		conn, err := n.Dial(context.Background(), l.Addr().String())
		n.is.NoErr(err)
		accepted, err := l.Accept()
		n.is.NoErr(err)
		b := make([]byte, 1)
		n.mu.Lock()
		for rl := range n.relays {
			rl.halfClose(near)
		}
		n.mu.Unlock()
		if near {
			_, err = conn.Read(b)
			n.is.True(err != nil)
			n.is.NoErr(accepted.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
			_, err = accepted.Read(b)
			n.is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the peer does not see the end
		} else {
			_, err = accepted.Read(b)
			n.is.Equal(err, io.EOF)
			_, err = accepted.Write([]byte("x"))
			n.is.NoErr(err)
			_, err = conn.Read(b)
			n.is.NoErr(err) // the answer still arrives
		}
		_, _ = accepted.Close(), conn.Close()
	}
	for _, expected := range []bool{true, false} {
		halfClose, err := n.update("0 false 0 0 1 0\n")
		n.is.NoErr(err)
		n.is.Equal(halfClose, expected) // once for each step of the counter
	}
}
