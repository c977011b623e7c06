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

// errorBody is the body of an error response.
type errorBody struct {
	Error *struct {
		Message string  `json:"message"`
		Code    string  `json:"code"`
		Outcome Outcome `json:"outcome"`
		Retry   int     `json:"retry"`
	} `json:"error"`
}

// recordError records the error in body. It returns false if body is not an error.
func recordError(r *Record, status int, body []byte) bool {
	var f errorBody
	if json.Unmarshal(body, &f) != nil || f.Error == nil {
		return false
	}
	o := f.Error.Outcome
	if o != NotRun && o != Failed && o != Unknown {
		o = Unknown
	}
	r.setResult(r.overallOutcome(o), status, f.Error.Code+": "+f.Error.Message)
	r.retryAfter = time.Duration(f.Error.Retry) * time.Millisecond
	return true
}

// readBody reads the complete body. If the response is an error or incomplete, it
// records that and returns false.
func readBody(r *Record, response *http.Response) (body []byte, ok bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		r.setInterrupted(response.StatusCode, err)
		return nil, false
	}
	if response.StatusCode/100 != 2 {
		if !recordError(r, response.StatusCode, body) {
			r.setResult(Unknown, response.StatusCode, fmt.Sprintf("response has no error body: %.200q", body))
		}
		if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && r.retryAfter == 0 {
			r.retryAfter = time.Duration(s) * time.Second
		}
		return nil, false
	}
	return body, true
}

// checkRequestID checks that the response carries the id of the request. If not, it
// records that and returns false.
func checkRequestID(r *Record, response *http.Response) bool {
	if got := response.Header.Get("X-Request-Id"); got != r.RequestID {
		r.setResult(Invalid, response.StatusCode, "response carries request id "+got)
		return false
	}
	return true
}

// chatExchange implements exchange for chat completions.
type chatExchange struct {
	body engine.Request
}

func (c *chatExchange) request(ctx context.Context, address string) (*http.Request, error) {
	body, err := json.Marshal(c.body)
	if err != nil {
		return nil, err
	}
	return newRequest(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body)
}

// newRequest builds a request that net/http does not retry on its own, so that the
// history counts every attempt.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if len(body) == 0 && method != http.MethodGet {
		// net/http also retries a request without a body if it has an Idempotency-Key.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(nil)), -1
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (c *chatExchange) check(r *Record, response *http.Response, now func() timer.Instant) {
	r.Model = response.Header.Get("Wisteriakeel-Model")
	if c.body.Stream && response.StatusCode == http.StatusOK {
		if checkRequestID(r, response) {
			c.readStream(r, response.Body, now)
		}
		return
	}
	body, ok := readBody(r, response)
	if !ok || !checkRequestID(r, response) {
		return
	}
	var completion engine.Completion
	if err := json.Unmarshal(body, &completion); err != nil {
		r.setResult(Invalid, response.StatusCode, err.Error())
		return
	}
	if len(completion.Choices) != 1 || completion.Choices[0].Message == nil {
		r.setResult(Invalid, response.StatusCode, "response does not have exactly one choice with a message")
		return
	}
	c.checkContent(r, completion.Choices[0].Message.Content, completion.Choices[0].FinishReason, completion.Usage)
}

// checkContent compares the content with the response that every engine generates for this request.
func (c *chatExchange) checkContent(r *Record, text string, finishReason *string, usage *engine.Usage) {
	words, wantReason := engine.AnswerWords(c.body.Messages, c.body.MaxTokens)
	switch {
	case text != strings.Join(words, ""):
		r.setResult(Invalid, http.StatusOK, fmt.Sprintf("response is %q, expected %q", text, strings.Join(words, "")))
	case finishReason == nil || *finishReason != wantReason:
		r.setResult(Invalid, http.StatusOK, "wrong or missing finish reason")
	case usage == nil || usage.CompletionTokens != len(words):
		r.setResult(Invalid, http.StatusOK, "wrong or missing usage")
	default:
		r.Usage = *usage
		r.setResult(Answered, http.StatusOK, "")
	}
}

// streamContent collects the content of a streamed response.
type streamContent struct {
	text         strings.Builder
	finishReason *string
	usage        *engine.Usage
	lastContent  timer.Instant
}

// readStream reads a streamed response to its end and records the result.
func (c *chatExchange) readStream(r *Record, body io.Reader, now func() timer.Instant) {
	var s streamContent
	r.FirstContent, r.eventGaps = 0, nil
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			c.checkContent(r, s.text.String(), s.finishReason, s.usage)
			return
		}
		if recordError(r, http.StatusOK, []byte(data)) {
			return
		}
		if err := s.addChunk(r, []byte(data), now); err != nil {
			r.setResult(Invalid, http.StatusOK, err.Error())
			return
		}
	}
	if err := lines.Err(); err != nil {
		r.setInterrupted(http.StatusOK, err)
		return
	}
	// The body ended properly, but without [DONE] or an error event: the response is truncated.
	r.setResult(Invalid, http.StatusOK, "stream ended without [DONE] or an error event")
}

// addChunk adds the content of one event and records the time at which it arrived.
func (s *streamContent) addChunk(r *Record, data []byte, now func() timer.Instant) error {
	var chunk engine.Completion
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.finishReason = choice.FinishReason
		}
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		at := now()
		if r.FirstContent == 0 {
			r.FirstContent = at
		} else {
			r.eventGaps = append(r.eventGaps, at.Sub(s.lastContent))
		}
		s.lastContent = at
	}
	return nil
}

// plainExchange implements exchange for calls to plain services.
type plainExchange struct {
	PlainRequest
}

func (c *plainExchange) request(ctx context.Context, address string) (*http.Request, error) {
	return newRequest(ctx, c.Method, "http://"+address+"/v1/services/"+c.Service+c.Path, c.Body)
}

func (c *plainExchange) check(r *Record, response *http.Response, _ func() timer.Instant) {
	body, ok := readBody(r, response)
	if !ok || !checkRequestID(r, response) {
		return
	}
	var reply plain.Response
	if err := json.Unmarshal(body, &reply); err != nil {
		r.setResult(Invalid, response.StatusCode, err.Error())
		return
	}
	r.RunCount = reply.RunCount
	if reply.Number != plain.ExpectedNumber(c.Path, c.Body) || reply.Key != r.IdempotencyKey {
		r.setResult(Invalid, response.StatusCode, fmt.Sprintf("unexpected response: %s", body))
		return
	}
	r.setResult(Answered, response.StatusCode, "")
}
