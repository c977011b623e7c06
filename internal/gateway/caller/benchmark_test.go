package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// discardWriter is a response writer that counts and discards the body.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (d *discardWriter) Header() http.Header { return d.header }
func (d *discardWriter) WriteHeader(int)     {}
func (d *discardWriter) Flush()              {}
func (d *discardWriter) Write(b []byte) (int, error) {
	d.bytes += len(b)
	return len(b), nil
}

// BenchmarkRequest measures a request from its parsed headers to the last byte of the
// response, including the fake upstream, with logging off and on. The cost of an event is the
// difference between two stream lengths; the fake upstream itself makes four allocations for
// each event.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		path   string
		events int
		log    bool
		body   int // bytes of the request
	}{
		{"plain, log off", "/look/1", 0, false, 0},
		{"plain, log on", "/look/1", 0, true, 0},
		{"stream of 10, log off", "/draft/1", 10, false, 0},
		{"stream of 10, log on", "/draft/1", 10, true, 0},
		{"stream of 110, log off", "/draft/1", 110, false, 0},
		{"body of 1 KB, log off", "/look/1", 0, false, 1 << 10},
		{"body of 48 KB, log off", "/look/1", 0, false, 48 << 10},
	} {
		b.Run(c.name, func(b *testing.B) {
			u := startUpstream(b, func(e *upstreamtest.Exchange) bool {
				if c.events == 0 {
					return respondSigned(e, "ok")
				}
				writeEvents(e, "Content-Type: text/event-stream\r\n")
				for n := range c.events {
					line := "id: " + strconv.Itoa(n) + "\ndata: some text of an event\n\n"
					e.Write(strconv.FormatInt(int64(len(line)), 16) + "\r\n" + line + "\r\n")
				}
				e.Write(lastChunk)
				return true
			})
			f := newFixture(b, []*upstreamtest.Server{u}, []*upstreamtest.Server{u})
			if c.log {
				lines := journal.NewBoundedWriter(io.Discard)
				log, _, err := journal.New(lines, "info")
				f.NoErr(err)
				f.handler.Log = log
				b.Cleanup(func() { _ = lines.Close() })
			} else {
				f.handler.Log = zap.NewNop()
			}
			connection, _ := memory.New(memory.Options{Limit: 28 << 20, Timer: f.handler.Timer, Log: zap.NewNop()}).Open(netip.Addr{}, func() {})
			body := strings.Repeat("x", c.body)
			b.ReportAllocs()
			for b.Loop() {
				q := httptest.NewRequest("GET", c.path, strings.NewReader(body))
				q = q.WithContext(memory.WithConnection(q.Context(), connection))
				q.Host = "h"
				q.Header.Set("Request-Id", "r1")
				q.Header.Set("Authorization", "Token k1")
				w := &discardWriter{header: http.Header{}}
				f.handler.ServeHTTP(w, q)
				if w.bytes == 0 {
					b.Fatal("no answer")
				}
			}
		})
	}
}
