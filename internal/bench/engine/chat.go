package engine

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one chat message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions holds the options of a streamed response.
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

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// Details is not added to the total, because cached tokens are part of the prompt.
	Details UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails holds the number of prompt tokens found in the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice holds a complete response or one chunk of a streamed one.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that one chunk adds to a streamed response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a complete response or one chunk of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// vocabulary holds the words of generated text.
var vocabulary = strings.Fields("amber basin cedar delta ember fjord grove harbor island juniper " +
	"kettle lagoon meadow north ocean prairie quarry ridge summit timber upland valley willow yarrow")

// AnswerWords returns the generated text for a conversation, one word per token,
// and its finish reason. The result depends only on the messages and maxTokens,
// so a caller can verify it regardless of the model and version that served it.
func AnswerWords(messages []Message, maxTokens int) (words []string, finishReason string) {
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
	if maxTokens > 0 && maxTokens < len(words) {
		return words[:maxTokens], "length"
	}
	return words, "stop"
}

// AnswerText returns the generated text for a conversation as one string.
func AnswerText(messages []Message, maxTokens int) string {
	words, _ := AnswerWords(messages, maxTokens)
	return strings.Join(words, "")
}

// blockHashes returns one hash per full block of prompt tokens and the number of
// prompt tokens. Each hash covers the prompt up to the end of its block.
func blockHashes(messages []Message) (hashes []uint64, tokens int) {
	digest := xxhash.New()
	for _, m := range messages {
		for _, w := range strings.Fields(m.Role + " " + m.Content) {
			_, _ = digest.WriteString(w + " ")
			if tokens++; tokens%blockTokens == 0 {
				hashes = append(hashes, digest.Sum64())
			}
		}
	}
	return hashes, tokens
}
