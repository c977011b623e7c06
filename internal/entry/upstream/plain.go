package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Plain is a call to a plain service.
type Plain struct {
	Method string
	// Path is the escaped path below the service's prefix with the query.
	Path    string
	Body    []byte
	Type    string
	Request string
	Key     string
	Account string
	// Check is called once a connection is open, before the first byte is
	// written; an error ends the call unsent. It may be nil.
	Check func() error
	// Timeout bounds the call; zero takes the overall limit.
	Timeout time.Duration
}

// Answer is a complete answer of a plain service.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// Plain sends a call that may be repeated. net/http itself may send one without
// a body again if a reused connection breaks before the answer.
func (d *Dispatcher) Plain(ctx context.Context, u *wire.Upstream, p Plain) (Answer, error) {
	return d.plain(ctx, u, p, d.pooled)
}

// Once sends a call that may not be repeated over a connection opened by Dial
// for it, and closes the connection.
func (d *Dispatcher) Once(ctx context.Context, u *wire.Upstream, p Plain, conn net.Conn) (Answer, error) {
	defer conn.Close()
	t := transport((&single{conn: conn}).dial)
	t.DisableKeepAlives = true
	return d.plain(ctx, u, p, t)
}

func (d *Dispatcher) plain(ctx context.Context, u *wire.Upstream, p Plain, t http.RoundTripper) (a Answer, err error) {
	header, overall := d.limits.Header, d.limits.Overall
	if p.Timeout > 0 {
		overall = min(overall, p.Timeout)
		header = overall
	}
	ctx, c := d.begin(ctx, u, p.Check, header, overall)
	defer c.end()
	r, err := http.NewRequestWithContext(ctx, p.Method, "http://"+u.Address+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return a, &Failure{Outcome: NotRun, Reason: "call cannot be built", Err: err}
	}
	r.Header.Set(HeaderAccount, p.Account)
	if p.Type != "" {
		r.Header.Set("Content-Type", p.Type)
	}
	if p.Key != "" {
		r.Header.Set(HeaderKey, p.Key)
	}
	resp, err := c.send(r, t, p.Request)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	c.expect(overall, ErrCallTimeout)
	body, err := c.body(ctx, resp, d.limits.Body)
	if err != nil {
		return a, err
	}
	return Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, nil
}
