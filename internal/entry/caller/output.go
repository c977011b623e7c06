package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
)

// output collects the events of one streamed answer and passes them on.
type output struct {
	job *job
	// direct is true if events go to the caller as they come.
	direct bool
	// held are events that the caller gets after the charge: all of a buffered
	// answer, else those from the first finish_reason on.
	held [][]byte
	size int
	// ending is true from the first finish_reason on.
	ending bool
	// contents counts the content events before the ending.
	contents int
	text     []byte
	// first is the first event; resumed is true for the events of a later upstream.
	first   []byte
	resumed bool
	model   string
}

func newOutput(j *job, direct bool) *output { return &output{job: j, direct: direct} }

// begun tells whether the caller has got a part of the answer.
func (o *output) begun() bool { return o.direct && o.job.events }

// take is the sink of a stream.
func (o *output) take(k *upstream.Chunk) error {
	if err := o.job.http.Context().Err(); err != nil {
		return err
	}
	if o.resumed && !o.ending && !k.HasContent && !k.Finished && !k.UsageOnly() {
		return nil // the opening event with the role was passed on before
	}
	data := k.Data
	if bytes.IndexByte(data, '\n') >= 0 {
		data = bytes.ReplaceAll(data, []byte("\n"), []byte(" "))
	}
	if o.first == nil {
		o.first = data
	}
	if o.resumed {
		data = o.align(data)
	}
	o.ending = o.ending || k.Finished
	if k.UsageOnly() && !o.job.chat.usage {
		return nil
	}
	o.text = append(o.text, k.Text...)
	if o.ending || k.UsageOnly() {
		return o.hold(data)
	}
	if k.HasContent {
		o.contents++
	}
	if !o.direct {
		return o.hold(data)
	}
	return o.job.pass(o.model, data)
}

// hold keeps an event until the charge is committed.
func (o *output) hold(data []byte) error {
	o.size += len(data)
	if int64(o.size) > o.job.handler.options.MaxBodyBytes {
		return errors.New("the held part of the answer exceeds the size limit")
	}
	o.held = append(o.held, data)
	return nil
}

// restart prepares for another upstream: a stream that the caller sees goes
// on from its position, any other begins anew.
func (o *output) restart() {
	if o.begun() {
		o.resumed, o.ending, o.held, o.size = true, false, nil, 0
		return
	}
	*o = output{job: o.job, direct: o.direct}
}

// align gives an event of a resumed stream the identity of the first event,
// since clients match events of one answer by it.
func (o *output) align(data []byte) []byte {
	var first, own map[string]json.RawMessage
	if json.Unmarshal(o.first, &first) != nil || json.Unmarshal(data, &own) != nil {
		return data
	}
	for _, n := range []string{"id", "created"} {
		if v, ok := first[n]; ok {
			own[n] = v
		}
	}
	b, err := json.Marshal(own)
	if err != nil {
		return data
	}
	return b
}

// finish sends the held events and the end of the stream.
func (o *output) finish() {
	for _, e := range o.held {
		if o.job.pass(o.model, e) != nil {
			return
		}
	}
	o.job.event([]byte("[DONE]"))
}

// pass sends one event to the caller.
func (j *job) pass(model string, data []byte) error {
	if !j.events {
		j.writer.Header().Set(headerModel, model)
	}
	return j.event(data)
}

// whole sends an answer that is not streamed, so that the caller has all of it
// before the handler ends.
func whole(w http.ResponseWriter, status int, body []byte) {
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A caller that is gone cannot be told anything more.
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// event writes one event and flushes it; the first one begins the stream.
func (q *request) event(data []byte) error {
	if !q.events {
		q.events = true
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
