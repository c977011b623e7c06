package httpserver

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

const (
	// freeHeaderBytes of what a header takes do not count: most take less, and the bound on connections bounds them.
	freeHeaderBytes = 8 << 10
	// headerCopies is how often the bytes of a header line are held: as they are read, and in its value.
	headerCopies = 2
	// lineBytes is what a line takes besides its bytes: an entry with its list of values in the map of net/http, one
	// in the map for the upstream, and room for the growth of both.
	lineBytes = 256
	// readBufferBytes is the size of the buffer that net/http reads into.
	readBufferBytes = 4 << 10
)

// errHeaderTooLong means that a header exceeds the limit.
var errHeaderTooLong = errors.New("header is too long")

// headerSize is the size of a header, or of a part of it.
type headerSize struct{ bytes, lines int }

// add adds bytes that belong to a header.
func (s *headerSize) add(b []byte) {
	s.bytes += len(b)
	s.lines += bytes.Count(b, []byte{'\n'})
}

// memory returns what a header takes once it is parsed.
func (s headerSize) memory() memory.Bytes {
	return memory.Bytes(headerCopies*s.bytes + lineBytes*s.lines)
}

// headerReader finds the end of the header of each request in what is read from a connection, and measures what has
// arrived of it.
type headerReader struct {
	size     headerSize
	complete bool // the empty line was read
	lineUsed bool // the current line has bytes other than a carriage return
	anyLine  bool // a line with such bytes was read
	// following is an upper bound of what has arrived after the header and is still in the buffer of net/http: a part of
	// the body, or of the next request.
	following headerSize
}

// read measures bytes that were read.
func (h *headerReader) read(b []byte) {
	if h.complete {
		h.readFollowing(b)
		return
	}
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			h.size.add(b)
			h.lineUsed = h.lineUsed || !isEmptyLine(b)
			return
		}
		empty := !h.lineUsed && isEmptyLine(b[:end])
		h.size.add(b[:end+1])
		b = b[end+1:]
		h.lineUsed = false
		if empty && h.anyLine {
			h.complete = true
			h.readFollowing(b)
			return
		}
		h.anyLine = h.anyLine || !empty
	}
}

// readFollowing measures bytes after the header.
func (h *headerReader) readFollowing(b []byte) {
	if len(b) >= readBufferBytes {
		b, h.following = b[len(b)-readBufferBytes:], headerSize{}
	}
	h.following.add(b)
	h.following.bytes, h.following.lines = min(h.following.bytes, readBufferBytes), min(h.following.lines, readBufferBytes)
}

// next begins the header of the next request. What followed the last header may be a part of it.
func (h *headerReader) next() { *h = headerReader{size: h.following, following: h.following} }

// emptyBuffer records that net/http has read all that was read from the connection.
func (h *headerReader) emptyBuffer() { h.size, h.following = headerSize{}, headerSize{} }

// isEmptyLine reports whether bytes of a line are none but a carriage return.
func isEmptyLine(b []byte) bool { return len(b) == 0 || (len(b) == 1 && b[0] == '\r') }
