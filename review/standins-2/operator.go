package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// configuration is the body of Configuration.Replace.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

// tenant is a client account with its keys.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// Names of the configuration that the cases use.
const (
	host        = "desk.example"
	deskService = "visit-desk"
	bookPath    = "/book/"
	readPath    = "/read/"
	keyOfFirst  = "key-of-first-office"
	keyOfSecond = "key-of-second-office"
)

// smallConfiguration returns a configuration with one service of plain workers and two tenants: bookings may run
// once, look-ups may be repeated.
func smallConfiguration(version int) *configuration {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
			"service": deskService, "max_attempts": attempts, "public": false, "session_affinity": false, "stream_resumption": false,
		}
	}
	return &configuration{
		Version: version,
		Routes:  []map[string]any{route("seal-book", bookPath, "non_idempotent", 1), route("journal-read", readPath, "idempotent", 2)},
		Services: []map[string]any{
			{"name": deskService, "health_check_path": "/health", "connection_limit": 130, "protocol": "h1", "tls": false},
		},
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []tenant{{"first-office", []string{keyOfFirst}}, {"second-office", []string{keyOfSecond}}},
	}
}

// operator sends orders. It goes to the next machine after a failure, a 5xx or a second without an answer.
type operator struct {
	*play
	next int
	// first, if set, is the machine that the operator calls before all others.
	first *machine
	// acknowledgedBy is the machine that acknowledged the last order.
	acknowledgedBy *machine
}

// target returns the machine to call.
func (o *operator) target() *machine {
	o.next++
	if o.first != nil && o.next%2 == 1 {
		return o.first
	}
	all := o.cluster.machines
	return all[o.next%len(all)]
}

// order sends an order to one machine after the other until it gets a clear answer.
func (o *operator) order(path, body string, limit time.Duration) (status int) {
	end := time.Now().Add(limit)
	for pause := 50 * time.Millisecond; time.Now().Before(end); pause = min(2*pause, 800*time.Millisecond) {
		m := o.target()
		r, err := callWithin(2*time.Second, http.MethodPost, "http://"+net.JoinHostPort(m.ip, controlPort)+"/wisteriakeel/"+path, body)
		if err != nil {
			o.log("operator: %s at %s: no answer (%v)", path, m.name, err)
		} else {
			o.log("operator: %s at %s: %d", path, m.name, r.status)
			if r.status < 500 && r.status != http.StatusTooManyRequests && r.status != http.StatusRequestTimeout {
				o.acknowledgedBy = m
				return r.status
			}
		}
		time.Sleep(pause)
	}
	return 0
}

// replace sends a configuration until it is acknowledged.
func (o *operator) replace(c *configuration, limit time.Duration) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	ok := o.order("Configuration.Replace", string(body), limit) == http.StatusOK
	o.log("operator: configuration %d acknowledged: %t", c.Version, ok)
	return ok
}

// readVersion reads the configuration at one machine. It returns 0 without a clear answer.
func (o *operator) readVersion(m *machine) int {
	r, err := call(http.MethodGet, "http://"+net.JoinHostPort(m.ip, controlPort)+"/wisteriakeel/Configuration.Read", "")
	if err != nil || r.status != http.StatusOK {
		return 0
	}
	var c struct {
		Version int `json:"version"`
	}
	if json.Unmarshal([]byte(r.body), &c) != nil {
		return 0
	}
	return c.Version
}

// readNewest reads the configuration at one machine after the other for some time and returns the highest version.
func (o *operator) readNewest(d time.Duration) (newest int) {
	reads := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := o.target()
		v := o.readVersion(m)
		reads++
		newest = max(newest, v)
	}
	o.log("operator: %d reads of the configuration over %s, the newest version in the answers is %d (0: no answer with one)", reads, d, newest)
	return newest
}
