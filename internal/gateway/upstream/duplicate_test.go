package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against a second copy of a response that is taken for the response to the next
// request on the same connection, whenever it arrives and however it is split.
func TestSecondCopy(t *testing.T) {
	const late = 30 * time.Millisecond
	for _, c := range []struct {
		name   string
		method string
		// first is sent for the first request; the parts of second are sent late one after
		// another, with a pause before each.
		first  string
		second []string
		// withNext sends second when the next request has arrived, before its response.
		withNext bool
	}{
		{"within one read", http.MethodPost, response("a", "first") + response("a", "first"), nil, false},
		{"late, on the idle connection", http.MethodPost, response("a", "first"), []string{response("a", "first")}, false},
		{"late, split", http.MethodPost, response("a", "first"), []string{"HTTP/1.1 200 OK\r\nReq", "uest-Id: a\r\nContent-Length: 5\r\n\r\nfi", "rst"}, false},
		{"when the connection is in use again", http.MethodPost, response("a", "first"), []string{response("a", "first")}, true},
		{"in use again, split", http.MethodPost, response("a", "first"), []string{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nfir", "st"}, true},
		{"in use again, after an interim response", http.MethodPost, response("a", "first"), []string{"HTTP/1.1 103 Early Hints\r\n\r\n", response("a", "first")}, true},
		{"in use again, chunked", http.MethodPost, response("a", "first"), []string{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"}, true},
		{"body after the response to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nfirst", nil, false},
		{"body after status 304", http.MethodPost, "HTTP/1.1 304 Not Modified\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nfirst", nil, false},
		{"body after status 204", http.MethodPost, "HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n" + response("a", "first"), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sendSecond := func(e *upstreamtest.Exchange) {
				for _, part := range c.second {
					time.Sleep(late)
					e.Write(part)
				}
			}
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				if id := e.Request.Header.Get("Request-Id"); id != "a" {
					if c.withNext && e.Reused {
						sendSecond(e)
					}
					e.Write(response(id, "own answer of "+id))
					return true
				}
				e.Write(c.first)
				if !c.withNext && len(c.second) > 0 {
					d := &delayed{exchange: e, send: sendSecond}
					go d.run()
				}
				return true
			})
			client := newClient()
			q := newRequest("a")
			q.Method = c.method
			if c.method == http.MethodHead {
				q.Body = nil
			}
			body, err := send(client, u.Address(), q)
			is.NoErr(err)
			is.True(body == "first" || body == "")
			if !c.withNext {
				time.Sleep(2 * late * time.Duration(len(c.second)))
			}
			for _, id := range []string{"b", "c", "d"} {
				body, err := send(client, u.Address(), newRequest(id))
				is.NoErr(err)
				is.Equal(body, "own answer of "+id)
			}
		})
	}
}

// delayed sends the late bytes of an exchange.
type delayed struct {
	exchange *upstreamtest.Exchange
	send     func(e *upstreamtest.Exchange)
}

func (d *delayed) run() { d.send(d.exchange) }

// Guards against a refusal that an upstream writes once more on a connection in use again: the next
// request, which runs, must not count as refused. A refusal without an id counts on a new connection.
func TestSecondCopyOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name, refusal string
		reused        bool // the copy comes on a connection that carried the refusal
		refused       bool // the second request counts as refused
		answered      bool
	}{
		{"without an id", "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", true, false, false},
		{"of another upstream, without an id", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", true, false, false},
		{"with the id of the former request", "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", true, false, true},
		{"first of its connection", "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				e.Write(c.refusal)
				if id := e.Request.Header.Get("Request-Id"); id != "a" {
					time.Sleep(10 * time.Millisecond)
					e.Write(response(id, "own answer of "+id))
				}
				return true
			})
			client := newClient()
			first, err := client.Send(context.Background(), Target{Address: u.Address()}, newRequest("a"))
			is.NoErr(err)
			_, err = readString(first)
			is.NoErr(err)
			first.Close()
			q := newRequest("b")
			q.NewConnection = !c.reused
			r, err := client.Send(context.Background(), Target{Address: u.Address()}, q)
			is.Equal(err == nil, c.refused || c.answered)
			if err != nil {
				is.True(errors.Is(err, ErrInterrupted))
				return
			}
			defer r.Close()
			is.Equal(r.Header.Get("Refused") != "" || r.Status == http.StatusMisdirectedRequest, c.refused)
			body, err := readString(r)
			is.NoErr(err)
			is.Equal(body == "own answer of b", c.answered)
		})
	}
}
