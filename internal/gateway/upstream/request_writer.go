package upstream

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"strconv"
)

// maxHeadBytes is enough for the head of most requests.
const maxHeadBytes = 1 << 10

// writeRequest sends the request, in the background if it is long.
func (r *Response) writeRequest(q *Request) error {
	size := q.bodySize()
	var head bytes.Buffer
	encodeHead(&head, q, size)
	if head.Len()+size <= maxInlineBytes {
		for _, part := range q.Body {
			head.Write(part)
		}
		_, err := r.conn.Write(head.Bytes())
		return err
	}
	// Writing consumes the list, and the parts are needed again if the request goes to another upstream.
	message := append(net.Buffers{head.Bytes()}, q.Body...)
	w := &requestWriter{conn: r.conn.Conn, message: message, done: make(chan error, 1)}
	r.sendResult = w.done
	go w.run()
	return nil
}

// requestWriter sends a long request in the background.
type requestWriter struct {
	conn    net.Conn
	message net.Buffers
	done    chan error
}

func (w *requestWriter) run() {
	_, err := w.message.WriteTo(w.conn)
	w.done <- err
}

// bodySize returns the number of bytes of the body.
func (q *Request) bodySize() (n int) {
	for _, part := range q.Body {
		n += len(part)
	}
	return n
}

// encodeHead writes the head of a request with a body of the given size. The header fields are sorted by
// name. There is room for a short body.
func encodeHead(b *bytes.Buffer, q *Request, size int) {
	if size > maxInlineBytes {
		b.Grow(maxHeadBytes)
	} else {
		b.Grow(maxHeadBytes + size)
	}
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	names := make([]string, 0, len(q.Header))
	for name := range q.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range q.Header[name] {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if size > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
}
