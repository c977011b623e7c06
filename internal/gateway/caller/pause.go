package caller

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/retryafter"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// readPause reads how long an upstream that refused the request, or failed, wants no requests of this
// instance.
func (s *statement) readPause() {
	value := s.header.Get("Retry-After")
	if value == "" || s.status != http.StatusServiceUnavailable {
		return
	}
	d, err := retryafter.Parse(value)
	if err != nil {
		s.log("upstream asks for an invalid pause", zap.String("upstream", s.upstream), zap.String("value", value), journal.Error(err))
	}
	s.metrics.Pauses.Add(1)
	since := s.Balancer.Pause(s.upstream, s.born, d)
	s.log("upstream asks for a pause", zap.String("upstream", s.upstream), zap.Int64("born", s.born), zap.String("value", value),
		zap.Duration("pause", d), zap.Duration("since", since))
}

// awaitPauseEnd waits for the end of a pause. It returns false if the request was refused before, or
// if its time ends earlier or too many others wait.
func (q *request) awaitPauseEnd(wait time.Duration, refused bool) bool {
	q.pauseWait = wait
	defer q.waitingForRoom.Add(-1)
	if q.waitingForRoom.Add(1) > maxWaitingForRoom || refused || wait >= q.remaining()-minRemaining {
		return false
	}
	if timer.Sleep(q.ctx, q.Timer, wait) != nil {
		return false
	}
	q.pauseWait = 0
	return true
}

// turnPatience returns how long the request still waits for its turn after a pause, half of the time that
// remained when it began to wait: one that is sent near its end runs in vain.
func (q *request) turnPatience() time.Duration {
	now := q.Timer.Now()
	if q.turnDeadline == 0 {
		q.turnDeadline = now.Add(q.remaining() / 2)
	}
	return q.turnDeadline.Sub(now)
}

// awaitTurn waits until an upstream that returns from a pause takes another request: when one of its
// requests ends, or after a time. It returns false if too many others wait.
func (q *request) awaitTurn(wait time.Duration) bool {
	q.noRoom = true
	_, ok := q.awaitVacated(wait)
	return ok
}
