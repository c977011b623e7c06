package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// PlainRequest is a request to a plain HTTP service.
type PlainRequest struct {
	Method string
	// Path is the escaped path below the service's prefix, including the query.
	Path           string
	Body           []byte
	ContentType    string
	RequestID      string
	IdempotencyKey string
	Account        string
	// PreSendCheck is called once a connection is open, before the first byte is
	// written. If it fails, nothing is sent. It may be nil.
	PreSendCheck func() error
	// Timeout limits the duration of the request. Zero means Limits.MaxRequestTimeout.
	Timeout time.Duration
}

// Response is a complete response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// SendPlain sends a request that may run more than once: net/http itself resends a
// request without a body if a reused connection breaks before the response.
func (cl *Client) SendPlain(ctx context.Context, u *wire.Upstream, p PlainRequest) (Response, error) {
	return cl.sendPlain(ctx, u, p, cl.pooledTransport)
}

// SendPlainOnce sends a request that must run at most once. It uses conn, which was
// opened by Dial for this request, and closes it.
func (cl *Client) SendPlainOnce(ctx context.Context, u *wire.Upstream, p PlainRequest, conn net.Conn) (Response, error) {
	defer conn.Close()
	t := newTransport((&singleUseDialer{conn: conn}).dial)
	t.DisableKeepAlives = true
	return cl.sendPlain(ctx, u, p, t)
}

func (cl *Client) sendPlain(ctx context.Context, u *wire.Upstream, p PlainRequest, t http.RoundTripper) (a Response, err error) {
	headerTimeout, requestTimeout := cl.limits.HeaderTimeout, cl.limits.MaxRequestTimeout
	if p.Timeout > 0 {
		requestTimeout = min(requestTimeout, p.Timeout)
		headerTimeout = requestTimeout
	}
	ctx, c := cl.startCall(ctx, u, p.PreSendCheck, headerTimeout, requestTimeout)
	defer c.finish()
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
	c.setDeadline(requestTimeout, ErrRequestTimeout)
	body, err := c.readBody(ctx, resp, cl.limits.MaxBodyBytes)
	if err != nil {
		return a, err
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
