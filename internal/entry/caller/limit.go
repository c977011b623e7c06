package caller

import (
	"net/http"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
)

// connections bounds the requests that each account has open at once. Over
// HTTP/1.1 every open request holds one connection; idle ones are not counted,
// since their account is only known by the next request.
type connections struct {
	most int

	mu   sync.Mutex
	open map[document.Account]int
}

func newConnections(most int) *connections {
	return &connections{most: most, open: map[document.Account]int{}}
}

// enter counts a request; it returns false if the account has too many.
func (c *connections) enter(a document.Account) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[a] >= c.most {
		return false
	}
	c.open[a]++
	return true
}

func (c *connections) leave(a document.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[a]--
	if c.open[a] == 0 {
		delete(c.open, a)
	}
}

// crowded is the refusal of a request beyond the bound.
func (h *Handler) crowded() *refusal {
	metric.Int("caller.crowded").Add(1)
	r := h.busy(kindCapacity, "connections", "the account has too many open requests at this entry")
	r.status = http.StatusTooManyRequests
	return r
}

// gauge is the state of one queue as expvar shows it.
type gauge struct {
	Service document.Service `json:"service"`
	Model   document.Model   `json:"model"`
	Running int              `json:"running"`
	Waiting int              `json:"waiting"`
}

// gauges returns the state of all queues.
func (h *Handler) gauges() any {
	list := []gauge{}
	for _, p := range h.places() {
		running, waiting := p.queue.Size()
		list = append(list, gauge{Service: p.service, Model: p.model, Running: running, Waiting: waiting})
	}
	return list
}

// places lists the queues that exist.
func (h *Handler) places() []*place {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*place, 0, len(h.queues))
	for _, p := range h.queues {
		list = append(list, p)
	}
	return list
}
