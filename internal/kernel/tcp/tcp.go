// Package tcp opens TCP connections that fail when the remote host has become unreachable.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer that sets TCP_USER_TIMEOUT: a connection fails once sent
// data has been unacknowledged for the timeout, which is cut to whole milliseconds.
// The caller may set the dialer's fields other than Control.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, controlErr)
	}}
}
