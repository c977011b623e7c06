package outage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Services that documents may have besides those of all documents. guestService is dropped by some.
const (
	leftService  = "left"
	rightService = "right"
	slowService  = "slow"
	guestService = "guest"
)

// Paths of routes that change with the version.
const (
	movedPath   = "/moved/"       // to another service and back
	splitPath   = "/split/"       // between services, some of them with no weight
	innerPath   = "/moved/inner/" // dropped and added again within the prefix of another route
	comingPath  = "/coming-%d/"   // dropped and added again
	openPath    = "/open/"        // with and without an API key
	slowPath    = "/slow/"        // with changing time limits that its upstreams exceed
	guestPath   = "/guest/"       // of a service that comes and goes
	spelledPath = "/spelled/"     // for a host in changing spellings
)

const (
	comingRoutes = 4
	changingKeys = 4
	// slowAnswer is how long the upstreams of the slow service take, longer than all time limits of the slow route.
	slowAnswer = 2500 * time.Millisecond
)

// slowLimits are the time limits of the slow route.
var slowLimits = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1400 * time.Millisecond}

// hostSpellings are spellings of one host.
var hostSpellings = []string{soak.Host, "SOAK.example", "Soak.Example."}

// document returns the document of a version, which depends on nothing but the seed and the version.
func document(seed uint64, version int) soak.Document {
	random := rand.New(rand.NewPCG(seed, uint64(version)))
	d := soak.Document{
		Version: version, AddedPath: fmt.Sprintf("/added-%d/", version), APIKey: fmt.Sprint("key-", version), ExtraRoutes: extraRoutes,
		Services: []string{leftService, rightService, slowService},
	}
	if random.IntN(12) == 0 {
		d.ExtraRoutes = manyRoutes
	}
	pick := func(names ...string) string { return names[random.IntN(len(names))] }
	add := func(host, path string, limit time.Duration, public bool, shares ...soak.Share) {
		d.Routes = append(d.Routes, soak.Route{Host: host, Path: path, Shares: shares, Timeout: limit, Public: public})
	}
	add(soak.Host, movedPath, soak.RouteTimeout, false, soak.Share{Service: pick(leftService, rightService), Weight: 1})
	add(soak.Host, slowPath, slowLimits[random.IntN(len(slowLimits))], false, soak.Share{Service: slowService, Weight: 1})
	add(soak.Host, openPath, soak.RouteTimeout, random.IntN(2) == 0, soak.Share{Service: leftService, Weight: 1})
	add(pick(hostSpellings...), spelledPath, soak.RouteTimeout, false, soak.Share{Service: pick(leftService, rightService), Weight: 1})
	weights := [][2]int{{1, 0}, {0, 3}, {1, 1}, {90, 10}}[random.IntN(4)]
	add(soak.Host, splitPath, soak.RouteTimeout, false, soak.Share{Service: leftService, Weight: weights[0]}, soak.Share{Service: rightService, Weight: weights[1]})
	if random.IntN(2) == 0 {
		add(soak.Host, innerPath, soak.RouteTimeout, false, soak.Share{Service: soak.DeskService, Weight: 1})
	}
	for i := range comingRoutes {
		if random.IntN(2) == 0 {
			add(soak.Host, fmt.Sprintf(comingPath, i), soak.RouteTimeout, false, soak.Share{Service: pick(leftService, soak.DeskService), Weight: 1})
		}
	}
	if random.IntN(2) == 0 {
		d.Services = append(d.Services, guestService)
		add(soak.Host, guestPath, soak.RouteTimeout, false, soak.Share{Service: guestService, Weight: 1})
	}
	d.Accounts = []soak.ClientAccount{{Name: "red"}, {Name: "blue"}}
	for i := range changingKeys {
		if n := random.IntN(3); n < len(d.Accounts) {
			d.Accounts[n].Keys = append(d.Accounts[n].Keys, changingKey(i))
		}
	}
	return d
}

func changingKey(i int) string { return fmt.Sprint("changing-key-", i) }

// invalidDocuments are the ways in which a document is invalid, by name.
var invalidDocuments = []struct {
	name  string
	spoil func(d *soak.Document)
}{
	{"cut short", func(d *soak.Document) { d.Truncated = true }},
	{"unknown service", func(d *soak.Document) { d.Routes[0].Shares = []soak.Share{{Service: "nowhere", Weight: 1}} }},
	{"same host and prefix", func(d *soak.Document) {
		again := d.Routes[0]
		again.Host = strings.ToUpper(again.Host) + "."
		d.Routes = append(d.Routes, again)
	}},
	{"no weight", func(d *soak.Document) {
		d.Routes[0].Shares = []soak.Share{{Service: leftService}, {Service: rightService}}
	}},
	{"no time limit", func(d *soak.Document) { d.Routes[0].Timeout = 0 }},
	{"shared key", func(d *soak.Document) {
		d.Accounts[0].Keys, d.Accounts[1].Keys = []string{"shared-key"}, []string{"shared-key"}
	}},
}

// altered returns a document with the version of another and other content. mark tells its added
// route and its key apart from those of all others.
func altered(d soak.Document, mark string) soak.Document {
	d.AddedPath, d.APIKey = fmt.Sprintf("/%s-%d/", mark, d.Version), fmt.Sprint(mark, "-key-", d.Version)
	d.Routes, d.Accounts = slices.Clone(d.Routes), slices.Clone(d.Accounts)
	return d
}

// request is a request of the run to one instance.
type request struct {
	id              string
	to              *instance
	lifetime        any // identifies the process that was asked
	sent            timer.Instant
	host, path, key string
}

// outcome is what became of a request: a run by an upstream, or the status of a refusal.
type outcome struct {
	service, account string // of a run
	status           int    // of a refusal
}

// content is a document with lookup tables.
type content struct {
	document soak.Document
	text     string
	why      string // reason why it must never be in force; empty for a document that may be
	routes   map[string]soak.Route
	accounts map[string]string // by key
}

func newContent(d soak.Document, text, why string) *content {
	c := &content{document: d, text: text, why: why, routes: map[string]soak.Route{}, accounts: map[string]string{soak.APIKey: soak.Account, d.APIKey: soak.ChangingAccount}}
	add := func(path, service string) {
		c.routes[path] = soak.Route{Path: path, Shares: []soak.Share{{Service: service, Weight: 1}}, Timeout: soak.RouteTimeout}
	}
	for _, path := range []string{soak.OncePath, soak.ReadPath, d.AddedPath} {
		add(path, soak.DeskService)
	}
	add(soak.StreamPath, soak.PoolService)
	for i := range d.ExtraRoutes {
		add(d.ExtraPath(i), soak.DeskService)
	}
	for _, r := range d.Routes {
		c.routes[r.Path] = r
	}
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			c.accounts[k] = a.Name
		}
	}
	return c
}

// match returns the route of a path. All hosts of a run are spellings of one.
func (c *content) match(path string) (route soak.Route, ok bool) {
	for i := len(path) - 1; i >= 0 && !ok; i-- {
		if path[i] == '/' {
			route, ok = c.routes[path[:i+1]]
		}
	}
	return route, ok
}

// allows reports whether the document lets a request have an outcome.
func (c *content) allows(q *request, o outcome) bool {
	route, known := c.match(q.path)
	account, hasKey := c.accounts[q.key]
	permitted := hasKey || route.Public
	switch {
	case o.service == "" && o.status == 404:
		return !known
	case o.service == "" && (o.status == 401 || o.status == 403):
		return !permitted
	case o.service == "":
		return true
	case !known || !permitted || !route.Public && o.account != account:
		return false
	}
	return slices.ContainsFunc(route.Shares, func(s soak.Share) bool { return s.Service == o.service && s.Weight > 0 })
}

// owes reports whether the document lets a request run.
func (c *content) owes(q *request) bool {
	route, known := c.match(q.path)
	return known && (route.Public || c.accounts[q.key] != "")
}
