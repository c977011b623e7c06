package caller

import (
	"strconv"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// framings are the header lines and the end of a streamed response by its framing.
var framings = []struct {
	name   string
	encode func(body string) string
}{
	{"length", func(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body }},
	{"chunked", func(body string) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n" + lastChunk
	}},
	{"close", func(body string) string { return "\r\n" + body }},
}

// Guards against a stream that ends inside an event and is passed on as complete: it must be
// resumed, or else be seen to break off. The end of the body does not show it, whatever the framing.
func TestStreamEndsInsideEvent(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nConfidence: 99\r\n"
	for _, c := range []struct {
		name        string
		contentType string
		first       string // body of the first response; the second one has the event with id 2
		resumed     bool
		body        string
	}{
		{"in a field name", "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", true, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"before the blank line", "text/event-stream; charset=utf-8", "id: 1\ndata: a\n\nid: 2\ndata: b\n", true, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"before the last line feed", "text/event-stream", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r", true, "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"},
		{"no content type", "", "id: 1\ndata: a\n\nid: 2\nda", true, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"another content type", "text/plain", "id: 1\ndata: a\n\nid: 2\nda", false, "id: 1\ndata: a\n\nid: 2\nda"},
		{"between events", "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"between events with CRLF", "text/event-stream", "id: 1\r\ndata: a\r\n\r\n", false, "id: 1\r\ndata: a\r\n\r\n"},
		{"in a comment", "text/event-stream", "id: 1\ndata: a\n\n: keep-alive\n", false, "id: 1\ndata: a\n\n: keep-alive\n"},
		{"no event stream", "application/json", "{\n\n}", false, "{\n\n}"},
	} {
		for _, framing := range framings {
			if c.contentType == "" && framing.name == "length" {
				continue // not known to be a stream
			}
			t.Run(c.name+"/"+framing.name, func(t *testing.T) {
				head := header
				if c.contentType != "" {
					head += "Content-Type: " + c.contentType + "\r\n"
				}
				handle := func(e *upstreamtest.Exchange) bool {
					if e.Request.Header.Get("Last-Event-Id") == "1" {
						writeEvents(e, "Confidence: 99\r\nContent-Type: text/event-stream\r\n", "id: 2\ndata: b\n\n")
						e.Write(lastChunk)
						return true
					}
					e.Write(head + framing.encode(c.first))
					return false
				}
				a, b := startUpstream(t, handle), startUpstream(t, handle)
				f := newFixture(t, nil, []*upstreamtest.Server{a, b})
				r := f.do("POST", "/draft/1", "body", "Model", "*")
				f.NoErr(r.err)
				f.Equal(r.body, c.body)
				f.Equal(len(a.Requests())+len(b.Requests()) == 2, c.resumed)

				f = newFixture(t, nil, []*upstreamtest.Server{startUpstream(t, handle)})
				r = f.do("POST", "/draft/1", "body", "Model", "*")
				f.Equal(r.err != nil, c.resumed)
			})
		}
	}
}

// Guards against a stream that has begun, broke off and goes on with what is no part of it: the error of
// the next upstream, its head, or events that the caller has. The caller must see the stream break off.
func TestErrorAfterStreamBegan(t *testing.T) {
	const (
		identity = "Request-Id: r1\r\nSignature: t\r\n"
		boom     = `{"error":"boom"}`
		begun    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	)
	var cases []struct{ name, response string }
	add := func(name, response string) { cases = append(cases, struct{ name, response string }{name, response}) }
	for _, framing := range framings {
		for _, status := range []string{"500 Internal Server Error", "503 Service Unavailable", "404 Not Found", "429 Too Many Requests"} {
			add(status+"/"+framing.name, "HTTP/1.1 "+status+"\r\n"+identity+"Content-Type: application/json\r\n"+framing.encode(boom))
		}
		for _, header := range []string{"Content-Type: application/json\r\n", "Content-Type: text/plain\r\n", "Content-Type: text/event-stream\r\n", ""} {
			add("200 with an error, "+header+framing.name, "HTTP/1.1 200 OK\r\n"+identity+header+framing.encode(boom))
			add("200 with an error and a blank line, "+header+framing.name, "HTTP/1.1 200 OK\r\n"+identity+header+framing.encode(boom+"\n\n"))
		}
		add("head within the stream/"+framing.name, "HTTP/1.1 200 OK\r\n"+identity+"Content-Type: text/event-stream\r\n"+
			framing.encode("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nboom"))
		add("events from the start/"+framing.name, "HTTP/1.1 200 OK\r\n"+identity+"Content-Type: text/event-stream\r\n"+framing.encode(begun))
	}
	add("refused", "HTTP/1.1 503 Service Unavailable\r\n"+identity+"Refused: 1\r\nRetry-After: 9\r\nContent-Length: 16\r\n\r\n"+boom)
	add("another upstream", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	add("no response", "HTTP/1.1 500\r\n\r\n")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handle := func(e *upstreamtest.Exchange) bool {
				if e.Request.Header.Get("Last-Event-Id") != "" {
					e.Write(c.response)
					return false
				}
				writeEvents(e, "Confidence: 99\r\nContent-Type: text/event-stream\r\n", begun)
				time.Sleep(20 * time.Millisecond) // a reset may overtake the events
				e.Reset()
				return false
			}
			f := newFixture(t, nil, []*upstreamtest.Server{startUpstream(t, handle), startUpstream(t, handle)})
			r := f.do("POST", "/draft/1", "body", "Model", "*")
			f.True(r.err != nil)
			f.Equal(r.status, 200)
			f.Equal(r.body, begun)
		})
	}
}
