package caller

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// statement is the head of a response in which an upstream may state that it leaves or wants a pause.
type statement struct {
	*Handler
	upstream string
	born     int64
	status   int
	header   http.Header
	log      func(message string, fields ...zap.Field)
}

// statement returns the head of the response.
func (e *exchange) statement() *statement {
	return &statement{e.Handler, e.target.ID, e.target.Born, e.response.Status, e.response.Header, e.log}
}

// readLateResponse reads what the upstream states in a response that began after the caller had gone.
func (e *exchange) readLateResponse(status int, header http.Header) {
	l := e.Log.With(zap.Bool("late", true), zap.String("request", e.id))
	s := &statement{e.Handler, e.target.ID, e.target.Born, status, header, l.Info}
	s.readLeaving()
	s.readPause()
}

// ReadResponse reads what an upstream states in a response to a request of another instance, which uses
// a connection of this one.
func (h *Handler) ReadResponse(id string, born int64, r *http.Response) {
	s := &statement{h, id, born, r.StatusCode, r.Header, h.Log.With(zap.Bool("tunnel", true)).Info}
	s.readLeaving()
	s.readPause()
}

// Closed returns how long an upstream wants no requests of this instance; 0 if it takes some.
func (h *Handler) Closed(id string, born int64) time.Duration { return h.Balancer.Closed(id, born) }

// Refusal returns the response to a request of another instance that was not sent to its upstream. wait
// is how long the upstream wants no requests, 0 if that is not the reason.
func (h *Handler) Refusal(wait time.Duration) []byte {
	pause := ""
	if wait > 0 {
		pause = "Retry-After: " + strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return []byte("HTTP/1.1 503 Service Unavailable\r\n" + h.Protocol.NotExecuted + ": 1\r\n" + pause + "Content-Length: 0\r\n\r\n")
}
