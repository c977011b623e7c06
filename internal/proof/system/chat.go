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

// Chat is a chat completion of one message.
type Chat struct {
	Model, Prompt, RequestID string
	Stream                   bool
	// MaxTokens bounds the tokens of the answer; zero leaves them to the engine.
	MaxTokens int
	// Header holds further headers, name and value in turn.
	Header []string
}

func (c Chat) messages() []engine.Message { return []engine.Message{{Role: "user", Content: c.Prompt}} }

// Request is the request of the chat; equal chats have equal bodies.
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

// ExpectedTokens are the tokens of the chat's answer, whichever engine gives it.
func (c Chat) ExpectedTokens() []string {
	words, _ := engine.AnswerWords(c.messages(), c.MaxTokens)
	return words
}

// ExpectedPrice is what the answer of a model of the default document costs.
func (c Chat) ExpectedPrice(model string) uint64 {
	in, out := len(strings.Fields("user "+c.Prompt)), len(c.ExpectedTokens())
	if model == "large" {
		return uint64(10*in + 20*out)
	}
	return uint64(in + 2*out)
}

// Completion is what a caller takes from an answer.
type Completion struct {
	Response
	Text string
	// Complete is true if the answer says that it has ended.
	Complete bool
	// Model and Version served it.
	Model, Version string
}

// Matches tells whether a complete answer is that of the chat.
func (c Completion) Matches(chat Chat) bool {
	return c.Text == strings.Join(chat.ExpectedTokens(), "") && c.Header.Get("X-Request-Id") == chat.RequestID
}

// SendChat sends a chat to an entry. The answer is complete if its framing and, for a
// stream, its end mark are.
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
		var k struct {
			Error   struct{ Outcome string }
			Choices []engine.Choice
		}
		if json.Unmarshal(event, &k) != nil {
			continue
		}
		if k.Error.Outcome != "" {
			c.Outcome = k.Error.Outcome
		}
		for _, choice := range k.Choices {
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

// Ledger returns all totals and charges.
func (s *System) Ledger() *wire.LedgerReply {
	s.test.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := s.alive().Client.Ledger(ctx, &wire.LedgerRequest{Limit: 10000})
	s.must(err)
	return reply
}

// EntryByName returns the entry of that name.
func (s *System) EntryByName(name string) *Entry {
	for _, e := range s.Entries {
		if e.Name == name {
			return e
		}
	}
	return nil
}
