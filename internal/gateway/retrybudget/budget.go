// Package retrybudget bounds how often requests are sent to upstreams again. Every
// instance keeps a slice of the budget of the whole deployment that is safe without
// news of the others: a part of its own requests, and its part of a fixed number.
package retrybudget

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// cells divide the window; a repeat is counted in the cell of its time.
	cells = 10
	// safety is the part of the allowed ratio that is used, since the requests that
	// one instance counts in a window may arrive in another window at the upstreams.
	safety = 0.9
	// reserve is the part of the budget that is kept for requests whose upstream failed.
	// Without it, a crash of an upstream in the middle of many streams found the budget
	// spent on answers that were dropped for better ones.
	reserve = 0.35
)

// Limits are those of the whole deployment.
type Limits struct {
	// RetryRatio is the number of repeats for each request.
	RetryRatio float64
	// ExtraRetries repeats are allowed beside that.
	ExtraRetries int
	Window       time.Duration
}

type cell struct {
	number           int64
	requests, spends float64
}

// Budget is the slice of one instance for each service.
type Budget struct {
	limits Limits
	timer  timer.Service

	mu       sync.Mutex
	services map[string]*[cells]cell
}

// New returns an empty budget.
func New(l Limits, t timer.Service) *Budget {
	return &Budget{limits: l, timer: t, services: map[string]*[cells]cell{}}
}

func (b *Budget) cell(service string) (*[cells]cell, *cell) {
	ring := b.services[service]
	if ring == nil {
		ring = &[cells]cell{}
		b.services[service] = ring
	}
	number := int64(b.timer.Now()) / max(int64(b.limits.Window)/cells, 1)
	c := &ring[((number%cells)+cells)%cells]
	if c.number != number {
		*c = cell{number: number}
	}
	return ring, c
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, c := b.cell(service)
	c.requests++
}

// Reason is why a request is sent again.
type Reason int

// Reasons.
const (
	// UpstreamFailure is an upstream that failed or refused the request.
	UpstreamFailure Reason = iota
	// LowConfidence is an answer that was dropped for a better one.
	LowConfidence
)

// AllowRetry tells whether a request may be sent again and counts it if so. instances is
// the number of instances that share the extra repeats.
func (b *Budget) AllowRetry(service string, r Reason, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ring, c := b.cell(service)
	requests, spends := 0.0, 0.0
	for _, o := range ring {
		if c.number-o.number < cells {
			requests += o.requests
			spends += o.spends
		}
	}
	allowed := safety * (b.limits.RetryRatio*requests + float64(b.limits.ExtraRetries)/float64(max(instances, 1)))
	if r == LowConfidence {
		allowed *= 1 - reserve
	}
	if spends+1 > max(allowed, 1) {
		return false
	}
	c.spends++
	return true
}
