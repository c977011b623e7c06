package engine

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is the body of a chat completion request.
type Request struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// Details are left out of the total, as cached tokens are part of the prompt.
	Details UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails tells how much of the prompt was found in the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is the answer or one chunk of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is what one chunk adds to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a whole answer or one chunk of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

var vocabulary = strings.Fields("amber basin cedar delta ember fjord grove harbor island juniper " +
	"kettle lagoon meadow north ocean prairie quarry ridge summit timber upland valley willow yarrow")

// AnswerWords returns the answer to a conversation, one word per token, and its
// finish reason. It depends on the messages and the limit only, so that a
// caller can check the answer whichever model and version gave it.
func AnswerWords(messages []Message, limit int) (words []string, finish string) {
	digest := xxhash.New()
	for _, m := range messages {
		fmt.Fprintf(digest, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	sum := digest.Sum64()
	random := rand.New(rand.NewPCG(sum, 0))
	words = append(words, fmt.Sprintf("%016x ", sum))
	for range 8 + random.IntN(24) {
		words = append(words, vocabulary[random.IntN(len(vocabulary))]+" ")
	}
	words = append(words, "end.")
	if limit > 0 && limit < len(words) {
		return words[:limit], "length"
	}
	return words, "stop"
}

// AnswerText returns the words of the answer as one string.
func AnswerText(messages []Message, limit int) string {
	words, _ := AnswerWords(messages, limit)
	return strings.Join(words, "")
}

// blocks returns a hash for each full block of the prompt's words; each hash
// covers the prompt up to the end of its block.
func blocks(messages []Message) (hashes []uint64, tokens int) {
	digest := xxhash.New()
	for _, m := range messages {
		for _, w := range strings.Fields(m.Role + " " + m.Content) {
			_, _ = digest.WriteString(w + " ")
			if tokens++; tokens%blockSize == 0 {
				hashes = append(hashes, digest.Sum64())
			}
		}
	}
	return hashes, tokens
}
