package tcp

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against connections without TCP_USER_TIMEOUT, which hang when the remote host
// has become unreachable.
func TestDialerSetsUserTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := NewDialer(1500*time.Millisecond).DialContext(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var milliseconds int
	is.NoErr(raw.Control(func(fd uintptr) {
		milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(milliseconds, 1500)
}
