package main

import (
	"time"
)

func init() { cases["first-seed"] = firstSeedLost }

// firstSeedLost: the machine that is named first among the seeds loses power as the system starts for the first time, and
// comes back. The operator sends the first configuration until it is accepted.
func firstSeedLost(p *play) (result, error) {
	const dark = 3800 * time.Millisecond // the site allows 3.87 s
	p.cluster.addMachines(5)
	a := p.cluster.machines[0]
	for i, m := range p.cluster.machines {
		if err := m.start(true); err != nil {
			return failed, err
		}
		if i == 0 && p.trouble {
			m.kill()
			p.log("platform: %s loses power for %s", m.name, dark)
		}
	}
	o := &operator{play: p}
	if p.trouble {
		time.Sleep(dark)
		if err := a.start(false); err != nil {
			return failed, err
		}
	}
	if !o.replace(smallConfiguration(3), 60*time.Second) {
		p.log("check: all machines have been up for 60 s, and no order was ever acknowledged")
		return broken, nil
	}
	return held, nil
}
