package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
)

// HTTPSender sends orders over HTTP. It opens a new connection for each order.
type HTTPSender struct {
	// Dial opens a connection. If it is nil, the sender connects over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Send posts the order. A nil error means only that the engine accepted the order. If nothing
// was written and permit fails by the end, the error is that of permit: the transport may
// report the error of its reader or of the connection setup instead.
func (h HTTPSender) Send(ctx context.Context, address string, o Order, permit func() error) (err error) {
	var written atomic.Bool
	defer func() {
		if err == nil || written.Load() {
			return
		}
		if denied := permit(); denied != nil {
			err = errors.WithSecondaryError(denied, err)
		}
	}()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	dial := h.Dial
	if dial == nil {
		dial = dialTCP
	}
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &permittedConn{Conn: c, permit: permit, written: &written}, nil
		},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	// RoundTrip follows no redirects, and it doesn't retry a request on a new connection.
	response, err := t.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrStaleToken
	case response.StatusCode/100 != 2:
		return errors.Newf("engine responded with status %d", response.StatusCode)
	}
	return nil
}

// permittedConn checks before each write that it is still permitted. The process may have
// been paused, or the connection setup may have taken long, since the last check.
type permittedConn struct {
	net.Conn
	permit func() error
	// written is set before the first permitted write.
	written *atomic.Bool
}

// Write writes b if that is permitted now.
func (c *permittedConn) Write(b []byte) (int, error) {
	if err := c.permit(); err != nil {
		return 0, err
	}
	c.written.Store(true)
	return c.Conn.Write(b)
}

// dialTCP opens a connection that delivers nothing late. By default the kernel retransmits
// written data after the connection is closed and while the process is paused. A reset on
// close prevents the former, a limit on the age of unacknowledged data the latter.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := tcp.NewDialer(MaxDeliveryTime)
	d.Timeout = MaxDeliveryTime
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil {
			return nil, errors.CombineErrors(err, c.Close())
		}
	}
	return c, nil
}
