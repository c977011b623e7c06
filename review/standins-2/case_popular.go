package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["10"] = popularLookup }

// boardPath is the path of a route that is added later.
const boardPath = "/board/"

// popularLookup: the clients of a tenant ask for the same page again and again, on a route that was added by a later
// configuration. All workers crash at the same moment, some times. Once they are back, that route must be served like
// the first ones.
func popularLookup(p *play) (result, error) {
	const (
		crashes = 4
		down    = 2 * time.Second // of the workers; the site allows 5.2 s
		every   = 6 * time.Second
		contact = 3 * time.Second  // contact_ms
		steady  = 20 * time.Second // for which the steady state is observed
	)
	o, j := &operator{play: p}, &journal{}
	if err := p.startAll(6, o, smallConfiguration(3)); err != nil {
		return failed, err
	}
	workers := p.newWorkers(j, 3, 1, "v1")
	for _, w := range workers {
		w.work = 60 * time.Millisecond
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(2 * time.Second)
	next := smallConfiguration(8)
	added := map[string]any{"name": "day-board", "path_prefix": boardPath}
	for k, v := range next.Routes[1] {
		if added[k] == nil {
			added[k] = v
		}
	}
	next.Routes = append(next.Routes, added)
	if !o.replace(next, 10*time.Second) {
		return failed, errors.New("the second configuration isn't acknowledged")
	}
	time.Sleep(2 * time.Second) // config_apply_ms
	c, stop, done := newClient(p), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		traffic(70, stop, func(n int) {
			switch {
			case n%7 < 5:
				c.send(c.anyMachine(), http.MethodGet, boardPath+"today", keyOfFirst, "the page of the day", "")
			case n%7 == 5:
				c.send(c.anyMachine(), http.MethodGet, readPath+fmt.Sprint(n), keyOfFirst, "other look-ups", "")
			default:
				c.send(c.anyMachine(), http.MethodGet, readPath+fmt.Sprint(n), keyOfSecond, "other look-ups", "")
			}
		})
	}()
	for i := range crashes {
		time.Sleep(every)
		if !p.trouble {
			continue
		}
		for _, w := range workers {
			w.crash()
		}
		p.log("platform: all workers crash, for %s", down)
		time.Sleep(down)
		for k, w := range workers {
			w.id = fmt.Sprintf("i-v1-%d-%d", k+1, i+2) // mostly with a new id
			if err := w.start(); err != nil {
				return failed, err
			}
		}
	}
	time.Sleep(2*time.Second + contact)
	from := p.seconds()
	time.Sleep(steady)
	close(stop)
	<-done
	var later, first []*attempt
	for _, a := range c.all() {
		switch {
		case a.at < from:
		case a.path == boardPath+"today":
			later = append(later, a)
		default:
			first = append(first, a)
		}
	}
	p.log("client: before %.1f s: answers by status: %v", from, statuses(c.all()[:len(c.all())-len(later)-len(first)]))
	p.log("check: from %.1f s on, with all workers well: answers on the route that was added later %v, on the first routes %v", from, statuses(later), statuses(first))
	if len(later) < 20 || len(first) < 20 || statuses(first)[200] == 0 {
		return failed, errors.New("too few requests were sent or served to compare")
	}
	if 4*statuses(later)[200]*len(first) < statuses(first)[200]*len(later) {
		return broken, nil
	}
	return held, nil
}
