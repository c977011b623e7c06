package upstream

import (
	"bytes"
	"io"
	"iter"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 512 << 10

// initialBufferBytes is the size of a new buffer, which is doubled for longer events.
const initialBufferBytes = 2 << 10

// ErrPartialEvent means that a stream ended inside an event.
var ErrPartialEvent = errors.New("stream ended inside an event")

// ErrNoEvent means that a stream holds bytes that are no event, such as an error response.
var ErrNoEvent = errors.New("stream holds bytes that are no event")

// EventReader reads server-sent events from a stream. It returns complete events only, so
// that a truncated one is never passed on.
type EventReader struct {
	source io.Reader
	// verify requires the source to hold events only and to end between two of them.
	verify bool
	// reserve, if set, accounts for the memory of a larger buffer.
	reserve func(n int) error
	buffer  []byte
	// start and end are the bounds of the bytes that were read and not returned yet, and searched is the end
	// of those that hold no complete event.
	start, end, searched int
}

// NewEventReader returns a reader of the events of source.
func NewEventReader(source io.Reader) *EventReader {
	e := &EventReader{source: source, verify: true, buffer: make([]byte, initialBufferBytes)}
	if r, ok := source.(*Response); ok {
		e.reserve, e.verify = r.reserve, r.IsEventStream()
	}
	return e
}

// Next returns the complete events that have arrived, at least one, and the last id among
// them, or -1. At the end of the source it returns io.EOF and the remaining bytes as they
// are, which are comments or the end of a body that is not a sequence of events. It fails with
// ErrPartialEvent if the source ends inside an event, and with ErrNoEvent if it holds anything else.
// The bytes are valid until the next call.
func (e *EventReader) Next() (events []byte, id int64, err error) {
	for {
		// A blank line may have begun before the new bytes.
		from := max(e.start, e.searched-maxBlankLine+1)
		if n := completeEvents(e.buffer[from:e.end]); n > 0 {
			events = e.buffer[e.start : from+n]
			e.start, e.searched = from+n, from+n
			if e.verify && !onlyEvents(events) {
				return nil, 0, ErrNoEvent
			}
			return events, lastID(events), nil
		}
		e.searched = e.end
		if err := e.ensureSpace(); err != nil {
			return nil, 0, err
		}
		n, err := e.source.Read(e.buffer[e.end:])
		e.end += n
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			remaining := e.buffer[e.start:e.end]
			e.start = e.end
			if e.verify && hasField(remaining) {
				return nil, 0, ErrPartialEvent
			}
			return remaining, lastID(remaining), io.EOF
		}
		if err != nil {
			return nil, 0, err
		}
	}
}

// ensureSpace makes room in the buffer for the next read.
func (e *EventReader) ensureSpace() error {
	if e.start > 0 {
		copy(e.buffer, e.buffer[e.start:e.end])
		e.start, e.end, e.searched = 0, e.end-e.start, e.searched-e.start
	}
	if e.end < len(e.buffer) {
		return nil
	}
	if len(e.buffer) >= maxEventBytes {
		return errors.Newf("event exceeds %d bytes", maxEventBytes)
	}
	if e.reserve != nil && len(e.buffer) >= blockBytes {
		if err := e.reserve(len(e.buffer)); err != nil {
			return err
		}
	}
	e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
	return nil
}

// blankLines are the line endings before and of the blank line that ends an event.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxBlankLine is the length of the longest of blankLines.
const maxBlankLine = 3

// completeEvents returns the length of the complete events at the begin of a stream.
func completeEvents(stream []byte) (n int) {
	// Most reads end with an event, and most streams use line feeds only.
	if bytes.HasSuffix(stream, blankLines[0]) {
		return len(stream)
	}
	for _, b := range blankLines {
		if at := bytes.LastIndex(stream, b); at >= 0 {
			n = max(n, at+len(b))
		}
	}
	return n
}

// linesOf iterates over the lines that are not empty.
func linesOf(text []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(text, func(r rune) bool { return r == '\n' || r == '\r' })
}

// hasField reports whether an event that is not complete has a field or a part of one.
// Comments and blank lines belong to no event.
func hasField(event []byte) bool {
	for line := range linesOf(event) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// fields are the fields of events. Lines with other names are ignored by receivers.
var fields = [][]byte{[]byte("data"), []byte("id"), []byte("event"), []byte("retry")}

// onlyEvents reports whether each of the complete events has a field or a comment.
func onlyEvents(events []byte) bool {
	started, known := false, false
	for len(events) > 0 {
		end := bytes.IndexAny(events, "\r\n")
		if end < 0 {
			end = len(events)
		}
		line := events[:end]
		events = events[min(end+len(lineEnd(events[end:])), len(events)):]
		if len(line) > 0 {
			started, known = true, known || isFieldOrComment(line)
			continue
		}
		if started && !known {
			return false
		}
		started, known = false, false
	}
	return !started || known
}

// lineEnd returns the line ending at the begin of a text.
func lineEnd(text []byte) []byte {
	if bytes.HasPrefix(text, []byte("\r\n")) {
		return text[:2]
	}
	return text[:min(1, len(text))]
}

// isFieldOrComment reports whether a line of a stream is a comment or a field of an event.
func isFieldOrComment(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return len(name) == 0 || slices.ContainsFunc(fields, func(f []byte) bool { return bytes.Equal(f, name) })
}

// FirstID returns the first event id among complete events, or -1.
func FirstID(events []byte) int64 {
	for line := range linesOf(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				return id
			}
		}
	}
	return -1
}

// lastID returns the last event id, or -1.
func lastID(events []byte) int64 {
	for at := len(events); at > 0; {
		begin := bytes.LastIndex(events[:at], []byte("id:"))
		if begin < 0 {
			return -1
		}
		if begin == 0 || events[begin-1] == '\n' || events[begin-1] == '\r' {
			line := events[begin+3:]
			if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
				line = line[:end]
			}
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64); err == nil {
				return id
			}
		}
		at = begin
	}
	return -1
}
