package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["9"] = keysTakenAway }

// keysTakenAway: a configuration takes the keys of all tenants away by taking the tenants out of its list. Later
// than revoke_ms after its acknowledgement the former keys must run nothing.
func keysTakenAway(p *play) (result, error) {
	const revoke = 5 * time.Second
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
	c, stop := newClient(p), make(chan struct{})
	keys := []string{keyOfFirst, keyOfSecond}
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic(20, stop, func(n int) {
			c.send(c.anyMachine(), http.MethodPost, bookPath+fmt.Sprint(n), keys[n%2], fmt.Sprintf("booking %d", n), "x")
		})
	}()
	time.Sleep(3 * time.Second)
	next := smallConfiguration(8)
	gone := map[string]bool{}
	switch {
	case !p.trouble:
		p.log("operator: configuration 8 keeps all tenants and keys")
	case p.only == "emptied":
		// For comparison: the same keys are taken away, and the tenants stay.
		for i := range next.Tenants {
			next.Tenants[i].Keys = []string{}
		}
		gone[keyOfFirst], gone[keyOfSecond] = true, true
		p.log("operator: configuration 8 takes away both keys and keeps the tenants")
	default:
		next.Tenants = []tenant{}
		gone[keyOfFirst], gone[keyOfSecond] = true, true
		p.log("operator: configuration 8 takes away both tenants with their keys")
	}
	if !o.replace(next, 10*time.Second) {
		return failed, errors.New("the second configuration isn't acknowledged")
	}
	acknowledged := p.seconds()
	time.Sleep(revoke + 4*time.Second)
	close(stop)
	<-done
	// One attempt at each machine with a key that no configuration ever held, and one without a key.
	for _, m := range p.cluster.machines {
		c.send(m, http.MethodPost, bookPath+"never", "key-that-never-was", "key that no configuration held", "x")
		c.send(m, http.MethodPost, bookPath+"none", "", "no key", "x")
	}
	runs := map[string]execution{}
	for _, r := range j.all() {
		runs[r.id] = r
	}
	var late, foreign []*attempt
	for _, a := range c.all() {
		if _, ran := runs[a.id]; !ran {
			continue
		}
		switch {
		case gone[a.key] && a.at > acknowledged+revoke.Seconds():
			late = append(late, a)
		case a.key == "key-that-never-was":
			foreign = append(foreign, a)
		}
	}
	p.log("client: %d attempts, answers by status: %v", len(c.all()), statuses(c.all()))
	c.listAttempts(late, 5)
	c.listAttempts(foreign, 5)
	p.log("check: configuration 8 was acknowledged at %.3f s; %d attempts with a key that it took away were sent later than %s after that and ran", acknowledged, len(late), revoke)
	p.log("check: %d attempts with a key that no configuration ever held ran", len(foreign))
	if len(late)+len(foreign) > 0 {
		return broken, nil
	}
	return held, nil
}
