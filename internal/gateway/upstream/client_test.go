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
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

var testProtocol = &Protocol{RequestID: "Request-Id", NotExecuted: "Refused", Authorization: "Authorization"}

// response returns the bytes of a complete response to the request with an id.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// newClient returns a client without other instances.
func newClient() *Client {
	return New(Options{Protocol: testProtocol, Timer: timer.NewSystem(), Log: zap.NewNop()})
}

// startUpstream starts a fake upstream, which stops with the test.
func startUpstream(t *testing.T, handle func(e *upstreamtest.Exchange) bool) *upstreamtest.Server {
	t.Helper()
	u, err := upstreamtest.New(handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func newRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: [][]byte{[]byte("body")}}
}

// send sends a request and returns the body of its response.
func send(c *Client, address string, q *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Send(ctx, Target{Address: address}, q)
	if err != nil {
		return "", err
	}
	defer r.Close()
	return readString(r)
}

// readString reads the whole body.
func readString(r *Response) (string, error) {
	body, err := r.ReadAll()
	if err != nil {
		return "", err
	}
	defer body.Close()
	var s strings.Builder
	_, err = body.WriteTo(&s)
	return s.String(), err
}

// interim returns the head of an interim response.
func interim(status string) string { return "HTTP/1.1 " + status + " x\r\nContent-Length: 9\r\n\r\n" }

// withStatus returns a response with another status, whose body is a response of its own.
func withStatus(status string) string {
	return strings.Replace(response("a", response("a", "nested")), "200 OK", status, 1)
}

// Guards against accepting a response that is truncated, meant for another request or has an invalid
// status, against reading the body of one as the next response, and against reusing a connection that
// carried a late response or surplus bytes.
func TestResponseFraming(t *testing.T) {
	for _, c := range []struct {
		name string
		// bytes is what the upstream sends in response to the first request, with id "a".
		bytes string
		body  string
		err   error
		// reused is true if the second request may use the same connection.
		reused bool
	}{
		{"complete", response("a", "good"), "good", nil, true},
		{"truncated", strings.Replace(response("a", "good"), "Length: 4", "Length: 9", 1), "", ErrInterrupted, false},
		{"meant for another request", response("z", "other"), "", ErrInterrupted, false},
		{"late response first", response("z", "other") + response("a", "good"), "good", nil, false},
		{"bytes after the response", response("a", "good") + "HTTP/1.1 200 OK\r\n", "good", nil, false},
		{"no response", "garbage\r\n\r\n", "", ErrInterrupted, false},
		{"without a length", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\ngood", "good", nil, false},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", "", ErrInterrupted, false},
		{"Connection: close", strings.Replace(response("a", "good"), "\r\n", "\r\nConnection: close\r\n", 1), "good", nil, false},
		{"interim responses", interim("100") + interim("102") + interim("103") + interim("199") + response("a", "good"), "good", nil, true},
		{"too many interim responses", strings.Repeat(interim("102"), maxInterimResponses+1) + response("a", "good"), "", ErrInterrupted, false},
		{"long interim responses", strings.Repeat(interim("103 "+strings.Repeat("x", maxHeaderBytes/4)), 5) + response("a", "good"), "", ErrInterrupted, false},
		{"protocol switched", interim("101") + response("a", "good"), "", ErrInterrupted, false},
		{"status 000", "HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n" + response("a", "good"), "", ErrInterrupted, false},
		{"status 099", withStatus("099"), "", ErrInterrupted, false},
		{"status 99", withStatus("99"), "", ErrInterrupted, false},
		{"status 2000", withStatus("2000"), "", ErrInterrupted, false},
		{"status 600", withStatus("600"), "", ErrInterrupted, false},
		{"status 999", withStatus("999 x"), "", ErrInterrupted, false},
		{"no idle timeout", strings.Replace(response("a", "good"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1), "good", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				if e.Request.Header.Get("Request-Id") == "b" {
					e.Write(response("b", "second"))
					return true
				}
				e.Write(c.bytes)
				return c.reused
			})
			client := newClient()
			body, err := send(client, u.Address(), newRequest("a"))
			is.Equal(errors.Is(err, ErrInterrupted), c.err != nil)
			is.Equal(body, c.body)
			body, err = send(client, u.Address(), newRequest("b"))
			is.NoErr(err)
			is.Equal(body, "second")
			is.Equal(u.Requests()[1].Reused, c.reused)
		})
	}
}

// Guards against using an idle connection that the upstream has closed: the request would
// count as sent.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		e.Write(response(e.Request.Header.Get("Request-Id"), "x"))
		return false
	})
	client := newClient()
	for _, id := range []string{"a", "b", "c"} {
		_, err := send(client, u.Address(), newRequest(id))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // until the end of the connection arrives
	}
	is.Equal(len(u.Requests()), 3)
}

// Guards against a request that counts as sent although nothing listens on the address.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, func(*upstreamtest.Exchange) bool { return false })
	u.Close()
	_, err := send(newClient(), u.Address(), newRequest("a"))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against sending a request again after its connection was reset.
func TestSentOnce(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		if e.Request.Header.Get("Request-Id") == "a" {
			e.Write(response("a", "x"))
			return true
		}
		e.Reset()
		return false
	})
	client := newClient()
	_, err := send(client, u.Address(), newRequest("a"))
	is.NoErr(err)
	_, err = send(client, u.Address(), newRequest("b"))
	is.True(errors.Is(err, ErrInterrupted))
	is.Equal(len(u.Requests()), 2)
}

// Guards against an exchange that goes on after its context is cancelled.
func TestCancel(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		var b [1]byte
		if _, err := e.Conn.Read(b[:]); err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, Target{Address: u.Address()}, newRequest("a"))
	is.True(errors.Is(err, ErrInterrupted))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// Guards against returning truncated events, and against a wrong last event id.
func TestEventReader(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []string
		events []string
		lastID []int64
		end    error
	}{
		{"one event per chunk", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []int64{1, 2}, io.EOF},
		{"event split between chunks", []string{"id: 1\nda", "ta: a\n\nid: 2"}, []string{"id: 1\ndata: a\n\n"}, []int64{1}, io.ErrUnexpectedEOF},
		{"two events in one chunk", []string{"id: 1\n\nid: 2\n\n"}, []string{"id: 1\n\nid: 2\n\n"}, []int64{2}, io.EOF},
		{"carriage returns", []string{"id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r"}, []string{"id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r"}, []int64{1, 2}, io.EOF},
		{"carriage returns and line feeds", []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "\r\n"}, []string{"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}, []int64{1, 2}, io.EOF},
		{"blank line split between chunks", []string{"id: 1\r\n\r", "\nid: 2\n", "\n"}, []string{"id: 1\r\n\r\n", "id: 2\n\n"}, []int64{1, 2}, io.EOF},
		{"id in the data after a carriage return", []string{"data: 3\rid: 4\rdata: id: 9\r\r"}, []string{"data: 3\rid: 4\rdata: id: 9\r\r"}, []int64{4}, io.EOF},
		{"id in the data", []string{"id: 7\ndata: id: 9\n\n"}, []string{"id: 7\ndata: id: 9\n\n"}, []int64{7}, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := NewEventReader(&chunkReader{list: c.chunks, end: c.end})
			for i, want := range c.events {
				got, id, err := e.Next()
				is.NoErr(err)
				is.Equal(string(got), want)
				is.Equal(id, c.lastID[i])
			}
			remaining, _, err := e.Next()
			is.True(errors.Is(err, c.end))
			is.Equal(len(remaining), 0)
		})
	}
}

// chunkReader returns one string with each read.
type chunkReader struct {
	list []string
	end  error
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if len(c.list) == 0 {
		return 0, c.end
	}
	n := copy(b, c.list[0])
	c.list = c.list[1:]
	return n, nil
}

// BenchmarkEventReader measures the cost of reading one event.
func BenchmarkEventReader(b *testing.B) {
	event := "id: 12\ndata: " + strings.Repeat("x", 60) + "\n\n"
	e := NewEventReader(&endlessReader{event: event})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := e.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLongEvent measures the cost of reading a long event in small pieces.
func BenchmarkLongEvent(b *testing.B) {
	piece := strings.Repeat("x", 64)
	for b.Loop() {
		c := &chunkReader{end: io.EOF, list: []string{"data: "}}
		for range 4000 {
			c.list = append(c.list, piece)
		}
		c.list = append(c.list, "\n\n")
		if _, _, err := NewEventReader(c).Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// endlessReader returns the same event with each read.
type endlessReader struct{ event string }

func (r *endlessReader) Read(b []byte) (int, error) { return copy(b, r.event), nil }

// Guards against a request that is sent although the check right before the write fails, and
// against one that counts as sent then.
func TestBeforeSend(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		e.Write(response(e.Request.Header.Get("Request-Id"), "x"))
		return true
	})
	client := newClient()
	denied := errors.New("denied")
	q := newRequest("a")
	q.BeforeSend = func() error { return denied }
	_, err := send(client, u.Address(), q)
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, denied))
	q.BeforeSend = func() error {
		q.Header.Set("Deadline", "7")
		return nil
	}
	_, err = send(client, u.Address(), q)
	is.NoErr(err)
	is.Equal(len(u.Requests()), 1)
	is.Equal(u.Requests()[0].Request.Header.Get("Deadline"), "7")
}

// Guards against an error response, or its head, that is passed on as an event of a stream.
func TestBytesThatAreNoEvent(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		valid        bool
	}{
		{"events", "id: 1\ndata: a\n\ndata\n\n", true},
		{"with carriage returns", "id: 1\r\rdata: a\r\r", true},
		{"with both", "id: 1\r\ndata: a\r\n\r\n", true},
		{"comment", ": keep-alive\n\n", true},
		{"blank lines", "\n\n\n\n", true},
		{"with a field of the protocol", "versions: 3\nid: 1\ndata: a\n\n", true},
		{"other fields only", "versions: 3\n\n", false},
		{"error", "{\"error\":\"boom\"}\n\n", false},
		{"error after an event", "id: 1\ndata: a\n\nboom\n\n", false},
		{"error before an event", "boom\n\nid: 1\ndata: a\n\n", false},
		{"head of a response", "HTTP/1.1 500 x\r\nContent-Type: text/plain\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := NewEventReader(&chunkReader{list: []string{c.stream}, end: io.EOF}).Next()
			is.Equal(errors.Is(err, ErrNoEvent), !c.valid)
			is.Equal(err == nil, c.valid)
		})
	}
}
