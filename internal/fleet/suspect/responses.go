package suspect

import "wisteriakeel.example/wisteriakeel/internal/kernel/timer"

// maxRemembered is the number of parts after which half of the memory is given up early.
const maxRemembered = 8192

// Responses remembers with which parts of prompts requests at one instance got a response. It is
// not safe for concurrent use.
type Responses struct {
	// recent and earlier are two generations of parts with a response, and since is when the
	// recent one began.
	recent, earlier map[Part]bool
	since           timer.Instant
	watched         map[Part]bool
	watchedUntil    timer.Instant
	pending         map[Part]bool
}

// NewResponses returns an empty memory.
func NewResponses() *Responses {
	return &Responses{recent: map[Part]bool{}, earlier: map[Part]bool{}, watched: map[Part]bool{}, pending: map[Part]bool{}}
}

// Record records a response to a request with the parts.
func (r *Responses) Record(parts []Part, now timer.Instant) {
	r.age(now)
	for _, p := range parts {
		r.recent[p] = true
		if r.watched[p] && now.Before(r.watchedUntil) {
			r.pending[p] = true
		}
	}
}

// age starts a new generation if the recent one is old or large.
func (r *Responses) age(now timer.Instant) {
	switch age := now.Sub(r.since); {
	case age >= responseMemory:
		r.recent, r.earlier, r.since = map[Part]bool{}, map[Part]bool{}, now
	case age >= responseMemory/2 || len(r.recent) >= maxRemembered:
		r.recent, r.earlier, r.since = map[Part]bool{}, r.recent, now
	}
}

// Watch replaces the parts whose responses are reported. Recent responses are reported, too.
func (r *Responses) Watch(parts []Part, now timer.Instant) {
	r.age(now)
	watched := make(map[Part]bool, len(parts))
	for _, p := range parts {
		watched[p] = true
		if !r.watched[p] && (r.recent[p] || r.earlier[p]) {
			r.pending[p] = true
		}
	}
	r.watched, r.watchedUntil = watched, now.Add(2*watchDuration)
}

// Take returns the watched parts with a response since the last call.
func (r *Responses) Take() (parts []Part) {
	for p := range r.pending {
		parts = append(parts, p)
	}
	clear(r.pending)
	return parts
}

// Return takes back parts that could not be reported.
func (r *Responses) Return(parts []string) {
	for _, p := range parts {
		r.pending[Part(p)] = true
	}
}
