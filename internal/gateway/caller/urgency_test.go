package caller

import (
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
)

// Guards against a route's priority that counts before that of the client account, against ranks that are left
// unused while priorities share one, and against ranks that upstreams don't know.
func TestUrgency(t *testing.T) {
	for _, c := range []struct {
		name             string
		accounts, routes []int
		ranks            map[[3]int]int // by the priority of the account and the route, and 1 if heavy
	}{
		{"all accounts alike", []int{1, 1}, []int{0, 1, 2}, map[[3]int]int{{1, 0, 0}: 0, {1, 0, 1}: 1, {1, 1, 0}: 2, {1, 2, 0}: 4, {1, 2, 1}: 5}},
		{"three account priorities", []int{0, 1, 2}, []int{0, 1, 2}, map[[3]int]int{{0, 0, 0}: 0, {0, 2, 1}: 2, {1, 0, 0}: 3, {1, 2, 0}: 5, {2, 0, 0}: 6, {2, 2, 0}: 8, {2, 2, 1}: 9}},
		{"more than fit", []int{0, 1, 2, 3, 4, 5}, []int{0, 1, 2}, nil},
		{"many", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, []int{0, 1}, nil},
		{"accounts have the priority of the route", []int{-1}, []int{0, 1, 2}, map[[3]int]int{{0, 0, 0}: 0, {1, 1, 0}: 4, {2, 2, 1}: 9}},
		{"no accounts", nil, []int{2}, map[[3]int]int{{2, 2, 0}: 0, {2, 2, 1}: 1}},
		{"no routes", []int{1}, nil, map[[3]int]int{{1, 0, 0}: 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &layout.Layout{}
			for _, p := range c.accounts {
				l.Clients = append(l.Clients, &layout.Client{Priority: p})
			}
			for _, p := range c.routes {
				l.Routes = append(l.Routes, &layout.Route{Priority: p, SessionAffinity: true})
			}
			s := newUrgencyScale(l, 10)
			for k, rank := range c.ranks {
				is.Equal(s.rank(k[0], k[1], k[2] == 1), rank)
			}
			last, lastAccount, lastAccountRank := 0, -1, -1
			for _, account := range s.accounts {
				for _, route := range s.routes {
					for _, heavy := range []bool{false, true} {
						rank := s.rank(account, route, heavy)
						is.True(rank >= last && rank < 10)
						if account != lastAccount {
							is.True(rank > lastAccountRank || len(s.accounts) > 10)
							lastAccount = account
						}
						last = rank
					}
				}
				lastAccountRank = last
			}
		})
	}
}
