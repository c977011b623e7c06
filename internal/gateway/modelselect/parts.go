package modelselect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// partLifetime is how long the confidence for a prompt is remembered. Models change rarely.
	partLifetime = time.Minute
	// maxParts limits the prompts that are remembered; the oldest are forgotten first.
	maxParts = 4096
)

// parts remembers the confidence of the smallest model by the last part of the prompt. The same prompt
// gets the same confidence again.
type parts struct {
	byHash map[uint64]*partConfidence
	// order holds the hashes in the order of their arrival, from next on.
	order []uint64
	next  int
}

// partConfidence is the confidence for a prompt.
type partConfidence struct {
	confidence Confidence
	at         timer.Instant
}

// partHash identifies a prompt of an account. The account is part of it, so that none can plant the
// confidence for the prompt of another one.
func partHash(r *Request) uint64 {
	d := xxhash.New()
	// Writes to the digest never fail.
	_, _ = d.WriteString(string(r.Service) + "\x00" + string(r.Models[0]) + "\x00" + string(r.Account))
	return d.Sum64() ^ r.Part
}

// find returns the confidence of the smallest model in its last answer to the same prompt.
func (p *parts) find(r *Request, now timer.Instant) (c Confidence, ok bool) {
	if r.Part == 0 {
		return Unreported, false
	}
	known := p.byHash[partHash(r)]
	if known == nil || now.Sub(known.at) > partLifetime {
		return Unreported, false
	}
	return known.confidence, true
}

// store remembers the confidence of the smallest model for a prompt.
func (p *parts) store(r *Request, c Confidence, now timer.Instant) {
	if r.Part == 0 {
		return
	}
	h := partHash(r)
	if known := p.byHash[h]; known != nil {
		known.confidence, known.at = c, now
		return
	}
	if len(p.order) < maxParts {
		p.order = append(p.order, h)
	} else {
		delete(p.byHash, p.order[p.next])
		p.order[p.next] = h
		p.next = (p.next + 1) % maxParts
	}
	p.byHash[h] = &partConfidence{c, now}
}
