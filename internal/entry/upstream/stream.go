package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes limits the length of one line of an event stream.
	maxLineBytes = 1 << 20
	// maxEventBytes limits the lines of one event together, comments and other fields included.
	maxEventBytes = 2 << 20
)

// Chunk is one event of a streamed response.
type Chunk struct {
	// Data is the event's JSON text.
	Data []byte
	// HasContent is true if a choice has content or tool calls.
	HasContent bool
	// Finished is true if a choice has a finish_reason.
	Finished bool
	Usage    *Usage
	// Text is the content of the first choice.
	Text string
	// openChoices and finishedChoices are the indexes of the choices without and with
	// a finish_reason.
	openChoices, finishedChoices []int
}

// UsageOnly reports whether the chunk has the usage and no choices.
func (c *Chunk) UsageOnly() bool {
	return c.Usage != nil && len(c.openChoices)+len(c.finishedChoices) == 0
}

// parseChunk parses the fields that the entry uses from a chunk or from a response
// that is not streamed.
func parseChunk(data []byte) (k *Chunk, err error) {
	var f struct {
		Error   json.RawMessage `json:"error"`
		Choices []struct {
			Index  int     `json:"index"`
			Finish *string `json:"finish_reason"`
			Delta  struct {
				Content   string            `json:"content"`
				ToolCalls []json.RawMessage `json:"tool_calls"`
			} `json:"delta"`
			Message struct {
				Content json.RawMessage `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	if len(f.Error) > 0 && !bytes.Equal(f.Error, []byte("null")) {
		return nil, errors.New("upstream reported an error")
	}
	k = &Chunk{Data: data, Usage: f.Usage}
	for i, c := range f.Choices {
		if i == 0 {
			k.Text = c.Delta.Content + messageText(c.Message.Content)
		}
		k.HasContent = k.HasContent || c.Delta.Content != "" || len(c.Delta.ToolCalls) > 0
		if c.Finish != nil && *c.Finish != "" {
			k.Finished = true
			k.finishedChoices = append(k.finishedChoices, c.Index)
		} else {
			k.openChoices = append(k.openChoices, c.Index)
		}
	}
	return k, nil
}

// messageText returns the content of a message. Content other than a string is
// returned as JSON.
func messageText(raw json.RawMessage) (s string) {
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// stream reads the events of one streamed response.
type stream struct {
	call     *call
	response *http.Response
	onChunk  func(c *Chunk) error
	result   ChatResult
	// choiceFinished maps the index of each choice to whether its finish_reason was received.
	choiceFinished map[int]bool
}

// read passes chunks to onChunk until the stream is complete, that is, until it
// received finish_reason, [DONE] and the end of the response body, in this order.
// Only the length of a line is limited, not that of the response, since chunks are
// not stored here.
func (s *stream) read(ctx context.Context) error {
	mediaType, _, _ := mime.ParseMediaType(s.response.Header.Get("Content-Type"))
	if mediaType != "text/event-stream" {
		return s.failure("answer is no event stream", nil)
	}
	lines := bufio.NewReaderSize(s.response.Body, 4<<10)
	for {
		s.call.setDeadline(s.call.client.limits.EventGapTimeout, ErrEventGapTimeout)
		data, err := readEvent(lines)
		if errors.Is(err, io.EOF) {
			return s.failure("stream ended before [DONE]", err)
		}
		if err != nil {
			return s.connectionFailure(ctx, err)
		}
		if string(data) == "[DONE]" {
			return s.readEnd(ctx, lines)
		}
		if err := s.handleEvent(data); err != nil {
			return err
		}
	}
}

// handleEvent parses and checks one event and passes it to onChunk.
func (s *stream) handleEvent(data []byte) error {
	k, err := parseChunk(data)
	if err != nil {
		return s.failure("stream holds an invalid or error event", err)
	}
	if k.Usage != nil {
		s.result.Usage, s.result.UsageReported = *k.Usage, true
	}
	if !s.recordChoices(k) {
		return s.failure("stream goes on after finish_reason", nil)
	}
	if k.HasContent {
		s.result.ContentChunks++
	}
	if err := s.onChunk(k); err != nil {
		return &Failure{Outcome: Failed, Reason: "caller no longer takes the answer", Err: err}
	}
	return nil
}

// recordChoices records the choices of a chunk. It returns false if one of them had
// finished in an earlier chunk.
func (s *stream) recordChoices(k *Chunk) bool {
	for _, i := range append(append([]int{}, k.openChoices...), k.finishedChoices...) {
		if s.choiceFinished[i] {
			return false
		}
		s.choiceFinished[i] = false
	}
	for _, i := range k.finishedChoices {
		s.choiceFinished[i] = true
	}
	return true
}

// allChoicesFinished reports whether the finish_reason of every choice was received.
func (s *stream) allChoicesFinished() bool {
	for _, finished := range s.choiceFinished {
		if !finished {
			return false
		}
	}
	return len(s.choiceFinished) > 0
}

// readEnd checks, after [DONE], that all choices are finished and nothing follows.
func (s *stream) readEnd(ctx context.Context, lines *bufio.Reader) error {
	if !s.allChoicesFinished() {
		return s.failure("stream ended without finish_reason", nil)
	}
	data, err := readEvent(lines)
	switch {
	case err == nil:
		return s.failure("stream goes on after [DONE]: "+string(data[:min(len(data), 40)]), nil)
	case !errors.Is(err, io.EOF):
		return s.connectionFailure(ctx, err)
	}
	return nil
}

// failure returns a Failure that counts against the upstream.
func (s *stream) failure(reason string, err error) error {
	return &Failure{Outcome: Failed, Reason: reason, Status: s.response.StatusCode, UpstreamFault: true, Err: err}
}

// connectionFailure converts a read error. The outcome is Failed, not Unknown,
// because the engine had started its response.
func (s *stream) connectionFailure(ctx context.Context, err error) error {
	f := s.call.transportFailure(ctx, err)
	f.Outcome, f.Status = Failed, s.response.StatusCode
	return f
}

// readEvent returns the data of the next event. It returns io.EOF if the stream
// ends between two events.
func readEvent(lines *bufio.Reader) (data []byte, err error) {
	hasData := false
	size := 0
	for {
		line, err := readLine(lines)
		if size += len(line) + 1; size > maxEventBytes {
			return nil, errors.New("event of the stream exceeds the size limit")
		}
		if err != nil {
			if errors.Is(err, io.EOF) && hasData {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		hasData = true
	}
}

// readLine returns one line without its line ending. A line without an ending is an error.
func readLine(lines *bufio.Reader) (line []byte, err error) {
	for {
		part, err := lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errors.New("line of the event stream exceeds the size limit")
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
