package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

var errNoConfiguration = errors.New("the first configuration was not acknowledged")

// Bounds of the deployment that the cases use.
const (
	contact  = 3 * time.Second
	recovery = 12 * time.Second
	drain    = 2 * time.Second
)

// firstConfiguration: a machine that counts loses its disk right after the first configuration was acknowledged.
func firstConfiguration(c *cluster, trouble bool) (broken bool, seen string, err error) {
	if err := c.startAll(); err != nil {
		return false, "", err
	}
	w, err := c.newWorker(desk, 0)
	if err != nil {
		return false, "", err
	}
	defer w.close()
	time.Sleep(600 * time.Millisecond) // the operator's first call comes when the processes listen
	sent := configuration(4, false)
	m := c.replaceConfiguration(sent, 9*time.Second)
	if m == nil {
		return false, "", errNoConfiguration
	}
	if trouble {
		lost := c.machines[0]
		lost.kill(", " + m.name + " has just acknowledged the configuration")
		if err := lost.loseDisk(); err != nil {
			return false, "", err
		}
		time.Sleep(time.Second)
		if err := lost.start(false); err != nil {
			return false, "", err
		}
	}
	t := &traffic{cluster: c, path: deskPrefix, interval: 100 * time.Millisecond}
	t.run(3, recovery)
	t = &traffic{cluster: c, path: deskPrefix, interval: 100 * time.Millisecond}
	t.run(3, 5*time.Second)
	requests, served := t.counts()
	read := c.readBack(8 * time.Second)
	again := c.replaceConfiguration(configuration(9, false), 8*time.Second)
	seen = fmt.Sprintf("more than %v after all machines were back: read back %d bytes of %d, a later configuration acknowledged: %t, %d of %d requests served",
		recovery, len(read), len(sent), again != nil, served, requests)
	return !bytes.Equal(read, sent), seen, nil
}

// leave: the machine that has just acknowledged that a worker leaves loses power.
func leave(c *cluster, trouble bool) (broken bool, seen string, err error) {
	if err := c.startAll(); err != nil {
		return false, "", err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.newWorker(desk, i)
		if err != nil {
			return false, "", err
		}
		defer w.close()
		workers = append(workers, w)
	}
	if c.replaceConfiguration(configuration(4, false), 9*time.Second) == nil {
		return false, "", errNoConfiguration
	}
	time.Sleep(8 * time.Second) // all machines are in touch
	t := &traffic{cluster: c, path: deskPrefix, interval: 40 * time.Millisecond}
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		t.run(6, 24*time.Second)
	}()
	time.Sleep(2 * time.Second)
	m := c.leader()
	if m == nil {
		return false, "", errors.New("no machine leads")
	}
	w := workers[0]
	if !w.deregister(m) {
		return false, "", errors.New("the leave was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		m.signal(9)
	}
	c.record.printf("worker: %s leaves, acknowledged by %s", w.id, m.name)
	calm := acknowledged.Add(drain)
	if trouble {
		m.kill(", it has just acknowledged the leave")
		time.Sleep(2700 * time.Millisecond)
		if err := m.start(false); err != nil {
			return false, "", err
		}
		// The core is unstable, and no machine in touch, until contact_ms after the last start.
		calm = time.Now().Add(contact + 500*time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(16 * time.Second)))
	taken := map[string]time.Time{}
	t.mu.Lock()
	for _, a := range t.answers {
		taken[a.id] = a.sent
	}
	t.mu.Unlock()
	late := 0
	for _, r := range w.allRuns() {
		if at, ok := taken[r.id]; ok && at.After(calm) {
			late++
		}
	}
	<-trafficEnded
	requests, served := t.counts()
	seen = fmt.Sprintf("%d requests reached the worker more than %v after the acknowledgement that it leaves, sent while all machines were in touch; %d of %d requests served",
		late, calm.Sub(acknowledged).Round(100*time.Millisecond), served, requests)
	return late > 0, seen, nil
}

// otherWriter: liveness reports of another writer arrive, for a service that is not named in the configuration.
func otherWriter(c *cluster, trouble bool) (broken bool, seen string, err error) {
	if err := c.startAll(); err != nil {
		return false, "", err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.newWorker(desk, i)
		if err != nil {
			return false, "", err
		}
		defer w.close()
		workers = append(workers, w)
	}
	if c.replaceConfiguration(configuration(4, false), 9*time.Second) == nil {
		return false, "", errNoConfiguration
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i, w := range workers {
			body, _ := json.Marshal(map[string]any{
				"service": "night-batch", "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 4, "state": "ready",
				"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			status, _, err := call(c.machines[3+i], http.MethodPost, fmt.Sprintf("/wisteriakeel/Instances.Heartbeat/batch-%d", i), body)
			c.record.printf("other writer: report for night-batch at the address of %s: %s", w.id, outcome(status, err))
		}
	}
	time.Sleep(2 * time.Second)
	t := &traffic{cluster: c, path: deskPrefix, interval: 100 * time.Millisecond}
	t.run(6, 30*time.Second)
	requests, served := t.counts()
	return served == 0, fmt.Sprintf("%d of %d requests served by three sound workers", served, requests), nil
}

// sizedStream: answers of the small model are of low confidence, on a route whose streams may not be resumed.
func sizedStream(c *cluster, trouble bool) (broken bool, seen string, err error) {
	if err := c.startAll(); err != nil {
		return false, "", err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.newWorker(pool, i)
		if err != nil {
			return false, "", err
		}
		defer w.close()
		if trouble {
			w.confidence = 10
		}
		workers = append(workers, w)
	}
	if c.replaceConfiguration(configuration(4, true), 9*time.Second) == nil {
		return false, "", errNoConfiguration
	}
	time.Sleep(6 * time.Second)
	t := &traffic{cluster: c, path: poolPrefix, model: "*", interval: 100 * time.Millisecond}
	t.run(3, 8*time.Second)
	runs := map[string]int{}
	for _, w := range workers {
		for _, r := range w.allRuns() {
			runs[r.id]++
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	requests, served := t.counts()
	return twice > 0, fmt.Sprintf("%d of %d requests that may run once ran more than once; %d of %d served", twice, len(runs), served, requests), nil
}

// flaps are the times for which the machine of flappingDisk runs before it loses its disk again; after the last one it
// stays.
var flaps = []time.Duration{
	250 * time.Millisecond, 300 * time.Millisecond, 350 * time.Millisecond, 400 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second,
}

// flappingDisk: one machine that counts loses its disk again and again, soon after each start.
func flappingDisk(c *cluster, trouble bool) (broken bool, seen string, err error) {
	if err := c.startAll(); err != nil {
		return false, "", err
	}
	w, err := c.newWorker(desk, 0)
	if err != nil {
		return false, "", err
	}
	defer w.close()
	sent := configuration(4, false)
	if c.replaceConfiguration(sent, 9*time.Second) == nil {
		return false, "", errNoConfiguration
	}
	time.Sleep(8 * time.Second) // all machines are in touch
	if trouble {
		m := c.machines[0]
		if m == c.leader() {
			m = c.machines[1]
		}
		for _, up := range flaps {
			m.kill("")
			if err := m.loseDisk(); err != nil {
				return false, "", err
			}
			time.Sleep(300 * time.Millisecond)
			if err := m.start(false); err != nil {
				return false, "", err
			}
			time.Sleep(up)
		}
	}
	t := &traffic{cluster: c, path: deskPrefix, interval: 100 * time.Millisecond}
	t.run(3, recovery)
	t = &traffic{cluster: c, path: deskPrefix, interval: 100 * time.Millisecond}
	t.run(3, 8*time.Second)
	requests, served := t.counts()
	read := c.readBack(8 * time.Second)
	again := c.replaceConfiguration(configuration(9, false), 8*time.Second)
	seen = fmt.Sprintf("more than %v after all machines were back: read back %d bytes of %d, a later configuration acknowledged: %t, %d of %d requests served",
		recovery, len(read), len(sent), again != nil, served, requests)
	return !bytes.Equal(read, sent), seen, nil
}
