package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the protocol.
const (
	headerID          = "X-Wisteriakeel-Attempt-Id"
	headerSignature   = "X-Wisteriakeel-Response-Signature"
	headerExpected    = "X-Wisteriakeel-Expected-Instance"
	headerInstance    = "X-Wisteriakeel-Instance-Id"
	headerNotExecuted = "X-Wisteriakeel-Not-Executed"
	headerTenant      = "X-Wisteriakeel-Tenant"
	headerLoad        = "X-Wisteriakeel-Server-Load"
	headerDeadline    = "X-Wisteriakeel-Deadline-Ms"
)

// beatInterval is the time between two liveness reports of a worker.
const beatInterval = 1200 * time.Millisecond

// execution is a request that a worker has begun to work on.
type execution struct {
	at      float64
	id      string
	worker  string
	version string
	path    string
	tenant  string
}

// journal holds all runs of all workers.
type journal struct {
	mu   sync.Mutex
	runs []execution
}

func (j *journal) add(r execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

// all returns a copy of the runs.
func (j *journal) all() []execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]execution(nil), j.runs...)
}

// worker is a sound worker of a plain service, but for what conduct does.
type worker struct {
	*play
	journal *journal
	id      string
	address string
	zone    string
	version string
	slots   int
	work    time.Duration
	// conduct, if set, is called when a request has begun to run. It returns the status of the answer, 200 for
	// success, or 0 if the worker crashes.
	conduct func(w *worker, q *http.Request) (status int)

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]struct{}
	born     int64
	sequence int
	stopBeat chan struct{}
	running  atomic.Int64
}

// newWorkers returns n workers of the service, one in each zone in turn. They are not started.
func (p *play) newWorkers(j *journal, n, from int, version string) (all []*worker) {
	for i := range n {
		at := from + i
		all = append(all, &worker{
			play: p, journal: j, id: fmt.Sprintf("i-%s-%d", version, at), address: fmt.Sprintf("%s.%d:8120", p.cluster.network, 100+at),
			zone: "lakes-" + string(rune('a'+i%3)), version: version, slots: 6, work: 30 * time.Millisecond,
		})
	}
	return all
}

// start begins a lifetime of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.sequence, w.conns, w.stopBeat = time.Now().UnixMilli(), 0, map[net.Conn]struct{}{}, make(chan struct{})
	w.server = &http.Server{Handler: w, ConnState: w.recordState}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.beat(w.stopBeat)
	w.log("worker %s of version %s starts at %s", w.id, w.version, w.address)
	return nil
}

// recordState keeps the open connections.
func (w *worker) recordState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(w.conns, c)
		return
	}
	w.conns[c] = struct{}{}
}

// crash ends the lifetime: all connections are reset and new ones refused.
func (w *worker) crash() {
	w.mu.Lock()
	s, conns, stop := w.server, w.conns, w.stopBeat
	w.server, w.conns, w.stopBeat = nil, map[net.Conn]struct{}{}, nil
	w.mu.Unlock()
	if s == nil {
		return
	}
	close(stop)
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = s.Close()
}

// report sends a call of the worker to one machine after the other until it is acknowledged.
func (w *worker) report(path, state string) bool {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": deskService, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	first := w.sequence + len(w.id) + int(w.id[len(w.id)-1])
	w.mu.Unlock()
	if err != nil {
		return false
	}
	for i := range w.cluster.machines {
		m := w.cluster.machines[(first+i)%len(w.cluster.machines)]
		r, err := call(http.MethodPost, "http://"+net.JoinHostPort(m.ip, controlPort)+"/wisteriakeel/"+path+w.id, string(body))
		if err == nil && r.status/100 == 2 {
			return true
		}
	}
	return false
}

// beat sends liveness reports until the lifetime ends.
func (w *worker) beat(stop chan struct{}) {
	for {
		w.report("Instances.Heartbeat/", "ready")
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// leave drains the worker and ends it.
func (w *worker) leave() {
	w.mu.Lock()
	stop := w.stopBeat
	w.stopBeat = make(chan struct{})
	w.mu.Unlock()
	close(stop)
	ok := w.report("Instances.Heartbeat/", "draining")
	w.log("worker %s says that it drains, acknowledged: %t", w.id, ok)
	time.Sleep(2500 * time.Millisecond)
	w.report("Instances.Deregister/", "draining")
	w.log("worker %s ends", w.id)
	w.crash()
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerID)
	h := out.Header()
	h.Set(headerInstance, w.id)
	if q.URL.Path == "/health" {
		return
	}
	h.Set(headerID, id)
	if e := q.Header.Get(headerExpected); e != "" && e != w.id {
		h.Set(headerNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", min(running, int64(w.slots)), max(running-int64(w.slots), 0), w.slots))
	if running > int64(w.slots+24) {
		h.Set(headerNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.journal.add(execution{w.seconds(), id, w.id, w.version, q.URL.Path, q.Header.Get(headerTenant)})
	if q.Header.Get("Authorization") != "" {
		w.log("worker %s was shown a key with request %s", w.id, id)
	}
	status := http.StatusOK
	if w.conduct != nil {
		status = w.conduct(w, q)
	}
	if status == 0 {
		w.crash()
		return
	}
	time.Sleep(w.work)
	answer := "done by " + w.id + " for " + id + " with " + strconv.Itoa(len(body)) + " bytes " + strings.Repeat(".", 700)
	h.Set(headerSignature, w.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	out.WriteHeader(status)
	_, _ = io.WriteString(out, answer)
}
