package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func init() { cases["version"] = versionWithoutOrder }

// versionWithoutOrder: a bad version is rolled back. Workers of the next version are started beside the old ones. Until
// the operator orders the roll-out of that version, no request may run on it.
func versionWithoutOrder(p *play) (result, error) {
	const (
		duration  = 16.0 // of the roll-out of the bad version, as on the site
		badShare  = 0.55 // of its requests that fail, the largest of rollout_bad
		beforeOrd = 5 * time.Second
	)
	o, j := &operator{play: p}, &journal{}
	if err := p.startAll(6, o, smallConfiguration(3)); err != nil {
		return failed, err
	}
	for _, w := range p.newWorkers(j, 3, 1, "v1") {
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	c, stop, done := newClient(p), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		traffic(30, stop, func(n int) {
			c.send(c.anyMachine(), http.MethodGet, readPath+fmt.Sprint(n), keyOfFirst, "look-up", "")
		})
	}()
	defer func() { <-done }()
	defer close(stop)
	time.Sleep(time.Second)
	if p.trouble {
		if err := p.rollBack(o, j, duration, badShare); err != nil {
			return failed, err
		}
	}
	next := p.newWorkers(j, 3, 21, "v3")
	for _, w := range next {
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	p.log("platform: workers of version v3 are started; no roll-out of v3 has been ordered")
	time.Sleep(beforeOrd)
	early, all := 0, 0
	for _, r := range j.all() {
		all++
		if r.version != "v3" {
			continue
		}
		if early++; early <= 5 {
			p.log("check: request %s ran at %.3f s at worker %s of version v3", r.id, r.at, r.worker)
		}
	}
	p.log("client: answers by status: %v", statuses(c.all()))
	p.log("check: %d of %d requests ran on version v3 in the %s before any order named it", early, all, beforeOrd)
	if early > 0 {
		return broken, nil
	}
	return held, nil
}

// rollBack plays the roll-out of a bad version v2 until it is rolled back and its workers have left.
func (p *play) rollBack(o *operator, j *journal, duration, badShare float64) error {
	if o.order("Rollouts.Begin", fmt.Sprintf(`{"service":%q,"target":"v2","duration_s":%g}`, deskService, duration), 4*time.Second) != http.StatusOK {
		return errors.New("the roll-out of v2 isn't acknowledged")
	}
	p.log("operator: the roll-out of v2 is acknowledged")
	bad := p.newWorkers(j, 3, 11, "v2")
	for _, w := range bad {
		w.conduct = func(*worker, *http.Request) int {
			if rand.Float64() < badShare {
				return http.StatusInternalServerError
			}
			return http.StatusOK
		}
		if err := w.start(); err != nil {
			return err
		}
	}
	for state := ""; state != "rolled_back"; time.Sleep(300 * time.Millisecond) {
		m := o.target()
		r, err := call(http.MethodGet, "http://"+net.JoinHostPort(m.ip, controlPort)+"/wisteriakeel/Rollouts.Read/"+deskService, "")
		if err != nil || r.status != http.StatusOK {
			continue
		}
		var body struct{ State string }
		if json.Unmarshal([]byte(r.body), &body) == nil && body.State != state {
			state = body.State
			p.log("operator: the roll-out of v2 is %s", state)
		}
		if state == "completed" {
			return errors.New("the bad version was promoted")
		}
	}
	time.Sleep(2 * time.Second)
	for _, w := range bad {
		go w.leave()
	}
	time.Sleep(5 * time.Second)
	return nil
}
