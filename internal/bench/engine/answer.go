package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// run serves a request that the batch accepted, and applies its fault.
func (c *call) run() {
	finished := false
	defer func() { c.engine.Runs.End(!finished) }()
	switch c.fault.Kind {
	case fault.Crash:
		c.engine.options.Crash()
	case fault.Close:
		panic(http.ErrAbortHandler)
	case fault.Delayed:
		if timer.Sleep(c.request.Context(), c.engine.options.Timer, c.fault.DelayDuration()) != nil {
			return
		}
	}
	if c.body.Stream {
		finished = c.writeStream()
	} else {
		finished = c.writeCompletion()
	}
	c.engine.lastCall.Store(c)
}

// useOtherResponse sets the call's id to that of the previously served request, or
// of a made-up one if there is none, and returns the words of that request's response.
func (c *call) useOtherResponse(length int) []string {
	other := c.engine.lastCall.Load()
	if other == nil {
		other = &call{id: c.id + "-other", body: Request{Messages: []Message{{Role: "user", Content: "other"}}}}
	}
	c.id = other.id
	words, _ := AnswerWords(other.body.Messages, length)
	return words
}

// nextWord waits for the next word. It returns false once the caller has disconnected.
func (c *call) nextWord() (string, bool) {
	w, err := c.sequence.out.Take(c.request.Context())
	return w, err == nil
}

// usage counts the tokens of the whole response, also if a resumed one sends only a part of it.
func (c *call) usage() *Usage {
	u := &Usage{PromptTokens: c.sequence.promptTokens, CompletionTokens: len(c.sequence.words)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = c.sequence.cachedTokens
	return u
}

// completion returns a response or chunk of the given object type, without choices.
func (c *call) completion(object string) Completion {
	return Completion{
		ID: "chatcmpl-" + c.id, Object: object, Model: c.body.Model,
		Created: c.engine.options.Timer.Wall().Unix(),
	}
}

// writeCompletion sends the response as a single body. It returns false if the response is incomplete.
func (c *call) writeCompletion() bool {
	var text strings.Builder
	for range len(c.sequence.words) - min(c.resumeFrom, len(c.sequence.words)-1) {
		w, ok := c.nextWord()
		if !ok {
			return false
		}
		text.WriteString(w)
	}
	response := c.completion("chat.completion")
	response.Choices = []Choice{{Message: &Message{Role: "assistant", Content: text.String()}, FinishReason: &c.finishReason}}
	response.Usage = c.usage()
	body, err := json.Marshal(response)
	if err != nil {
		return false
	}
	c.setHeaders()
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch c.fault.Kind {
	case fault.Truncate, fault.EndEarly, fault.Stall:
		// The body is shorter than its Content-Length.
		_, _ = c.writer.Write(body[:len(body)/2])
		c.interrupt()
		return false
	}
	_, err = c.writer.Write(body)
	return err == nil
}

// interrupt stops the response in the way that the fault specifies.
func (c *call) interrupt() {
	_ = http.NewResponseController(c.writer).Flush()
	switch c.fault.Kind {
	case fault.Truncate:
		panic(http.ErrAbortHandler)
	case fault.Stall:
		<-c.request.Context().Done()
	}
}

// writeStream sends the response as server-sent events. It returns false if the
// response is incomplete.
func (c *call) writeStream() bool {
	c.setHeaders()
	c.writer.Header().Set("Content-Type", "text/event-stream")
	events := 0
	role := "assistant"
	if c.resumeFrom == len(c.sequence.words) {
		// The caller has all words; drop the one that the batch generates nevertheless.
		if _, ok := c.nextWord(); !ok {
			return false
		}
	}
	for range len(c.sequence.words) - c.resumeFrom {
		if c.interruptsAfter(events) {
			c.interrupt()
			return false
		}
		w, ok := c.nextWord()
		if !ok {
			return false
		}
		chunk := c.completion("chat.completion.chunk")
		chunk.Choices = []Choice{{Delta: &Delta{Role: role, Content: w}}}
		if !c.sendChunk(chunk) {
			return false
		}
		events++
		role = ""
	}
	if c.interruptsAfter(events) {
		c.interrupt()
		return false
	}
	return c.endStream()
}

// interruptsAfter reports whether the fault interrupts the stream after that many events.
// A stream that ends early closes its body properly, but without a finish reason
// and without [DONE].
func (c *call) interruptsAfter(events int) bool {
	switch c.fault.Kind {
	case fault.Truncate, fault.Stall:
		return events == c.fault.AfterEvents
	case fault.EndEarly:
		return events == max(c.fault.AfterEvents, 1)
	}
	return false
}

// endStream sends the finish reason, the usage if requested, and [DONE].
func (c *call) endStream() bool {
	last := c.completion("chat.completion.chunk")
	last.Choices = []Choice{{Delta: &Delta{}, FinishReason: &c.finishReason}}
	if !c.sendChunk(last) {
		return false
	}
	if c.body.StreamOptions != nil && c.body.StreamOptions.IncludeUsage {
		usage := c.completion("chat.completion.chunk")
		usage.Choices = []Choice{}
		usage.Usage = c.usage()
		if !c.sendChunk(usage) {
			return false
		}
	}
	_, err := c.writer.Write([]byte("data: [DONE]\n\n"))
	return err == nil
}

// sendChunk sends one event of a stream. It returns false if that failed.
func (c *call) sendChunk(chunk Completion) bool {
	text, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err = c.writer.Write([]byte("data: " + string(text) + "\n\n")); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
