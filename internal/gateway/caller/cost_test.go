package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
)

// discard is a caller that reads everything at once.
type discard struct {
	header http.Header
	bytes  int
}

func (d *discard) Header() http.Header { return d.header }
func (d *discard) WriteHeader(int)     {}
func (d *discard) Flush()              {}
func (d *discard) Write(b []byte) (int, error) {
	d.bytes += len(b)
	return len(b), nil
}

// BenchmarkRequest measures a request from the parsed head to the last byte of its
// answer, together with the stand-in of the upstream, with the log off and on. The
// difference of two lengths of streams is the cost of their events; the stand-in itself
// allocates four times an event.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		path   string
		events int
		log    bool
	}{
		{"plain, log off", "/look/1", 0, false},
		{"plain, log on", "/look/1", 0, true},
		{"stream of 10, log off", "/draft/1", 10, false},
		{"stream of 10, log on", "/draft/1", 10, true},
		{"stream of 110, log off", "/draft/1", 110, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			u := serve(b, func(e *upstreamtest.Exchange) bool {
				if c.events == 0 {
					return signed(e, "ok")
				}
				events(e, "Content-Type: text/event-stream\r\n")
				for n := range c.events {
					line := "id: " + strconv.Itoa(n) + "\ndata: some text of an event\n\n"
					e.Write(strconv.FormatInt(int64(len(line)), 16) + "\r\n" + line + "\r\n")
				}
				e.Write(last)
				return true
			})
			f := newFixture(b, []*upstreamtest.Server{u}, []*upstreamtest.Server{u})
			if c.log {
				lines := logging.NewBoundedWriter(io.Discard)
				log, _, err := logging.New(lines, "info")
				f.NoErr(err)
				f.handler.Log = log
				b.Cleanup(func() { _ = lines.Close() })
			} else {
				f.handler.Log = zap.NewNop()
			}
			b.ReportAllocs()
			for b.Loop() {
				q := httptest.NewRequest("GET", c.path, strings.NewReader(""))
				q.Host = "h"
				q.Header.Set("Request-Id", "r1")
				q.Header.Set("Authorization", "Token k1")
				w := &discard{header: http.Header{}}
				f.handler.ServeHTTP(w, q)
				if w.bytes == 0 {
					b.Fatal("no answer")
				}
			}
		})
	}
}
