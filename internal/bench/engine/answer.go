package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// run serves a request that the batch accepted.
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
	if c.chat.Stream {
		finished = c.stream()
	} else {
		finished = c.whole()
	}
	c.engine.last.Store(c)
}

// confuse gives the call the identity and the words of the request before it,
// or of an invented one if it is the first.
func (c *call) confuse(length int) []string {
	other := c.engine.last.Load()
	if other == nil {
		other = &call{id: c.id + "-other", chat: Request{Messages: []Message{{Role: "user", Content: "other"}}}}
	}
	c.id = other.id
	words, _ := AnswerWords(other.chat.Messages, length)
	return words
}

// word waits for the next word; it returns false once the caller is gone.
func (c *call) word() (string, bool) {
	w, err := c.sequence.out.Take(c.request.Context())
	return w, err == nil
}

func (c *call) usage() *Usage {
	u := &Usage{PromptTokens: c.sequence.prompt, CompletionTokens: len(c.sequence.words)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = c.sequence.cached
	return u
}

func (c *call) completion(object string) Completion {
	return Completion{
		ID: "chatcmpl-" + c.id, Object: object, Model: c.chat.Model,
		Created: c.engine.options.Timer.Wall().Unix(),
	}
}

// whole answers without streaming.
func (c *call) whole() bool {
	var text strings.Builder
	for range len(c.sequence.words) - min(c.resume, len(c.sequence.words)-1) {
		w, ok := c.word()
		if !ok {
			return false
		}
		text.WriteString(w)
	}
	answer := c.completion("chat.completion")
	answer.Choices = []Choice{{Message: &Message{Role: "assistant", Content: text.String()}, FinishReason: &c.finish}}
	answer.Usage = c.usage()
	body, err := json.Marshal(answer)
	if err != nil {
		return false
	}
	c.headers()
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch c.fault.Kind {
	case fault.Truncate, fault.EndEarly, fault.Stall:
		// The announced length is never reached.
		_, _ = c.writer.Write(body[:len(body)/2])
		c.interrupt()
		return false
	}
	_, err = c.writer.Write(body)
	return err == nil
}

// interrupt ends an answer as the fault says.
func (c *call) interrupt() {
	_ = http.NewResponseController(c.writer).Flush()
	switch c.fault.Kind {
	case fault.Truncate:
		panic(http.ErrAbortHandler)
	case fault.Stall:
		<-c.request.Context().Done()
	}
}

// stream answers with server-sent events.
func (c *call) stream() bool {
	c.headers()
	c.writer.Header().Set("Content-Type", "text/event-stream")
	events := 0
	role := "assistant"
	if c.resume == len(c.sequence.words) {
		if _, ok := c.word(); !ok {
			return false
		}
	}
	for range len(c.sequence.words) - c.resume {
		if c.breaks(events) {
			c.interrupt()
			return false
		}
		w, ok := c.word()
		if !ok {
			return false
		}
		chunk := c.completion("chat.completion.chunk")
		chunk.Choices = []Choice{{Delta: &Delta{Role: role, Content: w}}}
		if !c.send(chunk) {
			return false
		}
		events++
		role = ""
	}
	if c.breaks(events) {
		c.interrupt()
		return false
	}
	return c.close()
}

// breaks tells whether the fault interrupts the stream after that many events.
// A short stream ends properly, but without finish reason and end mark.
func (c *call) breaks(events int) bool {
	switch c.fault.Kind {
	case fault.Truncate, fault.Stall:
		return events == c.fault.AfterEvents
	case fault.EndEarly:
		return events == max(c.fault.AfterEvents, 1)
	}
	return false
}

// close sends the finish reason, the usage and the end mark.
func (c *call) close() bool {
	last := c.completion("chat.completion.chunk")
	last.Choices = []Choice{{Delta: &Delta{}, FinishReason: &c.finish}}
	if !c.send(last) {
		return false
	}
	if c.chat.StreamOptions != nil && c.chat.StreamOptions.IncludeUsage {
		usage := c.completion("chat.completion.chunk")
		usage.Choices = []Choice{}
		usage.Usage = c.usage()
		if !c.send(usage) {
			return false
		}
	}
	_, err := c.writer.Write([]byte("data: [DONE]\n\n"))
	return err == nil
}

func (c *call) send(chunk Completion) bool {
	text, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err = c.writer.Write([]byte("data: " + string(text) + "\n\n")); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
