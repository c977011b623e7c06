package httpserver

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// Accounted makes a server account for its connections and their headers, and lets its requests account for what
// they hold until they end. It returns the listener to serve.
func Accounted(s *http.Server, l net.Listener, b *memory.Budget) net.Listener {
	s.ConnState, s.ConnContext, s.Handler = recordState, withConnection, AccountRequests(s.Handler)
	return &halfReadListener{Listener: l, halfRead: new(atomic.Int64), budget: b, maxHeader: func() int { return s.MaxHeaderBytes }}
}

// AccountRequests returns a handler that accounts for what requests hold until they end. If memory is short, the
// reading of their body ends, unless they begin a request of their own; see memory.Connection.Begin.
func AccountRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := memory.FromContext(r.Context())
		held.Begin(bodyReading{w})
		defer held.End()
		h.ServeHTTP(w, r)
		if r.ContentLength != 0 && !held.Evicted() {
			LimitRest(w)
		}
	})
}

// restTimeout is how long the rest of a body may take to arrive after the response.
const restTimeout = time.Second

// LimitRest limits the time in which net/http reads the rest of a body after the response, to use the connection
// again. It reads up to 256 KB without a limit of its own, so that a client could keep the connection, and the process from
// ending, as long as it likes.
func LimitRest(w http.ResponseWriter) {
	// An error means that the connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
}

// bodyReading is a request whose body is read.
type bodyReading struct{ writer http.ResponseWriter }

// GiveBackMemory ends the reading of the body. What has arrived whole takes little time.
func (b bodyReading) GiveBackMemory() { StopReading(b.writer) }

// StopReading makes all further reads of the body of a request fail. Without it net/http reads some of the rest
// after the response, without a time limit.
func StopReading(w http.ResponseWriter) {
	// An error means that the connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
