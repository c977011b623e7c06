package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// The official OpenAI client must be able to parse the engine's responses.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, Options{BaseStepTime: time.Millisecond})
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("token"), option.WithMaxRetries(0))
	want := AnswerText([]Message{{Role: "user", Content: "hello"}}, 0)
	params := openai.ChatCompletionNewParams{
		Model:         "small",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		streamed.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(streamed.Choices[0].Message.Content, want)
	is.Equal(streamed.Choices[0].FinishReason, "stop")
	is.True(streamed.Usage.CompletionTokens > 0)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, want)
	is.Equal(completion.Usage.CompletionTokens, streamed.Usage.CompletionTokens)
}
