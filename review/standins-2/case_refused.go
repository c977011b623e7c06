package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["8"] = refusedHasRun }

// refusedHasRun: one of three workers fails part of the bookings after it has run them, with 503 and without
// X-Wisteriakeel-Not-Executed. Clients repeat a booking only after a promise that it has not run.
func refusedHasRun(p *play) (result, error) {
	const (
		troubleAt  = 3 * time.Second
		troubleFor = 6500 * time.Millisecond // the largest of srv_grey
		share      = 0.45                    // of the requests of the failing worker, the largest of srv_grey
	)
	o, j := &operator{play: p}, &journal{}
	if err := p.startAll(6, o, smallConfiguration(3)); err != nil {
		return failed, err
	}
	workers := p.newWorkers(j, 3, 1, "v1")
	for _, w := range workers {
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var mu sync.Mutex
	failures := map[string]bool{}
	if p.trouble {
		workers[0].conduct = func(_ *worker, q *http.Request) int {
			since := time.Since(begin)
			if since < troubleAt || since > troubleAt+troubleFor || rand.Float64() >= share {
				return http.StatusOK
			}
			mu.Lock()
			defer mu.Unlock()
			failures[q.Header.Get(headerID)] = true
			return http.StatusServiceUnavailable
		}
		p.log("from %s on and for %s worker %s fails %g of its requests with 503 after it has run them", troubleAt, troubleFor, workers[0].id, share)
	}
	c, stop := newClient(p), make(chan struct{})
	time.AfterFunc(13*time.Second, func() { close(stop) })
	traffic(25, stop, func(n int) {
		subject := fmt.Sprintf("booking %d", n)
		a := c.send(c.anyMachine(), http.MethodPost, bookPath+fmt.Sprint(n), keyOfFirst, subject, subject)
		if isPromise(a.status) { // one retry, as the clients of the sheet
			time.Sleep(min(a.retryAfter, 300*time.Millisecond))
			c.send(c.anyMachine(), http.MethodPost, bookPath+fmt.Sprint(n), keyOfFirst, subject, subject)
		}
	})
	runs, perSubject := map[string]execution{}, map[string]int{}
	for _, r := range j.all() {
		runs[r.id] = r
		perSubject[r.path]++
	}
	var wrong []*attempt
	for _, a := range c.all() {
		if r, ran := runs[a.id]; ran && isPromise(a.status) {
			p.log("check: attempt %s (%s) ran at worker %s at %.3f s, and the client got %d at %.3f s", a.id, a.subject, r.worker, r.at, a.status, a.answeredAt)
			wrong = append(wrong, a)
		}
	}
	doubled := 0
	for _, n := range perSubject {
		if n > 1 {
			doubled++
		}
	}
	p.log("client: %d attempts, answers by status: %v", len(c.all()), statuses(c.all()))
	p.log("workers: %d runs, %d of them failed with 503 and without Not-Executed", len(j.all()), len(failures))
	c.listAttempts(wrong, 5)
	p.log("check: %d attempts that may run once got 503 though they have run; %d bookings are recorded twice", len(wrong), doubled)
	if len(wrong) > 0 {
		return broken, nil
	}
	return held, nil
}
