package balancer

// TryRequest is RequestSent for a candidate that Pick returned, unless it has no room for another
// request of this instance any more.
func (b *Balancer) TryRequest(c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(c, b.timer.Now()) {
		return false
	}
	b.requestSent(c.ID)
	return true
}

// RequestSent records that a request is sent to an upstream.
func (b *Balancer) RequestSent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestSent(id)
}

// requestSent is RequestSent for callers that hold b.mu.
func (b *Balancer) requestSent(id string) {
	s := b.state(id)
	s.inflight++
	s.pending++
}

// Inflight returns the number of requests of this instance that an upstream has not done.
func (b *Balancer) Inflight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).inflight
}

// ResponseStarted records that the response to a request has started.
func (b *Balancer) ResponseStarted(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).pending--
}

// RequestDone records the outcome of a request; started says whether ResponseStarted was
// called for it.
func (b *Balancer) RequestDone(id string, o Outcome, started bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inflight--
	if !started {
		s.pending--
	}
	if s.inflightAtReport > s.inflight {
		s.inflightAtReport = s.inflight
		s.running = max(s.running-1, 0)
	}
	if s.brittle != nil || s.pause != nil {
		close(b.vacated)
		b.vacated = make(chan struct{})
	}
	now := b.timer.Now()
	s.failureRate, s.failureRateAt = s.currentFailureRate(now), now
	switch o {
	case Succeeded:
		s.connectFailures = 0
		s.failureRate *= 1 - failureSmoothing
	case Failed:
		s.failureRate += failureSmoothing * (1 - s.failureRate)
	case Interrupted:
		s.failureRate += 2 * failureSmoothing * (1 - s.failureRate)
	case Unreachable:
		s.connectFailures++
		backoff := min(initialBackoff<<min(s.connectFailures-1, 5), maxBackoff)
		s.backoffUntil = now.Add(backoff)
	case Refused:
		if s.brittle != nil {
			b.reduce(s.brittle)
		}
		s.waiting, s.reportedAt = max(s.waiting, 1)*refusalQueueGrowth, now
	case Inconclusive:
	}
}
