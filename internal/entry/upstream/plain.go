package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// PlainRequest is a call to a plain service.
type PlainRequest struct {
	Method string
	// Path is the escaped path below the service's prefix with the query.
	Path           string
	Body           []byte
	ContentType    string
	RequestID      string
	IdempotencyKey string
	Account        string
	// PreSendCheck is called once a connection is open, before the first byte is
	// written; an error ends the call unsent. It may be nil.
	PreSendCheck func() error
	// Timeout bounds the call; zero takes the overall limit.
	Timeout time.Duration
}

// Response is a complete answer of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// SendPlain sends a call that may be repeated. net/http itself may send one without
// a body again if a reused connection breaks before the answer.
func (d *Client) SendPlain(ctx context.Context, u *wire.Upstream, p PlainRequest) (Response, error) {
	return d.plain(ctx, u, p, d.pooled)
}

// SendPlainOnce sends a call that may not be repeated over a connection opened by Dial
// for it, and closes the connection.
func (d *Client) SendPlainOnce(ctx context.Context, u *wire.Upstream, p PlainRequest, conn net.Conn) (Response, error) {
	defer conn.Close()
	t := transport((&single{conn: conn}).dial)
	t.DisableKeepAlives = true
	return d.plain(ctx, u, p, t)
}

func (d *Client) plain(ctx context.Context, u *wire.Upstream, p PlainRequest, t http.RoundTripper) (a Response, err error) {
	header, overall := d.limits.HeaderTimeout, d.limits.CallTimeout
	if p.Timeout > 0 {
		overall = min(overall, p.Timeout)
		header = overall
	}
	ctx, c := d.begin(ctx, u, p.PreSendCheck, header, overall)
	defer c.end()
	r, err := http.NewRequestWithContext(ctx, p.Method, "http://"+u.Address+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return a, &Failure{Outcome: NotRun, Reason: "call cannot be built", Err: err}
	}
	r.Header.Set(HeaderAccount, p.Account)
	if p.ContentType != "" {
		r.Header.Set("Content-Type", p.ContentType)
	}
	if p.IdempotencyKey != "" {
		r.Header.Set(HeaderIdempotencyKey, p.IdempotencyKey)
	}
	resp, err := c.send(r, t, p.RequestID)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	c.expect(overall, ErrCallTimeout)
	body, err := c.body(ctx, resp, d.limits.MaxBodyBytes)
	if err != nil {
		return a, err
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
