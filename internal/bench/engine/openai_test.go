package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Guards against answers that only our own client can read.
func TestPublishedClient(t *testing.T) {
	is := is.New(t)
	_, url := serve(t, Options{BaseStepTime: time.Millisecond})
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("token"), option.WithMaxRetries(0))
	want := AnswerText([]Message{{Role: "user", Content: "hello"}}, 0)
	params := openai.ChatCompletionNewParams{
		Model:         "small",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		all.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(all.Choices[0].Message.Content, want)
	is.Equal(all.Choices[0].FinishReason, "stop")
	is.True(all.Usage.CompletionTokens > 0)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, want)
	is.Equal(whole.Usage.CompletionTokens, all.Usage.CompletionTokens)
}
