package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against responses that the unmodified OpenAI client library can't parse.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a", "b", "c"}, breakAfter: -1})
	_, s := newHandler(t, f, nil)
	client := openai.NewClient(option.WithBaseURL(s.URL+"/v1"), option.WithAPIKey("town"), option.WithMaxRetries(0))
	ctx := context.Background()
	question := openai.ChatCompletionNewParams{
		Model: "small", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
	}
	whole, err := client.Chat.Completions.New(ctx, question)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, "abc")
	is.Equal(whole.Usage.CompletionTokens, int64(3))

	question.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, question)
	var sum openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(sum.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(sum.Choices[0].Message.Content, "abc")
	is.Equal(sum.Choices[0].FinishReason, "stop")
	is.Equal(sum.Usage.CompletionTokens, int64(3))

	models, err := client.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 2)
	is.Equal(models.Data[0].ID, "draft")
	is.Equal(models.Data[1].ID, "small")
	is.Equal(models.Data[1].OwnedBy, "pool")

	question.Model = "large"
	_, err = client.Chat.Completions.New(ctx, question)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, 403)
	is.Equal(refused.Code, "permission")
}

// Guards against callers that keep connecting to an entry that shuts down, and against a
// shutdown that interrupts requests or refuses them while lists still name the entry.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	release, started := make(chan struct{}), make(chan struct{}, 1)
	e := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1, intercept: func(http.ResponseWriter, *http.Request) bool {
		started <- struct{}{}
		<-release
		return false
	}})
	h, s := newHandler(t, f, func(o *Options) { o.EntryListLifetime, o.PropagationDelay = 300*time.Millisecond, 50*time.Millisecond })
	entries := func() (int, string) {
		resp, body := send(t, "GET", s.URL+"/v1/entries", "")
		var list struct {
			Entries  []entryBody
			Lifetime int64
		}
		is.NoErr(json.Unmarshal([]byte(body), &list))
		names := []string{}
		for _, e := range list.Entries {
			names = append(names, e.Name)
		}
		return resp.StatusCode, strings.Join(names, " ")
	}
	_, names := entries()
	is.Equal(names, "e1 e2") // the entry's own zone first
	var group sync.WaitGroup
	var status int
	group.Go(func() {
		resp, _ := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", true))
		status = resp.StatusCode
	})
	<-started
	begin := time.Now()
	done := make(chan time.Duration, 1)
	group.Go(func() {
		if h.Drain(context.Background()) == nil {
			done <- time.Since(begin)
		}
	})
	for !h.Draining() {
		time.Sleep(time.Millisecond)
	}
	code, names := entries()
	is.Equal(code, 200) // still serves while earlier lists are in use
	is.Equal(names, "e2")
	for code != http.StatusServiceUnavailable {
		time.Sleep(5 * time.Millisecond)
		code, _ = entries()
	}
	is.True(time.Since(begin) >= 350*time.Millisecond)
	is.Equal(len(done), 0) // a request is still in progress
	close(release)
	group.Wait()
	is.Equal(len(done), 1)
	is.Equal(status, 200)
	is.Equal(e.requestCount(), 1)
	is.True(f.draining)
}

// Guards against fairness counts that leave out other accounts.
func TestFairnessShowsAllAccounts(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
	startEngine(t, f, "w2", "large", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
	_, s := newHandler(t, f, nil)
	send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false))
	send(t, "POST", s.URL+"/v1/chat/completions", chatBody("large", false), "Authorization", "Bearer farm")
	_, body := send(t, "GET", s.URL+"/v1/fairness", "")
	var list struct{ Accounts []fairnessBody }
	is.NoErr(json.Unmarshal([]byte(body), &list))
	is.Equal(len(list.Accounts), 2)
	is.Equal(list.Accounts[0].Account, "farm")
	is.Equal(list.Accounts[0].Requests, uint64(1))
	is.Equal(list.Accounts[0].Totals, []totalBody{{Service: "pool", Requests: 1, Amount: 70}})
}

// Guards against traces that end at the entry or lack the span of a hop.
func TestTraceSpansEveryHop(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	cheap := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
	startEngine(t, f, "w2", "large", &fakeEngine{version: "v1", words: []string{"b"}, breakAfter: -1})
	recorder := tracetest.NewSpanRecorder()
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder))
	_, s := newHandler(t, f, func(o *Options) {
		o.Tracer, o.Rater = provider.Tracer("test"), &fakeRater{}
	})
	const id = "0af7651916cd43dd8448eb211c80319c"
	send(t, "POST", s.URL+"/v1/chat/completions", chatBody("draft", true), "Wisteriakeel-Session", "s",
		"traceparent", "00-"+id+"-b7ad6b7169203331-01", "X-Request-Id", "r-1")
	count := map[string]int{}
	for _, p := range recorder.Ended() {
		is.Equal(p.SpanContext().TraceID().String(), id)
		count[p.Name()]++
		if strings.HasPrefix(p.Name(), "POST ") {
			is.True(slices.Contains(p.Attributes(), attribute.String("request", "r-1")))
		}
	}
	is.Equal(count, map[string]int{
		"POST /v1/chat/completions": 1, "queue": 2, "control pin": 2, "upstream": 2, "rating": 1, "control charge": 1,
	})
	is.True(strings.Contains(cheap.calls[0].Header.Get("traceparent"), id))
}
