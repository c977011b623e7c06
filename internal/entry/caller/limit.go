package caller

import (
	"net/http"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
)

// requestLimiter limits the requests that each account has open at once. Over HTTP/1.1
// every open request holds one connection. Idle connections are not counted, since
// only their next request tells the account.
type requestLimiter struct {
	limit int

	mu   sync.Mutex
	open map[document.Account]int
}

func newRequestLimiter(limit int) *requestLimiter {
	return &requestLimiter{limit: limit, open: map[document.Account]int{}}
}

// acquire counts a request as open. It returns false if the account has reached the
// limit.
func (l *requestLimiter) acquire(a document.Account) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[a] >= l.limit {
		return false
	}
	l.open[a]++
	return true
}

// release ends a request that acquire counted.
func (l *requestLimiter) release(a document.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[a]--
	if l.open[a] == 0 {
		delete(l.open, a)
	}
}

// tooManyOpenRequests returns the refusal of a request above the account's limit.
func (h *Handler) tooManyOpenRequests() *refusal {
	metric.Int("caller.crowded").Add(1)
	r := h.unavailable(kindCapacity, "connections", "the account has too many open requests at this entry")
	r.status = http.StatusTooManyRequests
	return r
}

// gauge is the state of one queue, published by expvar.
type gauge struct {
	Service document.Service `json:"service"`
	Model   document.Model   `json:"model"`
	Running int              `json:"running"`
	Waiting int              `json:"waiting"`
}

// gauges returns the state of all queues.
func (h *Handler) gauges() any {
	list := []gauge{}
	for _, p := range h.allQueues() {
		running, waiting := p.queue.Size()
		list = append(list, gauge{Service: p.service, Model: p.model, Running: running, Waiting: waiting})
	}
	return list
}

// allQueues returns the queues created so far.
func (h *Handler) allQueues() []*upstreamQueue {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*upstreamQueue, 0, len(h.queues))
	for _, p := range h.queues {
		list = append(list, p)
	}
	return list
}
