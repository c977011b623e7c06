package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// acceptRetryDelay is the pause after a failed accept, for example for want of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// retryingListener is a listener whose Accept fails only when it is closed.
type retryingListener struct {
	net.Listener
	timer timer.Service
	log   *zap.Logger
}

// Accept waits for the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("cannot accept a connection", journal.Error(err))
		if err := timer.Sleep(context.Background(), l.timer, acceptRetryDelay); err != nil {
			return nil, err
		}
	}
}
