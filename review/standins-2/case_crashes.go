package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["crashes"] = requestCrashesWorkers }

// requestCrashesWorkers: a request crashes each worker that begins to run it. Its caller sends it again and again.
func requestCrashesWorkers(p *play) (result, error) {
	const (
		back     = 2 * time.Second // after which a crashed worker starts again, under its id
		interval = 2500 * time.Millisecond
		contact  = 3.0 // contact_ms, in seconds
	)
	o, j := &operator{play: p}, &journal{}
	if err := p.startAll(6, o, smallConfiguration(3)); err != nil {
		return failed, err
	}
	workers := p.newWorkers(j, 2, 1, "v1")
	for _, w := range workers {
		if p.trouble {
			w.conduct = func(w *worker, q *http.Request) int {
				if !strings.HasPrefix(q.URL.Path, bookPath+"deadly") {
					return http.StatusOK
				}
				p.log("worker %s crashes as it begins to run %s", w.id, q.Header.Get(headerID))
				time.AfterFunc(back, func() {
					if err := w.start(); err != nil {
						p.log("worker %s can't start again: %v", w.id, err)
					}
				})
				return 0
			}
		}
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	c, stop, done := newClient(p), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		traffic(10, stop, func(n int) {
			c.send(c.anyMachine(), http.MethodPost, bookPath+fmt.Sprint(n), keyOfSecond, fmt.Sprintf("booking %d", n), "x")
		})
	}()
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(interval) {
		a := c.send(c.anyMachine(), http.MethodPost, bookPath+"deadly", keyOfFirst, "the same request", "the same body")
		p.log("client: the request that crashes workers is answered with %d by %s", a.status, a.machine)
	}
	close(stop)
	<-done
	var arrivals []execution
	for _, r := range j.all() {
		if r.path == bookPath+"deadly" {
			arrivals = append(arrivals, r)
		}
	}
	if !p.trouble {
		p.log("client: answers by status: %v", statuses(c.all()))
		return held, nil
	}
	late := 0
	for i, r := range arrivals {
		if i >= 3 && r.at > arrivals[2].at+contact {
			late++
		}
	}
	p.log("client: answers by status: %v", statuses(c.all()))
	p.log("check: the request crashed workers %d times; it reached workers %d times later than %g s after it had crashed the third", len(arrivals), late, contact)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
