package system

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Chat is a chat completion request with a single message.
type Chat struct {
	Model, Prompt, RequestID string
	Stream                   bool
	// MaxTokens limits the tokens of the response; zero selects the engine's limit.
	MaxTokens int
	// Header holds additional headers as alternating names and values.
	Header []string
}

func (c Chat) messages() []engine.Message { return []engine.Message{{Role: "user", Content: c.Prompt}} }

// Request returns the HTTP request for the chat; equal chats have equal bodies.
func (c Chat) Request() Request {
	body, err := json.Marshal(engine.Request{
		Model: c.Model, Messages: c.messages(), Stream: c.Stream, MaxTokens: c.MaxTokens,
	})
	if err != nil {
		panic(err)
	}
	return Request{
		Path: "/v1/chat/completions", Body: string(body),
		Header: append([]string{"X-Request-Id", c.RequestID}, c.Header...),
	}
}

// ExpectedTokens returns the tokens of the response, which are the same from every engine.
func (c Chat) ExpectedTokens() []string {
	words, _ := engine.AnswerWords(c.messages(), c.MaxTokens)
	return words
}

// ExpectedPrice returns the price of the response of a model of the default document.
func (c Chat) ExpectedPrice(model string) uint64 {
	in, out := len(strings.Fields("user "+c.Prompt)), len(c.ExpectedTokens())
	if model == "large" {
		return uint64(10*in + 20*out)
	}
	return uint64(in + 2*out)
}

// Completion is the response to a chat, as a caller decodes it.
type Completion struct {
	Response
	Text string
	// Complete reports whether the whole response arrived; a stream must end with [DONE].
	Complete bool
	// Model and Version are those that served the request.
	Model, Version string
}

// Matches reports whether a complete response has the text and request id that the chat
// must get.
func (c Completion) Matches(chat Chat) bool {
	return c.Text == strings.Join(chat.ExpectedTokens(), "") && c.Header.Get("X-Request-Id") == chat.RequestID
}

// SendChat sends a chat to an entry and decodes the response.
func (s *System) SendChat(e *Entry, chat Chat) (c Completion) {
	c.Response = s.Send(e, chat.Request())
	c.Model, c.Version, _ = strings.Cut(c.Header.Get("Wisteriakeel-Model"), "@")
	if !c.Succeeded() {
		return c
	}
	events := [][]byte{c.Body}
	if chat.Stream {
		events = bytes.Split(c.Body, []byte("\n\n"))
	}
	for _, event := range events {
		event = bytes.TrimPrefix(event, []byte("data: "))
		if chat.Stream && string(event) == "[DONE]" {
			c.Complete = true
			continue
		}
		var message struct {
			Error   struct{ Outcome string }
			Choices []engine.Choice
		}
		if json.Unmarshal(event, &message) != nil {
			continue
		}
		if message.Error.Outcome != "" {
			c.Outcome = message.Error.Outcome
		}
		for _, choice := range message.Choices {
			if choice.Message != nil {
				c.Text += choice.Message.Content
				c.Complete = !chat.Stream
			}
			if choice.Delta != nil {
				c.Text += choice.Delta.Content
			}
		}
	}
	return c
}

// Ledger returns the totals and charges of all accounts.
func (s *System) Ledger() *wire.LedgerReply {
	s.test.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := s.firstLiveEntry().Client.Ledger(ctx, &wire.LedgerRequest{Limit: 10000})
	s.requireNoError(err)
	return reply
}

// EntryByName returns the entry with the given name, or nil.
func (s *System) EntryByName(name string) *Entry {
	for _, e := range s.Entries {
		if e.Name == name {
			return e
		}
	}
	return nil
}
