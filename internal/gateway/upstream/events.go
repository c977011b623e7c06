package upstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 512 << 10

// initialBufferBytes is the size of a new buffer, which is doubled for longer events.
const initialBufferBytes = 2 << 10

// EventReader reads server-sent events from a stream. It returns complete events only, so
// that a truncated one is never passed on.
type EventReader struct {
	source io.Reader
	// reserve, if set, accounts for the memory of a larger buffer.
	reserve func(n int) error
	buffer  []byte
	// start and end are the bounds of the bytes that were read and not returned yet.
	start, end int
}

// NewEventReader returns a reader of the events of source.
func NewEventReader(source io.Reader) *EventReader {
	e := &EventReader{source: source, buffer: make([]byte, initialBufferBytes)}
	if r, ok := source.(*Response); ok {
		e.reserve = r.reserve
	}
	return e
}

// Next returns the complete events that have arrived, at least one, and the last id among
// them, or -1. At the end of the source it returns io.EOF and the remaining bytes as they
// are, since they may be the end of a body that is not a sequence of events. The bytes are
// valid until the next call.
func (e *EventReader) Next() (events []byte, id int64, err error) {
	for {
		if at := bytes.LastIndex(e.buffer[e.start:e.end], []byte("\n\n")); at >= 0 {
			events = e.buffer[e.start : e.start+at+2]
			e.start += at + 2
			return events, lastID(events), nil
		}
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
		e.start, e.end = 0, e.end-e.start
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

// lastID returns the last event id, or -1.
func lastID(events []byte) int64 {
	for at := len(events); at > 0; {
		begin := bytes.LastIndex(events[:at], []byte("id:"))
		if begin < 0 {
			return -1
		}
		if begin == 0 || events[begin-1] == '\n' {
			line, _, _ := bytes.Cut(events[begin+3:], []byte("\n"))
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64); err == nil {
				return id
			}
		}
		at = begin
	}
	return -1
}
