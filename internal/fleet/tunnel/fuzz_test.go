package tunnel

import (
	"bytes"
	"testing"
)

// Guards against a response whose head is read otherwise, or not at all, when it comes in parts, and
// against one that takes memory without end.
func FuzzResponseHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 503 x\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\nok"), 5)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 x\r\n\r\n"), 1)
	f.Add([]byte("hello\r\n\r\n"), 3)
	f.Add(bytes.Repeat([]byte("x"), maxHeadBytes+2), 100)
	f.Fuzz(func(t *testing.T, response []byte, part int) {
		whole := (&responseHead{}).add(response)
		if part < 1 {
			t.Skip()
		}
		h := &responseHead{}
		for rest := response; len(rest) > 0; {
			n := min(part, len(rest))
			r := h.add(rest[:n])
			rest = rest[n:]
			if len(h.buffer) > maxHeadBytes+part {
				t.Fatalf("%d bytes are kept", len(h.buffer))
			}
			if r == nil {
				continue
			}
			if whole == nil || r.StatusCode != whole.StatusCode || r.Header.Get("Retry-After") != whole.Header.Get("Retry-After") {
				t.Fatalf("in parts %v, whole %v", r, whole)
			}
			return
		}
		if whole != nil && len(response) <= maxHeadBytes {
			t.Fatalf("in parts nothing, whole %v", whole)
		}
	})
}

// Guards against a request of a tunnel that ends the process.
func FuzzRequest(f *testing.F) {
	f.Add([]byte{0, 3, 10, 1, 116})
	f.Add([]byte{255, 255})
	f.Fuzz(func(t *testing.T, message []byte) {
		if q, err := readRequest(bytes.NewReader(message)); err == nil && q == nil {
			t.Fatal("neither a request nor an error")
		}
	})
}
