package upstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// EventReader reads the events of a stream one whole event at a time, so that a torn one
// is never passed on.
type EventReader struct {
	source io.Reader
	buffer []byte
	// start and end bound what was read and not returned yet.
	start, end int
}

// NewEventReader returns the events of a source.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{source: source, buffer: make([]byte, 2<<10)}
}

// Next returns the whole events that have arrived, at least one, and the id of the
// last of them that has one. At the end of the source it returns io.EOF; what is
// left then is returned as it is, since it may be the end of a body that is not a
// sequence of events. The bytes are valid until the next call.
func (e *EventReader) Next() (events []byte, last int64, err error) {
	for {
		if at := bytes.LastIndex(e.buffer[e.start:e.end], []byte("\n\n")); at >= 0 {
			events = e.buffer[e.start : e.start+at+2]
			e.start += at + 2
			return events, lastID(events), nil
		}
		if err := e.room(); err != nil {
			return nil, 0, err
		}
		n, err := e.source.Read(e.buffer[e.end:])
		e.end += n
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			rest := e.buffer[e.start:e.end]
			e.start = e.end
			return rest, lastID(rest), io.EOF
		}
		if err != nil {
			return nil, 0, err
		}
	}
}

func (e *EventReader) room() error {
	if e.start > 0 {
		copy(e.buffer, e.buffer[e.start:e.end])
		e.start, e.end = 0, e.end-e.start
	}
	if e.end < len(e.buffer) {
		return nil
	}
	if len(e.buffer) >= maxEvent {
		return errors.Newf("event exceeds %d bytes", maxEvent)
	}
	e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
	return nil
}

// lastID returns the id of the last event that has one, or -1.
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
