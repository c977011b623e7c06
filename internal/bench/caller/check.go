package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/bench/plain"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// failure is the error body of the router.
type failure struct {
	Error *struct {
		Message string  `json:"message"`
		Code    string  `json:"code"`
		Outcome Outcome `json:"outcome"`
		Retry   int     `json:"retry"`
	} `json:"error"`
}

// refused fills the record from an error body; it returns false if there is none.
func refused(r *Record, status int, body []byte) bool {
	var f failure
	if json.Unmarshal(body, &f) != nil || f.Error == nil {
		return false
	}
	o := f.Error.Outcome
	if o != NotRun && o != Failed && o != Unknown {
		o = Unknown
	}
	r.note(r.worse(o), status, f.Error.Code+": "+f.Error.Message)
	r.retry = time.Duration(f.Error.Retry) * time.Millisecond
	return true
}

// entire reads the whole body; it returns false and fills the record if the
// answer is an error or incomplete.
func entire(r *Record, response *http.Response) (body []byte, ok bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		r.broke(response.StatusCode, err)
		return nil, false
	}
	if response.StatusCode/100 != 2 {
		if !refused(r, response.StatusCode, body) {
			r.note(Unknown, response.StatusCode, fmt.Sprintf("no error body: %.200q", body))
		}
		if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && r.retry == 0 {
			r.retry = time.Duration(s) * time.Second
		}
		return nil, false
	}
	return body, true
}

// echoed checks the identity of the answer.
func echoed(r *Record, response *http.Response) bool {
	if got := response.Header.Get("X-Request-Id"); got != r.RequestID {
		r.note(Invalid, response.StatusCode, "answer carries request id "+got)
		return false
	}
	return true
}

// chat is the exchange of a chat completion.
type chat struct {
	body engine.Request
}

func (c *chat) request(ctx context.Context, address string) (*http.Request, error) {
	text, err := json.Marshal(c.body)
	if err != nil {
		return nil, err
	}
	return build(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", text)
}

// build makes a request that net/http cannot send again by itself, so that
// every attempt is one that the history counts.
func build(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if len(body) == 0 && method != http.MethodGet {
		// net/http also sends a request without a body again if it has an Idempotency-Key.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(nil)), -1
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (c *chat) check(r *Record, response *http.Response, now func() timer.Instant) {
	r.Model = response.Header.Get("Wisteriakeel-Model")
	if c.body.Stream && response.StatusCode == http.StatusOK {
		if echoed(r, response) {
			c.stream(r, response.Body, now)
		}
		return
	}
	body, ok := entire(r, response)
	if !ok || !echoed(r, response) {
		return
	}
	var answer engine.Completion
	if err := json.Unmarshal(body, &answer); err != nil {
		r.note(Invalid, response.StatusCode, err.Error())
		return
	}
	if len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		r.note(Invalid, response.StatusCode, "answer without a choice")
		return
	}
	c.compare(r, answer.Choices[0].Message.Content, answer.Choices[0].FinishReason, answer.Usage)
}

// compare checks the content against what every engine answers to this request.
func (c *chat) compare(r *Record, text string, finish *string, usage *engine.Usage) {
	words, reason := engine.AnswerWords(c.body.Messages, c.body.MaxTokens)
	switch {
	case text != strings.Join(words, ""):
		r.note(Invalid, http.StatusOK, fmt.Sprintf("answer is %q, expected %q", text, strings.Join(words, "")))
	case finish == nil || *finish != reason:
		r.note(Invalid, http.StatusOK, "wrong or missing finish reason")
	case usage == nil || usage.CompletionTokens != len(words):
		r.note(Invalid, http.StatusOK, "wrong or missing usage")
	default:
		r.Usage = *usage
		r.note(Answered, http.StatusOK, "")
	}
}

// events collects a streamed answer.
type events struct {
	text   strings.Builder
	finish *string
	usage  *engine.Usage
	last   timer.Instant
}

func (c *chat) stream(r *Record, body io.Reader, now func() timer.Instant) {
	var e events
	r.FirstContent, r.gaps = 0, nil
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			c.compare(r, e.text.String(), e.finish, e.usage)
			return
		}
		if refused(r, http.StatusOK, []byte(data)) {
			return
		}
		if err := e.add(r, []byte(data), now); err != nil {
			r.note(Invalid, http.StatusOK, err.Error())
			return
		}
	}
	if err := lines.Err(); err != nil {
		r.broke(http.StatusOK, err)
		return
	}
	// A proper end of the body without an end mark or an error event hides a cut.
	r.note(Invalid, http.StatusOK, "stream ended without [DONE] or an error event")
}

func (e *events) add(r *Record, data []byte, now func() timer.Instant) error {
	var chunk engine.Completion
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Usage != nil {
		e.usage = chunk.Usage
	}
	for _, h := range chunk.Choices {
		if h.FinishReason != nil {
			e.finish = h.FinishReason
		}
		if h.Delta == nil || h.Delta.Content == "" {
			continue
		}
		e.text.WriteString(h.Delta.Content)
		at := now()
		if r.FirstContent == 0 {
			r.FirstContent = at
		} else {
			r.gaps = append(r.gaps, at.Sub(e.last))
		}
		e.last = at
	}
	return nil
}

// call is the exchange of a call of a plain service.
type call struct {
	PlainRequest
}

func (c *call) request(ctx context.Context, address string) (*http.Request, error) {
	return build(ctx, c.Method, "http://"+address+"/v1/services/"+c.Service+c.Path, c.Body)
}

func (c *call) check(r *Record, response *http.Response, _ func() timer.Instant) {
	body, ok := entire(r, response)
	if !ok || !echoed(r, response) {
		return
	}
	var answer plain.Response
	if err := json.Unmarshal(body, &answer); err != nil {
		r.note(Invalid, response.StatusCode, err.Error())
		return
	}
	r.RunCount = answer.RunCount
	if answer.Number != plain.ExpectedNumber(c.Path, c.Body) || answer.Key != r.IdempotencyKey {
		r.note(Invalid, response.StatusCode, fmt.Sprintf("answer is %s", body))
		return
	}
	r.note(Answered, response.StatusCode, "")
}
