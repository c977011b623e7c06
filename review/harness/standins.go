package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configuration.
const (
	host       = "signing.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
	deskPrefix = "/seal/"
	poolPrefix = "/draft/"
	desk       = "visit-desk"
	pool       = "wisteria-pool"
	smallModel = "daka510000"
	largeModel = "rada7437b5"
)

// configuration returns a configuration with one non-idempotent route and, with pool, one route for streams
// that may not be resumed and whose model the system chooses.
func configuration(version int, withPool bool) []byte {
	routes := []any{map[string]any{
		"name": "r-seal", "host": host, "path_prefix": deskPrefix, "kind": "non_idempotent", "service": desk, "max_attempts": 1,
		"timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "public": false,
	}}
	services := []any{map[string]any{"name": desk, "health_check_path": "/health", "connection_limit": 130, "protocol": "h1", "tls": false}}
	if withPool {
		routes = append(routes, map[string]any{
			"name": "r-draft", "host": host, "path_prefix": poolPrefix, "kind": "streaming", "service": pool, "max_attempts": 3,
			"timeout_ms": 20000, "target_latency_ms": 1500, "gap_target_ms": 1000, "priority": 1, "public": false,
			"session_affinity": true, "stream_resumption": false, "sizes": []string{smallModel, largeModel},
		})
		services = append(services, map[string]any{
			"name": pool, "health_check_path": "/health", "connection_limit": 390, "protocol": "h1", "tls": false,
			"inference_engine": map[string]any{"slots": 64, "kv_cache_tokens": 761998, "models": []any{
				map[string]any{"name": smallModel, "cost": 0.018}, map[string]any{"name": largeModel, "cost": 0.13},
			}},
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	})
	return body
}

// call makes one call to the control plane of a machine. Callers allow a second.
func call(m *machine, method, path string, body []byte) (status int, answer []byte, err error) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, "http://"+m.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	answer, err = io.ReadAll(r.Body)
	return r.StatusCode, answer, err
}

// replaceConfiguration sends a configuration as the operator does until it is acknowledged: to one machine after
// the other, with increasing backoff. It returns the machine that acknowledged it, or nil.
func (c *cluster) replaceConfiguration(body []byte, limit time.Duration) *machine {
	backoff := 20 * time.Millisecond
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		m := c.machines[i%len(c.machines)]
		status, _, err := call(m, http.MethodPost, "/wisteriakeel/Configuration.Replace", body)
		c.record.printf("operator: Configuration.Replace to %s: %s", m.name, outcome(status, err))
		if err == nil && status == http.StatusOK {
			return m
		}
		time.Sleep(backoff)
		backoff = min(backoff*2, 500*time.Millisecond)
	}
	return nil
}

// readBack reads the configuration at all machines for some time. It returns the first answer, or nil.
func (c *cluster) readBack(limit time.Duration) []byte {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, m := range c.machines {
			status, answer, err := call(m, http.MethodGet, "/wisteriakeel/Configuration.Read", nil)
			c.record.printf("operator: Configuration.Read at %s: %s", m.name, outcome(status, err))
			if err == nil && status == http.StatusOK {
				return answer
			}
		}
	}
	return nil
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(status)
}

// run is a request that a worker ran.
type run struct {
	id, model, worker string
	at                time.Time
}

// worker is a stand-in for a worker.
type worker struct {
	cluster  *cluster
	id       string
	service  string
	zone     string
	born     int64
	listener net.Listener
	server   *http.Server
	// confidence is that of the answers of the small model.
	confidence int
	quiet      atomic.Bool // sends no more liveness reports
	sequence   atomic.Int64

	mu   sync.Mutex
	runs []run
	done chan struct{}
}

func (c *cluster) newWorker(service string, index int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		cluster: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: c.site.zones[index%3], born: time.Now().UnixMilli(),
		listener: l, confidence: 90, done: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.reportLoop()
	c.record.printf("worker: %s of %s at %s", w.id, service, l.Addr())
	return w, nil
}

func (w *worker) close() {
	close(w.done)
	_ = w.server.Close()
}

// reportLoop sends liveness reports, each to a random machine and then to others until one acknowledges it.
func (w *worker) reportLoop() {
	ticks := time.NewTicker(1200 * time.Millisecond)
	defer ticks.Stop()
	for {
		if !w.quiet.Load() {
			w.report()
		}
		select {
		case <-ticks.C:
		case <-w.done:
			return
		}
	}
}

func (w *worker) report() {
	for _, i := range rand.Perm(len(w.cluster.machines)) {
		if w.quiet.Load() {
			return
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": w.sequence.Add(1), "born": w.born,
		})
		status, _, err := call(w.cluster.machines[i], http.MethodPost, "/wisteriakeel/Instances.Heartbeat/"+w.id, body)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

// deregister says that the worker leaves, to one machine, and reports whether that is acknowledged.
func (w *worker) deregister(m *machine) bool {
	w.quiet.Store(true)
	time.Sleep(1300 * time.Millisecond) // the last report has arrived
	body, _ := json.Marshal(map[string]any{"sequence": w.sequence.Add(1), "born": w.born})
	status, _, err := call(m, http.MethodPost, "/wisteriakeel/Instances.Deregister/"+w.id, body)
	return err == nil && status == http.StatusOK
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	h := out.Header()
	id := q.Header.Get("X-Wisteriakeel-Attempt-Id")
	h.Set("X-Wisteriakeel-Attempt-Id", id)
	if expected := q.Header.Get("X-Wisteriakeel-Expected-Instance"); expected != "" && expected != w.id {
		h.Set("X-Wisteriakeel-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	model := q.Header.Get("X-Wisteriakeel-Model")
	w.mu.Lock()
	w.runs = append(w.runs, run{id, model, w.id, time.Now()})
	w.mu.Unlock()
	w.cluster.record.printf("worker: %s runs %s %s", w.id, id, model)
	h.Set("X-Wisteriakeel-Response-Signature", "3e1b.07.5a2."+id)
	if w.service == desk {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(out, "sealed "+id)
		return
	}
	confidence := 90
	if model == smallModel {
		confidence = w.confidence
	}
	h.Set("X-Wisteriakeel-Confidence", fmt.Sprint(confidence))
	h.Set("X-Wisteriakeel-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for i := range 8 {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: part %d of %s\n\n", i+1, i+1, id)
		if f, ok := out.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 without a whole answer
}

// traffic sends requests, one after the other in each of several clients, until stop is closed.
type traffic struct {
	cluster  *cluster
	path     string
	model    string
	interval time.Duration

	mu      sync.Mutex
	answers []answer
}

func (t *traffic) run(clients int, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wg.Go(func() { t.client(i, end) })
	}
	wg.Wait()
}

// client asks the registry where to connect, keeps the answer for its time and connects there itself.
func (t *traffic) client(index int, end time.Time) {
	c := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	var addresses []string
	var validUntil time.Time
	for time.Now().Before(end) {
		if time.Now().After(validUntil) {
			if list, ttl := t.resolve(index); len(list) > 0 {
				addresses, validUntil = list, time.Now().Add(ttl)
			}
		}
		if len(addresses) > 0 {
			t.send(c, addresses[rand.IntN(len(addresses))])
		}
		time.Sleep(t.interval)
	}
}

// resolve asks up to three machines, those of the client's zone first.
func (t *traffic) resolve(index int) ([]string, time.Duration) {
	zone := t.cluster.site.zones[index%3]
	c := &http.Client{Timeout: time.Second}
	for k := range 3 {
		m := t.cluster.machines[(index+k)%len(t.cluster.machines)]
		r, err := c.Get("http://" + m.address(registryPort) + "/wisteriakeel/resolution?name=" + host + "&region=" + t.cluster.site.region + "&zone=" + zone)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(r.Body).Decode(&body)
		_ = r.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses, time.Duration(min(body.TTLS, 5) * float64(time.Second))
		}
	}
	return nil, 0
}

func (t *traffic) send(c *http.Client, address string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	q, _ := http.NewRequest(http.MethodPost, "http://"+address+t.path+"2f", strings.NewReader("one request "+id))
	q.Host = host
	q.Header.Set("X-Wisteriakeel-Attempt-Id", id)
	q.Header.Set("Authorization", "Token "+apiKey)
	deadline := 1500 * time.Millisecond
	if t.model != "" {
		deadline = 20 * time.Second
		q.Header.Set("X-Wisteriakeel-Model", t.model)
		q.Header.Set("X-Wisteriakeel-Token-Usage", "826,48")
		q.Header.Set("X-Wisteriakeel-Prompt-Prefix", "5c1e07a2:198,"+id[:8]+":628")
	}
	q.Header.Set("X-Wisteriakeel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a := answer{id: id, sent: time.Now()}
	timer := time.AfterFunc(deadline, c.CloseIdleConnections)
	defer timer.Stop()
	client := &http.Client{Transport: c.Transport, Timeout: deadline}
	if r, err := client.Do(q); err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			a.status = r.StatusCode
		}
		_ = r.Body.Close()
	}
	t.cluster.record.printf("client: %s to %s: %d after %d ms", id, address, a.status, time.Since(a.sent).Milliseconds())
	t.mu.Lock()
	t.answers = append(t.answers, a)
	t.mu.Unlock()
}

// counts returns the number of requests and of those that were served.
func (t *traffic) counts() (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	return len(t.answers), served
}
