package layout

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func validLayout() *Layout {
	return &Layout{
		Version: 1, Pools: []*Pool{{Name: "s"}, {Name: "t"}},
		Routes: []*Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Shares: []Share{{"s", 1}}},
			{Name: "ab", Host: "h", Prefix: "/a/b/", Timeout: time.Second, Shares: []Share{{"s", 3}, {"t", 1}}},
		},
		Clients: []*Client{{Name: "x", Keys: []string{"1"}}, {Name: "y", Keys: []string{"2"}}},
	}
}

// Guards against accepting a layout that contradicts itself or lacks a required value.
func TestPrepare(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *Layout)
	}{
		{"unknown service", func(l *Layout) { l.Routes[0].Shares[0].Service = "none" }},
		{"duplicate prefix", func(l *Layout) { l.Routes[1].Prefix = "/a/" }},
		{"no weight", func(l *Layout) { l.Routes[0].Shares[0].Weight = 0 }},
		{"negative weight", func(l *Layout) { l.Routes[1].Shares[1].Weight = -3 }},
		{"no timeout", func(l *Layout) { l.Routes[0].Timeout = 0 }},
		{"key of two accounts", func(l *Layout) { l.Clients[1].Keys = []string{"1"} }},
		{"prefix without a trailing slash", func(l *Layout) { l.Routes[0].Prefix = "/a" }},
		{"duplicate service", func(l *Layout) { l.Pools[1].Name = "s" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := validLayout()
			is.NoErr(l.Prepare())
			c.change(l)
			is.True(errors.Is(l.Prepare(), ErrInvalid))
		})
	}
}

// Guards against a shorter prefix that hides a longer one, and against a route that matches
// another host.
func TestMatch(t *testing.T) {
	is := is.New(t)
	l := validLayout()
	is.NoErr(l.Prepare())
	is.Equal(l.Match("h", "/a/b/c").Name, "ab")
	is.Equal(l.Match("h", "/a/bc").Name, "a")
	is.Equal(l.Match("h", "/a"), nil)
	is.Equal(l.Match("g", "/a/x"), nil)
	is.Equal(l.Client("2").Name, Account("y"))
	is.Equal(l.Client("3"), nil)
}

// Guards against traffic that is not split according to the weights.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := validLayout().Routes[1]
	counts := map[Service]int{}
	for i := range 100 {
		counts[r.PickService(float64(i)/100)]++
	}
	is.Equal(counts, map[Service]int{"s": 75, "t": 25})
}
