package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a panic, and so a caller without a response, and against a request that counts as sent, when
// the upstream has reset the connection before the request is written.
func TestResetBeforeRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	q := newRequest("a")
	q.BeforeSend = func() error {
		c, err := l.Accept()
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).SetLinger(0))
		is.NoErr(c.Close())
		time.Sleep(20 * time.Millisecond) // until the reset arrives
		return nil
	}
	_, err = send(newClient(), l.Addr().String(), q)
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrInterrupted))
}
