package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// ChatRequest is a chat completion request to an engine.
type ChatRequest struct {
	Body      []byte
	RequestID string
	Version   string
	Priority  int
	// ResumeAfter is the number of content chunks already received before an earlier
	// stream broke. The engine continues after them. Zero starts from the beginning.
	ResumeAfter int
	Stream      bool
	// PreSendCheck is called once a connection is open, before the first byte is
	// written. If it fails, nothing is sent. It may be nil.
	PreSendCheck func() error
	// OnChunk is called with each chunk of a stream. An error ends the request.
	OnChunk func(c *Chunk) error
}

// Usage counts the tokens of a prompt and its completion.
type Usage struct {
	InputTokens  uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"completion_tokens"`
}

// ChatResult describes a chat completion, including an interrupted one.
type ChatResult struct {
	// Body is the complete response to a request that is not streamed.
	Body []byte
	// Text is the content of the first choice in Body.
	Text  string
	Usage Usage
	// UsageReported is true if the engine sent Usage.
	UsageReported bool
	// ContentChunks is the number of received chunks with content.
	ContentChunks int
}

// SendChat sends a chat completion request. If a stream fails, the result describes
// the part that was received.
func (cl *Client) SendChat(ctx context.Context, u *wire.Upstream, q ChatRequest) (res ChatResult, err error) {
	headerTimeout := cl.limits.HeaderTimeout
	if !q.Stream {
		// The header of a response that is not streamed is sent only after the whole
		// completion has been generated.
		headerTimeout = cl.limits.MaxRequestTimeout
	}
	ctx, c := cl.startCall(ctx, u, q.PreSendCheck, headerTimeout, cl.limits.MaxRequestTimeout)
	defer c.finish()
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
	resp, err := c.send(r, cl.pooledTransport, q.RequestID)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if err := checkChatResponse(resp, q); err != nil {
		return res, err
	}
	if !q.Stream {
		return c.readComplete(ctx, resp)
	}
	s := &stream{call: c, response: resp, onChunk: q.OnChunk, choiceFinished: map[int]bool{}}
	err = s.read(ctx)
	return s.result, err
}

// checkChatResponse verifies that the response has status 200 and comes from the
// requested model version.
func checkChatResponse(resp *http.Response, q ChatRequest) error {
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

// readComplete reads and checks a response that is not streamed.
func (c *call) readComplete(ctx context.Context, resp *http.Response) (res ChatResult, err error) {
	// The completion was generated before the header was sent, so EventGapTimeout does not apply.
	c.setDeadline(c.client.limits.MaxRequestTimeout, ErrRequestTimeout)
	body, err := c.readBody(ctx, resp, c.client.limits.MaxBodyBytes)
	if err != nil {
		return res, err
	}
	chunk, err := parseChunk(body)
	if err != nil {
		return res, &Failure{Outcome: Failed, Reason: "answer is not valid JSON", Status: resp.StatusCode, UpstreamFault: true, Err: err}
	}
	if len(chunk.openChoices) > 0 || len(chunk.finishedChoices) == 0 {
		return res, &Failure{Outcome: Failed, Reason: "answer has no finish_reason", Status: resp.StatusCode, UpstreamFault: true}
	}
	res.Body, res.Text = body, chunk.Text
	if chunk.Usage != nil {
		res.Usage, res.UsageReported = *chunk.Usage, true
	}
	return res, nil
}
