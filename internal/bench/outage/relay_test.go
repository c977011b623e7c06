package outage

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
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
		{"losses", links{quality: quality{loss: 100}}, minRetransmission},
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
	for range 8 { // each direction ends in some
		conn, err := n.Dial(context.Background(), l.Addr().String())
		n.is.NoErr(err)
		accepted, err := l.Accept()
		n.is.NoErr(err)
		n.set(&links{halfCloses: n.current().halfCloses + 1})
		n.is.NoErr(accepted.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
		_, ended := accepted.Read(make([]byte, 1))
		if ended != io.EOF {
			n.is.True(ended.(net.Error).Timeout())
			_, err = conn.Read(make([]byte, 1))
			n.is.True(err != nil) // only the instance sees the end
			_ = accepted.Close()
			continue
		}
		_, err = accepted.Write([]byte("x"))
		n.is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		n.is.NoErr(err) // the answer still arrives
		_ = accepted.Close()
	}
}
