package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

const (
	// defaultMaxBodyBytes limits request bodies if the layout sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxDiscardedBytes limits how much of an oversized body is read and discarded beyond the limit.
	maxDiscardedBytes = 4 << 20
	// minHeldResponse is the size from which a response to a caller is accounted for. The system takes most of a
	// shorter one at once.
	minHeldResponse = 64 << 10
	// retryAfterMemory is how long requests take that give back their memory; another instance may have some.
	retryAfterMemory = 200 * time.Millisecond
)

// readBody reads the body up to the size limit of the layout, and within the time limit.
func (q *request) readBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if q.layout.Limits.MaxBodyBytes > 0 {
		limit = int64(q.layout.Limits.MaxBodyBytes)
	}
	if q.httpRequest.ContentLength == 0 {
		return true
	}
	q.bodyRead = true
	q.readingBody.Store(true)
	defer q.readingBody.Store(false)
	stop := q.Timer.AfterFunc(q.remaining(), func() { q.end(errTimeout) })
	defer stop()
	if q.finishing.Load() {
		return q.reject(http.StatusServiceUnavailable, "instance is stopping", retryOtherInstance)
	}
	body, err := q.memory.ReadBody(memory.Body, q.httpRequest.Body, q.httpRequest.ContentLength, limit)
	if err == nil {
		q.body = body
		q.httpRequest.Trailer = nil // is not forwarded, and not accounted for
		return true
	}
	defer httpserver.StopReading(q.writer)
	cause := context.Cause(q.ctx)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		q.discardOversized(limit)
		return q.reject(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, memory.ErrShort) || errors.Is(cause, memory.ErrShort):
		return q.rejectMemory()
	case errors.Is(cause, errStopping):
		return q.reject(http.StatusServiceUnavailable, "instance is stopping", retryOtherInstance)
	case errors.Is(cause, errTimeout):
		return q.reject(http.StatusRequestTimeout, "time limit passed before the body had arrived", 0)
	}
	q.log("cannot read the request body", journal.Error(err))
	return q.reject(http.StatusBadRequest, "body cannot be read", 0)
}

// discardOversized reads some of an oversized body. A caller that is still sending would see a closed connection
// instead of the response.
func (q *request) discardOversized(limit int64) {
	rest := int64(maxDiscardedBytes)
	if q.httpRequest.ContentLength > limit {
		rest += limit // nothing of it was read
	}
	if _, err := io.CopyN(io.Discard, q.httpRequest.Body, rest); err != nil && !errors.Is(err, io.EOF) {
		q.log("cannot discard the rest of an oversized body", journal.Error(err))
	}
}

// GiveBackMemory ends the request, since others need its memory.
func (q *request) GiveBackMemory() { q.end(memory.ErrShort) }

// rejectMemory refuses a request that was not sent for want of memory. It returns false.
func (q *request) rejectMemory() bool {
	// net/http would read on to use the connection again.
	q.writer.Header().Set("Connection", "close")
	return q.reject(http.StatusServiceUnavailable, "memory is short", retryAfterMemory)
}

// writeBody writes the body of a response to the caller. A long one was reserved before.
func (q *request) writeBody(body *upstream.Body) (err error) {
	if body.Size() < minHeldResponse {
		_, err = body.WriteTo(q.writer)
		return err
	}
	_, err = body.WriteTo(&progressWriter{q.writer, q.memory})
	return err
}

// progressWriter records what the caller takes of a response.
type progressWriter struct {
	io.Writer
	memory *memory.Connection
}

// Write writes a part of the response.
func (w *progressWriter) Write(b []byte) (n int, err error) {
	n, err = w.Writer.Write(b)
	w.memory.Progress()
	return n, err
}
