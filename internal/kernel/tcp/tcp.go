// Package tcp opens connections that notice when the machine at their other end is gone.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer of connections that break once sent bytes have not been
// acknowledged for the time, in whole milliseconds. The caller may set its other fields.
func NewDialer(unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		failure := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.CombineErrors(err, failure)
	}}
}
