// Package retrybudget limits how often requests are sent to upstreams again. The budget
// belongs to the whole deployment. Every instance uses a part that is safe without
// knowing what the others do: a ratio of its own requests, and its share of a fixed number.
package retrybudget

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// windowBuckets is the number of buckets of a window. Requests and retries are counted
	// in the bucket of their time.
	windowBuckets = 10
	// safetyFactor is the part of the allowed ratio that is used, since requests counted
	// by one instance in one window may reach the upstreams in another.
	safetyFactor = 0.9
	// failureReserve is the part of the budget kept for requests whose upstream failed.
	// Without it, escalations to larger models used up the budget, and an upstream that
	// crashed in the middle of many streams left none to resume them elsewhere.
	failureReserve = 0.35
)

// Limits are the limits of the whole deployment.
type Limits struct {
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio float64
	// ExtraRetries is the number of retries allowed in addition, per window.
	ExtraRetries int
	Window       time.Duration
}

// bucket holds the counts of one part of the window.
type bucket struct {
	index             int64 // number of buckets since the start of the clock
	requests, retries float64
}

// Budget counts the requests and retries of one instance for each service. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	timer  timer.Service

	mu       sync.Mutex
	services map[string]*[windowBuckets]bucket
}

// New returns a budget with nothing counted yet.
func New(l Limits, t timer.Service) *Budget {
	return &Budget{limits: l, timer: t, services: map[string]*[windowBuckets]bucket{}}
}

// currentBucket returns all buckets of a service and the current one, which is cleared if it
// still holds the counts of an earlier window.
func (b *Budget) currentBucket(service string) (*[windowBuckets]bucket, *bucket) {
	buckets := b.services[service]
	if buckets == nil {
		buckets = &[windowBuckets]bucket{}
		b.services[service] = buckets
	}
	index := int64(b.timer.Now()) / max(int64(b.limits.Window)/windowBuckets, 1)
	c := &buckets[((index%windowBuckets)+windowBuckets)%windowBuckets]
	if c.index != index {
		*c = bucket{index: index}
	}
	return buckets, c
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, c := b.currentBucket(service)
	c.requests++
}

// Reason is why a request is sent again.
type Reason int

// Reasons.
const (
	// UpstreamFailure means that an upstream failed or refused the request.
	UpstreamFailure Reason = iota
	// LowConfidence means that an answer was dropped to ask a larger model.
	LowConfidence
)

// AllowRetry reports whether a request may be sent again, and counts the retry if so.
// instances is the number of instances that share the extra retries.
func (b *Budget) AllowRetry(service string, r Reason, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	buckets, c := b.currentBucket(service)
	requests, retries := 0.0, 0.0
	for _, o := range buckets {
		if c.index-o.index < windowBuckets {
			requests += o.requests
			retries += o.retries
		}
	}
	allowed := safetyFactor * (b.limits.RetryRatio*requests + float64(b.limits.ExtraRetries)/float64(max(instances, 1)))
	if r == LowConfidence {
		allowed *= 1 - failureReserve
	}
	// One retry per window is always allowed, or an instance with little traffic could not
	// retry its first request.
	if retries+1 > max(allowed, 1) {
		return false
	}
	c.retries++
	return true
}
