package main

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["6"] = plannedReplacement }

// plannedReplacement: a machine of the core is replaced as planned. The new one has been there for long when the
// old one gets SIGTERM, and the old one ends by itself. Then a configuration is acknowledged, and the machine that has
// acknowledged it loses its disk.
func plannedReplacement(p *play) (result, error) {
	const (
		successorUp = 16 * time.Second // before the SIGTERM; catch_up_s is 4
		wipeDown    = time.Second      // of the machine that loses its disk; the site allows 3 s
		recovery    = 12 * time.Second // recovery_s
		contact     = 3 * time.Second  // contact_ms, the least time for which the operator reads
	)
	replaced, diskLost := p.trouble && p.only != "disk", p.trouble && p.only != "replaced"
	o := &operator{play: p}
	if err := p.startAll(5, o, smallConfiguration(3)); err != nil {
		return failed, err
	}
	// The log is read to choose a machine that doesn't lead as the one to replace, not for the verdict.
	a, c := p.cluster.machines[0], p.cluster.machines[2]
	if c.hasLed() {
		a, c = c, a
	}
	p.log("platform: %s is to be replaced", c.name)
	for _, w := range p.newWorkers(&journal{}, 3, 1, "v1") {
		if err := w.start(); err != nil {
			return failed, err
		}
	}
	p.cluster.addMachines(6)
	all := p.cluster.machines
	d := all[len(all)-1]
	p.cluster.machines = all[:5]
	d.zone = c.zone
	d.name = "frontend-" + c.zone + "-9"
	d.disk = filepath.Join(p.cluster.folder, "disk-"+d.name)
	if replaced {
		if err := d.start(false); err != nil {
			return failed, err
		}
		p.cluster.machines = append(p.cluster.machines, d)
		time.Sleep(successorUp)
		c.terminate()
		p.log("platform: %s has ended after its SIGTERM; its successor %s has run for %s before that", c.name, d.name, successorUp)
		p.cluster.machines = []*machine{a, all[1], all[3], all[4], d}
	}
	time.Sleep(500 * time.Millisecond)
	o.first, o.next = a, 0
	next := smallConfiguration(8)
	if !o.replace(next, 20*time.Second) {
		return failed, errors.New("the configuration isn't acknowledged")
	}
	if diskLost {
		a.kill()
		p.log("platform: %s loses its disk right after configuration 8 was acknowledged", a.name)
		if err := a.wipe(); err != nil {
			return failed, err
		}
		time.Sleep(wipeDown)
		if err := a.start(false); err != nil {
			return failed, err
		}
	}
	time.Sleep(recovery)
	newest := o.readNewest(max(contact, 8*time.Second))
	cl := newClient(p)
	for _, m := range p.cluster.machines {
		at := cl.send(m, http.MethodGet, readPath+"1", keyOfFirst, "look-up", "")
		p.log("client: a look-up at %s is answered with %d", m.name, at.status)
	}
	again := o.replace(smallConfiguration(12), 10*time.Second)
	if newest < next.Version {
		p.log("check: configuration 8 was acknowledged and is lost; %s after all machines were back no machine reads it back, and a new one is accepted: %t", recovery, again)
		return broken, nil
	}
	return held, nil
}

// hasLed reports whether the log of a machine says that it has led the others.
func (m *machine) hasLed() bool {
	text, err := os.ReadFile(filepath.Join(m.cluster.folder, m.name+".log"))
	return err == nil && bytes.Contains(text, []byte("became leader of the deployment"))
}

// terminate sends SIGTERM to the process of a machine and waits for its end.
func (m *machine) terminate() {
	m.mu.Lock()
	p, exited := m.process, m.exited
	m.ending = true
	m.mu.Unlock()
	m.cluster.log("platform: %s gets SIGTERM", m.name)
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(8 * time.Second): // grace_s
		m.kill()
	}
}
