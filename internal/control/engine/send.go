package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
)

// HTTPSender sends orders over HTTP, each on a connection of its own.
type HTTPSender struct {
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Send posts the order. The answer says only that the engine accepted it.
func (h HTTPSender) Send(ctx context.Context, address string, o Order, permit func() error) (err error) {
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
			return &guarded{Conn: c, permit: permit}, nil
		},
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	// The transport follows no redirects, and it repeats nothing on a fresh connection.
	r, err := t.RoundTrip(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	switch {
	case r.StatusCode == http.StatusConflict:
		return ErrStaleToken
	case r.StatusCode/100 != 2:
		return errors.Newf("status %d", r.StatusCode)
	}
	return nil
}

// guarded asks for permission before each write: the process may have been paused, or the
// connection may have taken long, since the order was begun.
type guarded struct {
	net.Conn
	permit func() error
}

// Write writes if it is permitted now.
func (g *guarded) Write(b []byte) (int, error) {
	if err := g.permit(); err != nil {
		return 0, err
	}
	return g.Conn.Write(b)
}

// dialTCP opens a connection that delivers nothing late. The kernel would go on to
// retransmit what was written after the connection is closed, and while the process is
// paused: a reset on close ends the former, a limit on unacknowledged data the latter.
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
