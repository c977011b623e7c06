package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["7"] = firstStart }

// firstStart: one machine of the core loses power as the system starts for the first time. The first
// configuration is acknowledged meanwhile. Right after that the machine that has acknowledged it loses its disk. All
// machines come back. The operator reads the configuration back.
func firstStart(p *play) (result, error) {
	const (
		dark     = 3800 * time.Millisecond // of the machine without power; the site allows 3.87 s
		wipeDown = time.Second             // of the machine that loses its disk; the site allows 3 s
		recovery = 12 * time.Second        // recovery_s
		contact  = 3 * time.Second         // contact_ms, the least time for which the operator reads
	)
	powerLost, diskLost := p.trouble && p.only != "disk", p.trouble && p.only != "power"
	p.cluster.addMachines(5)
	a, c := p.cluster.machines[0], p.cluster.machines[2]
	for i, m := range p.cluster.machines {
		if err := m.start(true); err != nil {
			return failed, err
		}
		if i == 0 {
			time.Sleep(headStart)
		}
	}
	back := make(chan error, 1)
	if powerLost {
		c.kill()
		p.log("platform: %s loses power for %s", c.name, dark)
		time.AfterFunc(dark, func() { back <- c.start(false) })
	} else {
		back <- nil
	}
	time.Sleep(800 * time.Millisecond)
	o := &operator{play: p, first: a}
	first := smallConfiguration(3)
	if !o.replace(first, 20*time.Second) {
		return failed, errors.New("the first configuration isn't acknowledged")
	}
	if diskLost {
		a.kill()
		p.log("platform: %s loses its disk right after it has acknowledged configuration 3", a.name)
		if err := a.wipe(); err != nil {
			return failed, err
		}
		time.Sleep(wipeDown)
		if err := a.start(false); err != nil {
			return failed, err
		}
	}
	if err := <-back; err != nil {
		return failed, err
	}
	p.log("platform: all machines are back")
	for _, w := range p.newWorkers(&journal{}, 3, 1, "v1") {
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(recovery)
	newest := o.readNewest(max(contact, 10*time.Second))
	cl := newClient(p)
	for _, m := range p.cluster.machines {
		at := cl.send(m, http.MethodGet, readPath+"1", keyOfFirst, "look-up", "")
		p.log("client: a look-up at %s is answered with %d", m.name, at.status)
	}
	again := o.replace(smallConfiguration(7), 15*time.Second)
	if newest < first.Version {
		p.log("check: configuration 3 was acknowledged and is lost; %s after all machines were back no machine reads it back, and a new one is accepted: %t", recovery, again)
		return broken, nil
	}
	return held, nil
}
