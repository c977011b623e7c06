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

// lineLimit bounds one line of an event stream.
const lineLimit = 1 << 20

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Data is the event's JSON text.
	Data []byte
	// HasContent is true if a choice carries content.
	HasContent bool
	// Finished is true if a choice carries a finish_reason.
	Finished bool
	Usage    *Usage
	// Text is the content of the first choice.
	Text string
	// open and ended are the indexes of choices without and with a finish_reason.
	open, ended []int
}

// UsageOnly is true for the event that carries only the usage.
func (c *Chunk) UsageOnly() bool { return c.Usage != nil && len(c.open)+len(c.ended) == 0 }

// parseChunk reads the fields that are checked from a chunk or a whole answer.
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
			k.Text = c.Delta.Content + text(c.Message.Content)
		}
		k.HasContent = k.HasContent || c.Delta.Content != "" || len(c.Delta.ToolCalls) > 0
		if c.Finish != nil && *c.Finish != "" {
			k.Finished = true
			k.ended = append(k.ended, c.Index)
		} else {
			k.open = append(k.open, c.Index)
		}
	}
	return k, nil
}

// text returns the content of a whole message; one that is no string stays JSON.
func text(raw json.RawMessage) (s string) {
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// stream reads the events of one answer.
type stream struct {
	call     *call
	response *http.Response
	sink     func(c *Chunk) error
	result   ChatResult
	// choices tells for each choice whether its finish_reason has come.
	choices map[int]bool
}

// read passes chunks on until the stream is complete: finish_reason, [DONE]
// and the end of the framing, in this order. Lines are bounded, the whole is
// not, since chunks are not kept here.
func (s *stream) read(ctx context.Context) error {
	kind, _, _ := mime.ParseMediaType(s.response.Header.Get("Content-Type"))
	if kind != "text/event-stream" {
		return s.fail("answer is no event stream", nil)
	}
	lines := bufio.NewReaderSize(s.response.Body, 4<<10)
	for {
		s.call.expect(s.call.owner.limits.TokenTimeout, ErrTokenTimeout)
		data, err := event(lines)
		if errors.Is(err, io.EOF) {
			return s.fail("stream ended before [DONE]", err)
		}
		if err != nil {
			return s.broken(ctx, err)
		}
		if string(data) == "[DONE]" {
			return s.finish(ctx, lines)
		}
		if err := s.pass(data); err != nil {
			return err
		}
	}
}

func (s *stream) pass(data []byte) error {
	k, err := parseChunk(data)
	if err != nil {
		return s.fail("stream holds an invalid or error event", err)
	}
	if k.Usage != nil {
		s.result.Usage, s.result.UsageReported = *k.Usage, true
	}
	if !s.track(k) {
		return s.fail("stream goes on after finish_reason", nil)
	}
	if k.HasContent {
		s.result.ContentChunks++
	}
	if err := s.sink(k); err != nil {
		return &Failure{Outcome: Failed, Reason: "caller no longer takes the answer", Err: err}
	}
	return nil
}

// track notes the choices of a chunk; it returns false if one of them had ended before.
func (s *stream) track(k *Chunk) bool {
	for _, i := range append(append([]int{}, k.open...), k.ended...) {
		if s.choices[i] {
			return false
		}
		s.choices[i] = false
	}
	for _, i := range k.ended {
		s.choices[i] = true
	}
	return true
}

// complete tells whether all choices have their finish_reason.
func (s *stream) complete() bool {
	for _, ended := range s.choices {
		if !ended {
			return false
		}
	}
	return len(s.choices) > 0
}

func (s *stream) finish(ctx context.Context, lines *bufio.Reader) error {
	if !s.complete() {
		return s.fail("stream ended without finish_reason", nil)
	}
	data, err := event(lines)
	switch {
	case err == nil:
		return s.fail("stream goes on after [DONE]: "+string(data[:min(len(data), 40)]), nil)
	case !errors.Is(err, io.EOF):
		return s.broken(ctx, err)
	}
	return nil
}

func (s *stream) fail(reason string, err error) error {
	return &Failure{Outcome: Failed, Reason: reason, Status: s.response.StatusCode, UpstreamFault: true, Err: err}
}

// broken says failed, not unknown: the engine had begun its answer.
func (s *stream) broken(ctx context.Context, err error) error {
	f := s.call.broken(ctx, err)
	f.Outcome, f.Status = Failed, s.response.StatusCode
	return f
}

// event returns the data of the next event. io.EOF means a clean end between events.
func event(lines *bufio.Reader) (data []byte, err error) {
	some := false
	for {
		line, err := readLine(lines)
		if err != nil {
			if errors.Is(err, io.EOF) && some {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if some {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if some {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		some = true
	}
}

// readLine returns one line without its end; a line that breaks off is an error.
func readLine(lines *bufio.Reader) (line []byte, err error) {
	for {
		part, err := lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > lineLimit {
			return nil, errors.New("line exceeds the size limit")
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
