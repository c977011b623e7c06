package sizeclass

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// buckets is the number of octaves of work, which reach to 134 million. The resolution of the boundary
	// is coarse, so that instances that see different requests find the same one.
	buckets = 27
	// workHalfLife is the time after which a request counts half. An instance sees few heavy
	// requests in a shorter time, and the parts should be the same at all instances.
	workHalfLife = time.Minute
	// While fewer than steadyRequests are recorded, a request counts half only after rareHalfLife.
	steadyRequests = 1000
	rareHalfLife   = 5 * time.Minute
	// decayInterval is the time between two applications of the decay.
	decayInterval = time.Second
)

// moments sums up requests: their number, their work, and the squares of that.
type moments struct {
	count, work, square float64
}

func (m *moments) add(o moments) {
	m.count += o.count
	m.work += o.work
	m.square += o.square
}

func (m moments) minus(o moments) moments {
	return moments{m.count - o.count, m.work - o.work, m.square - o.square}
}

// histogram holds the requests of the last minutes by their work.
type histogram struct {
	buckets   [buckets]moments
	total     moments
	decayedAt timer.Instant
}

func (h *histogram) add(w Work, now timer.Instant) {
	h.decay(now)
	v := float64(w)
	m := moments{1, v, v * v}
	h.buckets[bucketOf(w)].add(m)
	h.total.add(m)
}

// mean returns the mean work, at least 1.
func (h *histogram) mean() float64 {
	if h.total.count <= 0 {
		return 1
	}
	return max(h.total.work/h.total.count, 1)
}

// decay scales all requests down by the time since its last application.
func (h *histogram) decay(now timer.Instant) {
	if h.decayedAt == 0 {
		h.decayedAt = now
	}
	age := now.Sub(h.decayedAt)
	if age < decayInterval {
		return
	}
	halfLife := workHalfLife
	if h.total.count < steadyRequests {
		halfLife = rareHalfLife
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	h.decayedAt, h.total = now, moments{}
	for i := range h.buckets {
		b := &h.buckets[i]
		b.count, b.work, b.square = b.count*factor, b.work*factor, b.square*factor
		h.total.add(*b)
	}
}

// bucketOf returns the bucket of a work.
func bucketOf(w Work) int {
	if !(w > 1) {
		return 0
	}
	return min(int(math.Log2(float64(w))), buckets-1)
}

// bucketStart returns the smallest work of a bucket.
func bucketStart(bucket int) Work { return Work(math.Exp2(float64(bucket))) }

// split is the separation of the requests in the buckets from one on.
type split struct {
	bucket int
	// heavyWork is the part of the work that is that of the separated requests.
	heavyWork float64
	// waiting is the expected waiting time of all requests relative to that without separation.
	waiting float64
}

func (s split) valid() bool { return s.heavyWork >= minHeavyWork && s.heavyWork <= maxHeavyWork }

// bestSplit returns the valid split with the least waiting time.
func (h *histogram) bestSplit() (best split, ok bool) {
	light := moments{}
	for i := 1; i < buckets; i++ {
		light.add(h.buckets[i-1])
		if h.buckets[i-1].count == 0 {
			continue
		}
		if s := h.split(i, light); s.valid() && (!ok || s.waiting < best.waiting) {
			best, ok = s, true
		}
	}
	return best, ok
}

// splitAt returns the split at a bucket.
func (h *histogram) splitAt(bucket int) split {
	light := moments{}
	for _, b := range h.buckets[:bucket] {
		light.add(b)
	}
	return h.split(bucket, light)
}

// split returns the split of a bucket with the requests below it. The mean waiting time at a server that
// works one request off after the other grows with the rate of the requests times the mean square of their
// work (Pollaczek-Khinchine). Each part has upstreams in proportion to its work, so that all are
// equally utilized.
func (h *histogram) split(bucket int, light moments) split {
	heavy := h.total.minus(light)
	s := split{bucket: bucket, heavyWork: heavy.work / max(h.total.work, 1)}
	if !s.valid() {
		return s
	}
	separate := light.count*light.square/(1-s.heavyWork) + heavy.count*heavy.square/s.heavyWork
	s.waiting = separate / (h.total.count * h.total.square)
	return s
}
