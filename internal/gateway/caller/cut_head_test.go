package caller

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// cutHeads are the heads of responses, in which $ stands for the id of the request. No body follows, so that a cut
// head that counts as whole is seen as a short body.
var cutHeads = []struct{ name, head string }{
	{"length", "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nSignature: s\r\nConfidence: 99\r\nContent-Length: 0\r\n\r\n"},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: $\r\nSignature: s\r\nConfidence: 99\r\n\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nSignature: s\r\nConfidence: 99\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"close", "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nSignature: s\r\nConfidence: 99\r\nContent-Type: text/plain\r\n\r\n"},
	{"bare line feeds", "HTTP/1.1 200 OK\nRequest-Id: $\nSignature: s\nConfidence: 99\nContent-Length: 0\n\n"},
	{"version 1.0", "HTTP/1.0 200 OK\r\nRequest-Id: $\r\nSignature: s\r\nConfidence: 99\r\n\r\n"},
	{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: $\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
}

// cutHead is an upstream that stops in the middle of the head of its response and closes the connection.
type cutHead struct {
	mu     sync.Mutex
	head   string
	cut    int  // bytes that are missing
	pause  bool // between two pieces of the head
	whole  bool // responds as a sound upstream
	events bool // sends an event first, if the request does not resume a stream
}

func (u *cutHead) handle(e *upstreamtest.Exchange) bool {
	u.mu.Lock()
	head, cut, pause, whole, events := u.head, u.cut, u.pause, u.whole, u.events
	u.mu.Unlock()
	switch {
	case whole:
		return respondSigned(e, "ok")
	case events && e.Request.Header.Get("Last-Event-Id") == "":
		writeEvents(e, "Confidence: 99\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	text := strings.ReplaceAll(head, "$", e.Request.Header.Get("Request-Id"))
	text = text[:len(text)-cut]
	if pause {
		e.Write(text[:len(text)/2])
		time.Sleep(5 * time.Millisecond)
		text = text[len(text)/2:]
	}
	e.Write(text)
	return false
}

// set changes the upstream.
func (u *cutHead) set(change func(u *cutHead)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// Guards against a head that is cut and passed on as the whole head of a response with an empty or short body.
func TestCutHead(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		step    int  // between two cuts
		detour  bool // through another instance
		kept    bool // on a connection that has carried a request
		prepare func(u *cutHead)
	}{
		{"direct", "/book/1", 1, false, false, func(*cutHead) {}},
		{"may be repeated", "/look/1", 2, false, false, func(*cutHead) {}},
		{"in two pieces", "/book/1", 3, false, false, func(u *cutHead) { u.pause = true }},
		{"kept connection", "/look/1", 3, false, true, func(*cutHead) {}},
		{"through another instance", "/book/1", 3, true, false, func(*cutHead) {}},
		{"through another instance, in two pieces", "/book/1", 5, true, false, func(u *cutHead) { u.pause = true }},
		{"stream", "/draft/1", 3, false, false, func(*cutHead) {}},
		{"resumed stream", "/draft/1", 3, false, false, func(u *cutHead) { u.events = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := &cutHead{}
			c.prepare(u)
			server := startUpstream(t, u.handle)
			list := []*upstreamtest.Server{server}
			f := newFixture(t, list, list)
			if c.detour {
				helper := newFixture(t, list, list)
				direct := []*upstreamtest.Server{upstreamtest.At(partitionedAddress(t, "refused"))}
				f = newFixture(t, direct, direct)
				linkThrough(t, f, helper, upstream.Dialer{}.Dial)
			}
			sent := 0
			for _, shape := range cutHeads {
				for cut := 1; cut < len(shape.head); cut += c.step {
					sent++
					id := "r" + strconv.Itoa(sent)
					if c.kept {
						u.set(func(u *cutHead) { u.whole = true })
						f.Equal(f.do("GET", "/look/0", "", "Request-Id", "w"+id).status, 200)
						u.set(func(u *cutHead) { u.whole = false })
					}
					u.set(func(u *cutHead) { u.head, u.cut = shape.head, cut })
					// Each request is of its own, so that none is quarantined because of the others.
					r := f.do("POST", c.path, id, "Request-Id", id, "Model", "*")
					if r.err == nil && r.status < 500 {
						t.Fatalf("%s, %d bytes missing: status %d with %q", shape.name, cut, r.status, r.body)
					}
				}
			}
			f.True(len(server.Requests()) >= sent)
		})
	}
}
