package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// streamRelay passes the events of one streamed answer to the caller, and holds back
// those that must wait for the charge.
type streamRelay struct {
	job *chatJob
	// direct is true if events are passed to the caller as they arrive, and false if
	// the whole answer is buffered.
	direct bool
	// held contains the events that the caller gets after the charge: all events of a
	// buffered answer, else those from the first finish_reason on.
	held      [][]byte
	heldBytes int
	// finishing is true from the first event with a finish_reason on.
	finishing bool
	// contentEvents counts the events with content before the first finish_reason.
	contentEvents int
	// text is the content of the answer's first choice.
	text []byte
	// firstEvent is the first event of the answer.
	firstEvent []byte
	// resumed is true once another upstream continues the stream.
	resumed bool
	// modelVersion is the model and version of the answer, as "model@version".
	modelVersion string
}

func newStreamRelay(j *chatJob, direct bool) *streamRelay {
	return &streamRelay{job: j, direct: direct}
}

// started reports whether the caller has received a part of the answer.
func (o *streamRelay) started() bool { return o.direct && o.job.streaming }

// handleChunk handles each chunk of the stream as it arrives from the upstream.
func (o *streamRelay) handleChunk(k *upstream.Chunk) error {
	if err := o.job.httpRequest.Context().Err(); err != nil {
		return err
	}
	if o.resumed && !o.finishing && !k.HasContent && !k.Finished && !k.UsageOnly() {
		return nil // the caller has the opening event, which names the role, already
	}
	data := k.Data
	if bytes.IndexByte(data, '\n') >= 0 {
		data = bytes.ReplaceAll(data, []byte("\n"), []byte(" "))
	}
	if o.firstEvent == nil {
		o.firstEvent = data
	}
	if o.resumed {
		data = o.rewriteIdentity(data)
	}
	o.finishing = o.finishing || k.Finished
	if k.UsageOnly() && !o.job.chat.includeUsage {
		return nil
	}
	o.text = append(o.text, k.Text...)
	if o.finishing || k.UsageOnly() {
		return o.hold(data)
	}
	if k.HasContent {
		o.contentEvents++
	}
	if !o.direct {
		return o.hold(data)
	}
	return o.job.relayEvent(o.modelVersion, data)
}

// hold buffers an event until the charge is committed.
func (o *streamRelay) hold(data []byte) error {
	o.heldBytes += len(data)
	if int64(o.heldBytes) > o.job.handler.options.MaxBodyBytes {
		return errors.New("the held part of the answer exceeds the size limit")
	}
	if err := o.job.held.Reserve(memory.Response, memory.Bytes(len(data))); err != nil {
		return err
	}
	o.held = append(o.held, data)
	return nil
}

// restart prepares for an attempt at another upstream: a stream that the caller has
// seen a part of is resumed, any other begins anew.
func (o *streamRelay) restart() {
	if o.started() {
		o.resumed, o.finishing, o.held, o.heldBytes = true, false, nil, 0
		return
	}
	*o = streamRelay{job: o.job, direct: o.direct}
}

// rewriteIdentity gives an event of a resumed stream the ID and creation time of the
// first event, since clients match the events of one answer by them.
func (o *streamRelay) rewriteIdentity(data []byte) []byte {
	var first, event map[string]json.RawMessage
	if json.Unmarshal(o.firstEvent, &first) != nil || json.Unmarshal(data, &event) != nil {
		return data
	}
	for _, n := range []string{"id", "created"} {
		if v, ok := first[n]; ok {
			event[n] = v
		}
	}
	b, err := json.Marshal(event)
	if err != nil {
		return data
	}
	return b
}

// finish sends the held events and the end marker of the stream.
func (o *streamRelay) finish() {
	for _, e := range o.held {
		if o.job.relayEvent(o.modelVersion, e) != nil {
			return
		}
	}
	o.job.writeEvent([]byte("[DONE]"))
}

// relayEvent sends one event to the caller. Before the first one it sets the header with
// the model and version.
func (j *chatJob) relayEvent(modelVersion string, data []byte) error {
	if !j.streaming {
		j.writer.Header().Set(headerModel, modelVersion)
	}
	return j.writeEvent(data)
}

// writeResponse writes an answer that is not streamed and flushes it, so that the
// caller has all of it before work that follows the answer begins.
func writeResponse(w http.ResponseWriter, status int, body []byte) {
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A caller that has disconnected can't be told about a write error.
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// writeEvent writes one server-sent event and flushes it. The first event is preceded
// by the header of the stream.
func (q *request) writeEvent(data []byte) error {
	if !q.streaming {
		q.streaming = true
		q.held.SetPhase(memory.Writing)
		q.writer.Header().Set("Content-Type", "text/event-stream")
		q.writer.Header().Set("Cache-Control", "no-store")
		q.writer.WriteHeader(http.StatusOK)
	}
	b := make([]byte, 0, len(data)+8)
	b = append(append(append(b, "data: "...), data...), "\n\n"...)
	if _, err := q.writer.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(q.writer).Flush()
}
