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
		{"duplicate prefix of a host in two spellings", func(l *Layout) { l.Routes[1].Host, l.Routes[1].Prefix = "H.", "/a/" }},
		{"host without a name", func(l *Layout) { l.Routes[1].Host = "." }},
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

// Guards against a shorter prefix that hides a longer one, against a route that matches another host,
// and against a host that is only found in the spelling of the layout.
func TestMatch(t *testing.T) {
	l := validLayout()
	l.Routes = append(l.Routes,
		&Route{Name: "dot", Host: "Upper.Example.", Prefix: "/a/", Timeout: time.Second, Shares: []Share{{"s", 1}}},
		&Route{Name: "port", Host: "h:81", Prefix: "/a/", Timeout: time.Second, Shares: []Share{{"s", 1}}},
		&Route{Name: "v6", Host: "[fd00::A]", Prefix: "/a/", Timeout: time.Second, Shares: []Share{{"s", 1}}},
	)
	is.New(t).NoErr(l.Prepare())
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"},
		{"h", "/a/bc", "a"},
		{"h", "/a", ""},
		{"g", "/a/x", ""},
		{"H", "/a/bc", "a"},
		{"h.", "/a/bc", "a"},
		{"H.:80", "/a/bc", "a"},
		{"h:81", "/a/bc", "port"},
		{"h.:81", "/a/bc", "port"},
		{"h:81", "/a", ""},
		{"upper.example", "/a/", "dot"},
		{"UPPER.example:8227", "/a/", "dot"},
		{"[FD00::a]:80", "/a/", "v6"},
		{"", "/a/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := l.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// Guards against a key that belongs to no account, or to another one.
func TestClient(t *testing.T) {
	is := is.New(t)
	l := validLayout()
	is.NoErr(l.Prepare())
	is.Equal(l.Client("2").Name, Account("y"))
	is.Equal(l.Client("3"), nil)
}

// Guards against a committed layout that an instance can't use after an update, since an older build
// took two spellings of a host for two hosts.
func TestPrepareCommitted(t *testing.T) {
	is := is.New(t)
	l := validLayout()
	l.Routes[1].Host, l.Routes[1].Prefix = "H", "/a/"
	l.PrepareCommitted()
	is.Equal(l.Match("h", "/a/x").Name, "a")
	is.Equal(l.Match("H", "/a/x").Name, "a")
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
