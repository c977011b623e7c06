package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// partReader returns a text in parts.
type partReader struct {
	text string
	part int
}

func (p *partReader) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.part, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// Guards against events that are lost, changed or passed on in part, and against other bytes between them,
// however the stream is split.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", 3)
	f.Add("id: 1\rdata: a\r\rHTTP/1.1 500 x\r\n\r\n", 1)
	f.Add(": comment\n\n{\"error\":1}\n\n", 7)
	f.Add("id: 1\ndata: a\n\nid: 2\nda", 100)
	f.Fuzz(func(t *testing.T, stream string, part int) {
		if part < 1 {
			t.Skip()
		}
		e := NewEventReader(&partReader{stream, part})
		passed := ""
		for {
			b, _, err := e.Next()
			if err == nil && len(b) == 0 {
				t.Fatal("no event and no end")
			}
			if err == nil && !onlyEvents(b) {
				t.Fatalf("%q is passed on", b)
			}
			passed += string(b)
			if err == nil {
				continue
			}
			if len(passed) > len(stream) || stream[:len(passed)] != passed {
				t.Fatalf("%q becomes %q", stream, passed)
			}
			if errors.Is(err, io.EOF) && passed != stream {
				t.Fatalf("%q ends after %q", stream, passed)
			}
			return
		}
	})
}

// Guards against a response with a status that none may have, and against bytes behind such a head that are
// read as the next response.
func FuzzReadHead(f *testing.F) {
	for _, status := range []string{"000", "099", "99", "-01", "+10", "100", "101", "102", "103", "199", "200", "304", "599", "600", "999", "1000"} {
		f.Add("HTTP/1.1 " + status + " x\r\nContent-Length: 3\r\n\r\n" + response("a", "good"))
		f.Add("HTTP/1.1 100\r\n\r\nHTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n" + response("a", "good"))
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReader(&partReader{text, len(text)})
		r, err := readHead(reader, http.MethodPost)
		if err != nil {
			return
		}
		if r.StatusCode < 200 || r.StatusCode > 599 {
			t.Fatalf("%q has status %d", text, r.StatusCode)
		}
		line, _, _ := strings.Cut(text, "\n")
		_, status, _ := strings.Cut(line, " ")
		status = strings.TrimLeft(status, " ")
		interim := strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
		if !interim && !strings.HasPrefix(status, strconv.Itoa(r.StatusCode)) {
			t.Fatalf("%q is read as status %d", text, r.StatusCode)
		}
	})
}
