package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// ChatRequest is a chat completion for an engine.
type ChatRequest struct {
	Body      []byte
	RequestID string
	Version   string
	Priority  int
	// ResumeAfter is the number of content chunks that were received from a broken stream.
	ResumeAfter int
	Stream      bool
	// PreSendCheck is called once a connection is open, before the first byte is
	// written; an error ends the call unsent. It may be nil.
	PreSendCheck func() error
	// OnChunk receives each chunk of a stream; an error ends the call.
	OnChunk func(c *Chunk) error
}

// Usage counts the tokens of an answer.
type Usage struct {
	InputTokens  uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"completion_tokens"`
}

// ChatResult is what is known of a chat completion, also of a broken one.
type ChatResult struct {
	// Body is the whole answer of a call that is not streamed.
	Body []byte
	// Text is the content of that answer's first choice.
	Text  string
	Usage Usage
	// UsageReported is true if the engine reported the usage.
	UsageReported bool
	// ContentChunks is the number of chunks with content that were received.
	ContentChunks int
}

// SendChat sends a chat completion. The result is also set for a failed stream,
// as far as it was received.
func (d *Client) SendChat(ctx context.Context, u *wire.Upstream, q ChatRequest) (res ChatResult, err error) {
	header := d.limits.HeaderTimeout
	if !q.Stream {
		// The header of a whole answer comes only once it is generated.
		header = d.limits.CallTimeout
	}
	ctx, c := d.begin(ctx, u, q.PreSendCheck, header, d.limits.CallTimeout)
	defer c.end()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+u.Address+"/v1/chat/completions", bytes.NewReader(q.Body))
	if err != nil {
		return res, &Failure{Outcome: NotRun, Reason: "call cannot be built", Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderVersion, q.Version)
	r.Header.Set(HeaderPriority, strconv.Itoa(q.Priority))
	if q.ResumeAfter > 0 {
		r.Header.Set(HeaderResume, strconv.Itoa(q.ResumeAfter))
	}
	resp, err := c.send(r, d.pooled, q.RequestID)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if err := checkEngine(resp, q); err != nil {
		return res, err
	}
	if !q.Stream {
		return c.whole(ctx, resp)
	}
	s := &stream{call: c, response: resp, sink: q.OnChunk, choices: map[int]bool{}}
	err = s.read(ctx)
	return s.result, err
}

func checkEngine(resp *http.Response, q ChatRequest) error {
	if resp.StatusCode != http.StatusOK {
		return &Failure{
			Outcome: Failed, Reason: "upstream answered " + strconv.Itoa(resp.StatusCode),
			Status: resp.StatusCode, UpstreamFault: resp.StatusCode >= http.StatusInternalServerError,
		}
	}
	if got := resp.Header.Get(HeaderVersion); got != q.Version {
		return &Failure{
			Outcome: Failed, Reason: "answer comes from version " + strconv.Quote(got),
			Status: resp.StatusCode, UpstreamFault: true,
		}
	}
	return nil
}

// whole reads an answer that is not streamed.
func (c *call) whole(ctx context.Context, resp *http.Response) (res ChatResult, err error) {
	// A whole answer is generated before its body is sent, so no token deadline applies.
	c.expect(c.owner.limits.CallTimeout, ErrCallTimeout)
	body, err := c.body(ctx, resp, c.owner.limits.MaxBodyBytes)
	if err != nil {
		return res, err
	}
	k, err := parseChunk(body)
	if err != nil {
		return res, &Failure{Outcome: Failed, Reason: "answer is not valid JSON", Status: resp.StatusCode, UpstreamFault: true, Err: err}
	}
	if len(k.open) > 0 || len(k.ended) == 0 {
		return res, &Failure{Outcome: Failed, Reason: "answer has no finish_reason", Status: resp.StatusCode, UpstreamFault: true}
	}
	res.Body, res.Text = body, k.Text
	if k.Usage != nil {
		res.Usage, res.UsageReported = *k.Usage, true
	}
	return res, nil
}
