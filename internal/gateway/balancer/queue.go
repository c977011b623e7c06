package balancer

import "time"

// queueReportAge is how long a report of a queue counts. Responses to this instance and relayed reports renew it
// about once a second.
const queueReportAge = 3 * time.Second

// Queue returns the number of requests that wait at an upstream by its last report, 0 if that is old.
func (b *Balancer) Queue(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[id]
	if s == nil || s.reportedAt == 0 || b.timer.Now().Sub(s.reportedAt) > queueReportAge {
		return 0
	}
	return int(s.waiting)
}
