// Package permit keeps the rate limits that upstreams state, and those of cold upstreams, for all
// instances together. The leader lends permits, each for one request to one upstream, and an instance
// sends a request to an upstream with a limit only with a permit. The package does no I/O.
package permit

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// Lifetime is how long a permit is valid, from before the instance asked for it. In a window
	// of 4 s, requests can arrive on permits of 4.5 s.
	Lifetime = 500 * time.Millisecond
	// burst is the time for which permits accumulate while nobody asks. At least one does.
	burst = 500 * time.Millisecond
	// minRate is the rate at which permits are lent if an upstream states a lower one. Without
	// responses nobody would learn that the limit has ended.
	minRate = Rate(0.2)
	// maxRate is the highest rate that counts as a limit.
	maxRate = Rate(1e6)
)

// Rate is a number of requests a second.
type Rate float64

// ParseRate parses the rate that an upstream states.
func ParseRate(s string) (Rate, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, errors.Wrap(err, "rate limit")
	}
	if !(f >= 0) || Rate(f) > maxRate {
		return 0, errors.Newf("rate limit: expected a number from 0 to %g, found %q", float64(maxRate), s)
	}
	return Rate(f), nil
}

// Limit is the limit that an incarnation of an upstream states.
type Limit struct {
	Born int64 // incarnation
	Rate Rate
}

// bucket holds the permits of one upstream that are not lent yet.
type bucket struct {
	limit     Limit
	permits   float64
	updatedAt timer.Instant
}

// Lender lends the permits of the whole deployment. It is not safe for concurrent use.
type Lender struct {
	buckets map[string]*bucket     // by upstream id
	cold    map[string]*coldBucket // of cold upstreams, by id
}

// NewLender returns a lender that knows no limit.
func NewLender() *Lender {
	return &Lender{buckets: map[string]*bucket{}, cold: map[string]*coldBucket{}}
}

// Set records the limit of an upstream. Permits begin to accumulate then: the permits of a former
// leader may still be in use.
func (l *Lender) Set(id string, limit Limit, now timer.Instant) {
	b := l.buckets[id]
	if b == nil || b.limit.Born != limit.Born {
		l.buckets[id] = &bucket{limit: limit, updatedAt: now}
		return
	}
	b.refill(now)
	b.limit = limit
}

// Lift forgets the limit of an upstream.
func (l *Lender) Lift(id string) { delete(l.buckets, id) }

// rate returns the rate at which permits are lent.
func (b *bucket) rate() float64 { return float64(max(b.limit.Rate, minRate)) }

// refill adds the permits of the time since the last call.
func (b *bucket) refill(now timer.Instant) {
	capacity := math.Max(1, b.rate()*burst.Seconds())
	b.permits = math.Min(capacity, b.permits+b.rate()*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// Lend returns how many of the wanted permits are lent, and how long after now the next one will
// be available if there are fewer. Without a limit none are needed, and it returns limited false.
func (l *Lender) Lend(id string, born int64, wanted int, now timer.Instant) (lent int, wait time.Duration, limited bool) {
	b := l.buckets[id]
	if b == nil || b.limit.Born != born {
		return 0, 0, false
	}
	b.refill(now)
	lent = min(wanted, int(b.permits))
	b.permits -= float64(lent)
	if lent < wanted {
		wait = time.Duration((1 - b.permits) / b.rate() * float64(time.Second))
	}
	return lent, wait, true
}
