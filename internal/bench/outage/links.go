package outage

import (
	"context"
	"time"
)

// setQuality changes the quality of all links between instances. While links are bad, no check with a
// time limit counts.
func (r *run) setQuality(q quality) {
	r.printf("links lose %d segments of 1000 and take up to %s", q.loss, q.delay)
	r.setBadLinks(true)
	r.updateLinks(func(ls *links) { ls.quality = q })
	r.setBadLinks(q != quality{})
}

func (r *run) setBadLinks(bad bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badLinks = bad
}

// withQuality plays an outage on bad links.
func (r *run) withQuality(ctx context.Context, q quality) error {
	r.setQuality(q)
	defer r.setQuality(quality{})
	if err := r.sleep(ctx, 2*time.Second, 5*time.Second); err != nil {
		return err
	}
	list := []func(ctx context.Context, r *run) error{isolate, behind, relieve, silentLeader, freeze, replace, stale, halfClosed}
	if err := list[r.random.IntN(len(list))](ctx, r); err != nil {
		return err
	}
	r.heal()
	return r.sleep(ctx, 0, 5*time.Second)
}

// lossy plays an outage while links lose segments.
func lossy(ctx context.Context, r *run) error {
	return r.withQuality(ctx, quality{loss: 10 + r.random.IntN(21), delay: 2 * time.Millisecond})
}

// slowLinks plays an outage while links take long and lose some segments.
func slowLinks(ctx context.Context, r *run) error {
	return r.withQuality(ctx, quality{loss: r.random.IntN(11), delay: time.Duration(20+r.random.IntN(41)) * time.Millisecond})
}

// halfClosed ends one direction of all open connections twice, in half of the cases with the loss of the
// leader right after it.
func halfClosed(ctx context.Context, r *run) error {
	for range 2 {
		r.printf("one direction of all open connections ends")
		r.updateLinks(func(ls *links) { ls.halfCloses++ })
		if err := r.sleep(ctx, 0, 4*time.Second); err != nil {
			return err
		}
	}
	leader := r.leader()
	if leader == nil || r.random.IntN(2) == 0 {
		return nil
	}
	r.updateLinks(func(ls *links) { ls.halfCloses++ })
	return r.vanishFor(ctx, 3*time.Second, false, leader)
}
