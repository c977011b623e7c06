package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

var testNames = &Protocol{RequestID: "Request-Id", NotExecuted: "Refused", Authorization: "Authorization"}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func start(t *testing.T, serve func(e *upstreamtest.Exchange) bool) *upstreamtest.Server {
	t.Helper()
	u, err := upstreamtest.New(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func call(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte("body")}
}

// ask sends one call and reads its answer.
func ask(c *Client, address string, q *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Send(ctx, address, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll()
	return string(body), err
}

// Guards against answers that are crossed, late, short, or followed by other bytes.
func TestFraming(t *testing.T) {
	for _, c := range []struct {
		name string
		// bytes is what the upstream sends in answer to the first call, with id "a".
		bytes string
		body  string
		err   error
		// reused says whether the second call may use the connection.
		reused bool
	}{
		{"whole", answer("a", "good"), "good", nil, true},
		{"short", strings.Replace(answer("a", "good"), "Length: 4", "Length: 9", 1), "", ErrInterrupted, false},
		{"crossed", answer("z", "other"), "", ErrInterrupted, false},
		{"late answer first", answer("z", "other") + answer("a", "good"), "good", nil, false},
		{"bytes after the answer", answer("a", "good") + "HTTP/1.1 200 OK\r\n", "good", nil, false},
		{"no answer", "garbage\r\n\r\n", "", ErrInterrupted, false},
		{"without a length", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\ngood", "good", nil, false},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", "", ErrInterrupted, false},
		{"closing", strings.Replace(answer("a", "good"), "\r\n", "\r\nConnection: close\r\n", 1), "good", nil, false},
		{"no idle time", strings.Replace(answer("a", "good"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1), "good", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := start(t, func(e *upstreamtest.Exchange) bool {
				if e.Request.Header.Get("Request-Id") == "b" {
					e.Write(answer("b", "second"))
					return true
				}
				e.Write(c.bytes)
				return c.reused
			})
			client := New(testNames, timer.NewSystem())
			body, err := ask(client, u.Address(), call("a"))
			is.Equal(errors.Is(err, ErrInterrupted), c.err != nil)
			is.Equal(body, c.body)
			body, err = ask(client, u.Address(), call("b"))
			is.NoErr(err)
			is.Equal(body, "second")
			is.Equal(u.Requests()[1].Reused, c.reused)
		})
	}
}

// Guards against an idle connection that is used after the upstream has ended it: the
// call would count as sent.
func TestEndedIdleConnection(t *testing.T) {
	is := is.New(t)
	u := start(t, func(e *upstreamtest.Exchange) bool {
		e.Write(answer(e.Request.Header.Get("Request-Id"), "x"))
		return false
	})
	client := New(testNames, timer.NewSystem())
	for _, id := range []string{"a", "b", "c"} {
		_, err := ask(client, u.Address(), call(id))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // the end of the connection arrives
	}
	is.Equal(len(u.Requests()), 3)
}

// Guards against a call that counts as sent although nobody listened.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	u := start(t, func(*upstreamtest.Exchange) bool { return false })
	u.Close()
	_, err := ask(New(testNames, timer.NewSystem()), u.Address(), call("a"))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against a second send of a call whose connection broke.
func TestSentOnce(t *testing.T) {
	is := is.New(t)
	u := start(t, func(e *upstreamtest.Exchange) bool {
		if e.Request.Header.Get("Request-Id") == "a" {
			e.Write(answer("a", "x"))
			return true
		}
		e.Reset()
		return false
	})
	client := New(testNames, timer.NewSystem())
	_, err := ask(client, u.Address(), call("a"))
	is.NoErr(err)
	_, err = ask(client, u.Address(), call("b"))
	is.True(errors.Is(err, ErrInterrupted))
	is.Equal(len(u.Requests()), 2)
}

// Guards against an exchange that outlives its caller.
func TestCancel(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	u := start(t, func(e *upstreamtest.Exchange) bool {
		var b [1]byte
		if _, err := e.Conn.Read(b[:]); err != nil {
			close(ended)
		}
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := New(testNames, timer.NewSystem()).Send(ctx, u.Address(), call("a"))
	is.True(errors.Is(err, ErrInterrupted))
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// Guards against torn events that are passed on, and against a wrong position.
func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []string
		events []string
		last   []int64
		end    error
	}{
		{"one each", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []int64{1, 2}, io.EOF},
		{"torn between chunks", []string{"id: 1\nda", "ta: a\n\nid: 2"}, []string{"id: 1\ndata: a\n\n"}, []int64{1}, io.ErrUnexpectedEOF},
		{"two in one chunk", []string{"id: 1\n\nid: 2\n\n"}, []string{"id: 1\n\nid: 2\n\n"}, []int64{2}, io.EOF},
		{"id in the data", []string{"id: 7\ndata: id: 9\n\n"}, []string{"id: 7\ndata: id: 9\n\n"}, []int64{7}, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := NewEventReader(&chunks{list: c.chunks, end: c.end})
			for i, want := range c.events {
				got, last, err := e.Next()
				is.NoErr(err)
				is.Equal(string(got), want)
				is.Equal(last, c.last[i])
			}
			rest, _, err := e.Next()
			is.True(errors.Is(err, c.end))
			is.Equal(len(rest), 0)
		})
	}
}

// chunks returns one string with each read.
type chunks struct {
	list []string
	end  error
}

func (c *chunks) Read(b []byte) (int, error) {
	if len(c.list) == 0 {
		return 0, c.end
	}
	n := copy(b, c.list[0])
	c.list = c.list[1:]
	return n, nil
}

// BenchmarkEvents measures the cost of one event on its way.
func BenchmarkEvents(b *testing.B) {
	event := "id: 12\ndata: " + strings.Repeat("x", 60) + "\n\n"
	e := NewEventReader(&endless{event: event})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := e.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

type endless struct{ event string }

func (e *endless) Read(b []byte) (int, error) { return copy(b, e.event), nil }
