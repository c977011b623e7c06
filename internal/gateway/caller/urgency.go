package caller

import (
	"slices"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
)

// urgencyScale maps priorities to the ranks of the upstreams' queues. The priority of the client account counts
// first. Most accounts have the same one, so that the ranks up to the next account priority in use are left
// for the priority of the route, and where some are still left, for light requests before heavy ones.
type urgencyScale struct {
	layout *layout.Layout // for which it was built
	ranks  int
	// accounts and routes are the priorities in use, in ascending order.
	accounts, routes []int
}

// newUrgencyScale returns the scale for the accounts and the routes of a layout.
func newUrgencyScale(l *layout.Layout, ranks int) *urgencyScale {
	s := &urgencyScale{layout: l, ranks: ranks}
	keepsRoute := !l.RequiresKey() // some account has no priority of its own
	for _, c := range l.Clients {
		if c.Priority >= 0 {
			s.accounts = append(s.accounts, c.Priority)
		} else {
			keepsRoute = true
		}
	}
	for _, r := range l.Routes {
		if !r.SessionAffinity {
			continue // the queues of other services have no ranks
		}
		s.routes = append(s.routes, r.Priority)
		if keepsRoute || r.Public {
			s.accounts = append(s.accounts, r.Priority)
		}
	}
	slices.Sort(s.accounts)
	slices.Sort(s.routes)
	s.accounts, s.routes = slices.Compact(s.accounts), slices.Compact(s.routes)
	return s
}

// rank returns the rank of a request with the priority of an account, on a route with a priority of its own. A
// priority that is not in use counts as the next one.
func (s *urgencyScale) rank(account, route int, heavy bool) int {
	i, _ := slices.BinarySearch(s.accounts, account)
	j, _ := slices.BinarySearch(s.routes, route)
	n, m := max(len(s.accounts), 1), max(len(s.routes), 1)
	i, j = min(i, n-1), min(j, m-1)
	first, next := s.ranks*i/n, s.ranks*(i+1)/n
	width := next - first
	if width < m {
		return min(first+j*max(width, 1)/m, s.ranks-1)
	}
	// The last routes have a rank of their own for heavy requests.
	firstSplit := m - min(width-m, m)
	rank := first + j + max(j-firstSplit, 0)
	if heavy && j >= firstSplit {
		rank++
	}
	return rank
}

// urgency returns the rank of the request in the upstream's queue.
func (q *request) urgency() int {
	s := q.urgencies.Load()
	if s == nil || s.layout != q.layout {
		s = newUrgencyScale(q.layout, q.Protocol.UrgencyRanks)
		q.urgencies.Store(s)
	}
	return s.rank(q.priority, q.route.Priority, q.plan.IsHeavy(q.work))
}
