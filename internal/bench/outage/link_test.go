package outage

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// testNetwork is a network of an instance at 127.0.0.2 and a peer at 127.0.0.1, which echoes.
type testNetwork struct {
	*Network
	is      *is.I
	address string
}

func newTestNetwork(t *testing.T) *testNetwork {
	is := is.New(t)
	t.Setenv(AddressVariable, "127.0.0.2")
	t.Setenv(LinksVariable, filepath.Join(t.TempDir(), "links"))
	n := &testNetwork{is: is, Network: &Network{self: "127.0.0.2", path: os.Getenv(LinksVariable), timer: timer.NewSystem(), relays: map[*relay]bool{}}}
	n.set(&links{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	n.address = l.Addr().String()
	e := &echo{l}
	go e.run()
	return n
}

// set writes the state of the network and lets the instance read it.
func (n *testNetwork) set(ls *links) {
	n.is.Helper()
	n.is.NoErr(ls.write(n.path))
	n.is.NoErr(n.read())
}

// answers reports whether the peer echoes bytes on a connection within a moment.
func (n *testNetwork) answers(c net.Conn) bool {
	n.is.Helper()
	_, err := c.Write([]byte("x"))
	n.is.NoErr(err)
	n.is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	n.is.True(err == nil || errors.Is(err, os.ErrDeadlineExceeded))
	return err == nil
}

// echo returns all bytes.
type echo struct{ net.Listener }

func (e *echo) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		ec := &echoConn{c}
		go ec.run()
	}
}

type echoConn struct{ net.Conn }

func (c *echoConn) run() {
	defer func() { _ = c.Close() }()
	b := make([]byte, 16)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		if _, err := c.Write(b[:n]); err != nil {
			return
		}
	}
}

// Guards against a harness whose cuts reset connections or let bytes through, which is what it
// exists to avoid.
func TestCut(t *testing.T) {
	const self, peer = "127.0.0.2", "127.0.0.1"
	for _, c := range []struct {
		name  string
		links links
	}{
		{"both ways", links{blocked: map[link]bool{{self, peer}: true, {peer, self}: true}}},
		{"outbound", links{blocked: map[link]bool{{self, peer}: true}}},
		{"inbound", links{blocked: map[link]bool{{peer, self}: true}}},
		{"lost host", links{blocked: map[link]bool{{anyHost, peer}: true, {peer, anyHost}: true}}},
		{"open connections", links{generation: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNetwork(t)
			open, err := n.Dial(context.Background(), n.address)
			n.is.NoErr(err)
			defer func() { _ = open.Close() }()
			n.is.True(n.answers(open))

			n.set(&c.links)
			n.is.True(!n.answers(open)) // silent, without an error
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			other, err := n.Dial(ctx, n.address)
			if c.links.generation > 0 {
				n.is.NoErr(err)
				n.is.True(n.answers(other))
				_ = other.Close()
			} else {
				n.is.True(errors.Is(err, context.DeadlineExceeded)) // the dial hangs
			}

			n.set(&links{generation: c.links.generation})
			n.is.True(!n.answers(open)) // bytes were lost, so the connection stays silent
			healed, err := n.Dial(context.Background(), n.address)
			n.is.NoErr(err)
			defer func() { _ = healed.Close() }()
			n.is.True(n.answers(healed))
		})
	}
}

// Guards against connections that outlive their unacknowledged bytes, which no host keeps, and
// against a Read that hangs after them.
func TestUnacknowledged(t *testing.T) {
	n := newTestNetwork(t)
	c, err := n.Dial(context.Background(), n.address)
	n.is.NoErr(err)
	n.set(&links{acks: true, blocked: map[link]bool{{"127.0.0.2", anyHost}: true}})
	_, err = c.Write([]byte("x"))
	n.is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	n.is.True(errors.Is(err, syscall.ETIMEDOUT))
}

// Guards against connections to a host that is back after a loss that stay silent for longer than
// TCP would keep them so.
func TestReset(t *testing.T) {
	n := newTestNetwork(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	n.is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := n.Dial(context.Background(), l.Addr().String())
	n.is.NoErr(err)
	accepted, err := l.Accept()
	n.is.NoErr(err)
	n.set(&links{acks: true, blocked: map[link]bool{{anyHost, "127.0.0.1"}: true, {"127.0.0.1", anyHost}: true}})
	r := &reading{conn: c, err: make(chan error, 1)}
	go r.run()
	n.is.NoErr(accepted.Close())
	select {
	case <-r.err:
		t.Fatal("the end of the connection came through the cut")
	case <-time.After(50 * time.Millisecond):
	}
	n.set(&links{acks: true})
	_, err = c.Write([]byte("x"))
	n.is.True(errors.Is(err, syscall.ECONNRESET))
	n.is.True(<-r.err != nil)
}

// reading is a Read in progress.
type reading struct {
	conn net.Conn
	err  chan error
}

func (r *reading) run() {
	_, err := r.conn.Read(make([]byte, 1))
	r.err <- err
}
