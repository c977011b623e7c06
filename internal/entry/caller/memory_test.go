package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// startAccounted serves a handler with an account of the memory that it holds, and returns the address.
func startAccounted(t *testing.T, h *Handler, limit memory.Bytes) string {
	mux := http.NewServeMux()
	h.Register(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	server := &http.Server{Handler: mux, MaxHeaderBytes: 64 << 10}
	l = httpserver.Accounted(server, l, memory.New(memory.Options{Limit: limit, Timer: timer.NewSystem(), Log: zap.NewNop()}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return address
}

// Guards against limits of the memory that refuse a single chat request of the full size in calm.
func TestLargestChatRequest(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
	h, _ := newHandler(t, f, nil)
	address := startAccounted(t, h, 64<<20) // a quarter of the default memory of an instance
	body := chatBody("small", false)
	body = strings.Replace(body, "hi", strings.Repeat("x", DefaultMaxBodyBytes-len(body)), 1)
	res, text := send(t, "POST", "http://"+address+"/v1/chat/completions", body)
	is.Equal(res.StatusCode, 200)
	is.True(len(text) > 0)
}

// Guards against a refusal for want of memory that says that nothing has run after the call was sent, one that does
// not say so before, and a call that is sent again since its response didn't fit.
func TestShortMemory(t *testing.T) {
	const size, limit = 700 << 10, 2 << 20
	for _, c := range []struct {
		name     string
		announce int    // bytes of the first body
		send     int    // bytes of it that arrive
		response int    // bytes of the response of the upstream
		waits    bool   // the upstream does not respond
		status   int    // of the first response
		outcome  string // in it
		code     string
		runs     int // of both calls
	}{
		{"body without its end", size, size - 1, 2, false, 503, "not run", "memory", 1},
		{"sent to an upstream", size, size, 2, true, 502, "unknown", "upstream", 2},
		{"long response", 2, 2, limit, false, 502, "unknown", "upstream", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			stop := make(chan struct{})
			d := startBookingService(t, f, "d1", func(w http.ResponseWriter, r *http.Request) bool {
				if c.waits && r.URL.Path == "/bookings/1" {
					select {
					case <-stop:
					case <-r.Context().Done():
					}
				}
				w.Header().Set("Content-Length", fmt.Sprint(c.response))
				_, _ = io.WriteString(w, strings.Repeat("x", c.response))
				return true
			})
			defer close(stop)
			h, _ := newHandler(t, f, func(o *Options) { o.MaxBodyBytes = 4 << 20 })
			address := startAccounted(t, h, limit)
			first, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = first.Close() }()
			_, err = fmt.Fprintf(first, "GET /v1/services/desk/bookings/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer town\r\nContent-Length: %d\r\n\r\n%s", c.announce, strings.Repeat("b", c.send))
			is.NoErr(err)
			if c.response < limit {
				time.Sleep(1100 * time.Millisecond) // without progress
				res, _ := send(t, "GET", "http://"+address+"/v1/services/desk/bookings/2", strings.Repeat("c", size))
				is.Equal(res.StatusCode, 200)
			}
			r, err := http.ReadResponse(bufio.NewReader(first), nil)
			is.NoErr(err)
			body, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(r.StatusCode, c.status)
			is.Equal(r.Header.Get("Wisteriakeel-Outcome"), c.outcome)
			is.Equal(parseErrorBody(t, string(body)).Code, c.code)
			is.Equal(r.Header.Get("Retry-After") != "", c.code == "memory")
			is.Equal(d.runCount(), c.runs)
		})
	}
}

// Guards against a body whose fields are not counted, since they take many times their bytes, and against text
// in a prompt that counts as fields.
func TestCountFields(t *testing.T) {
	for _, c := range []struct {
		body string
		n    int
	}{
		{`{}`, 0},
		{`{"a":1,"b":{"c":2,"d":[{"e":3}]}}`, 2},
		{`{"a":"b:c,{\"d\":1}","e":"\\"}`, 2},
		{`{"a":1,"b"`, 1},
		{`}}}{"a":1,"b":2}`, 2},
	} {
		t.Run(c.body, func(t *testing.T) {
			is.New(t).Equal(countFields([]byte(c.body)), c.n)
		})
	}
}
