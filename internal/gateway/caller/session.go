package caller

import (
	"net/http"
	"time"
)

// minSessionRetry is the shortest Retry-After of a request whose session is displaced.
const minSessionRetry = 10 * time.Millisecond

// checkSession refuses the request and returns false if a roll-out runs and the version that ran the
// session's last request serves no more: each version would move the session in the middle of the
// roll-out. A request that the caller sends once the session counts as ended begins a new one. It
// would not help to hold the request until then: it was sent within the session.
func (q *request) checkSession() bool {
	if r := q.View.Rollout(q.service); !q.hasSession || r == nil || r.GetShare() >= allTraffic {
		return true
	}
	wait := q.View.DisplacedFor(q.service, q.sessionHash)
	if wait <= 0 {
		return true
	}
	return q.rejectUntil(http.StatusServiceUnavailable, "the session's version serves no more", max(wait, minSessionRetry))
}
