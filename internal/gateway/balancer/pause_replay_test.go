package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	replayStep    = 5 * time.Millisecond
	replayLength  = 8 * time.Second
	replayWork    = 400 * time.Millisecond // of one request
	replaySlots   = 16
	replayQueue   = 8 // requests that an upstream lets wait
	replayLoad    = 0.6
	replayTries   = 3
	pauseBegins   = 2 * time.Second
	pauseLength   = 2 * time.Second
	responseDelay = 500 * time.Millisecond // from which requests in a pause count
)

// pauseReplay is a load on upstreams of which the first third asks for a pause.
type pauseReplay struct {
	clock      *timer.Manual
	random     *rand.Rand
	instances  []*Balancer
	candidates []Candidate
	running    []int
	ends       [][]replayedRequest // by step
	honoured   bool                // pauses that upstreams ask for
	told       map[[2]int]time.Duration

	requests, unplaced, refused, full int
	inPause                           map[[2]int]int // requests that count, by upstream and instance
	peakOthers, peakReturn            int            // of requests at an upstream: another one in the pause, and a paused one right after it
}

type replayedRequest struct{ instance, upstream int }

func newPauseReplay(instances, upstreams int, honoured bool, seed uint64) *pauseReplay {
	r := &pauseReplay{
		clock: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 9)), running: make([]int, upstreams), honoured: honoured,
		ends: make([][]replayedRequest, replayLength/replayStep), told: map[[2]int]time.Duration{}, inPause: map[[2]int]int{},
	}
	r.clock.Advance(time.Minute)
	for n := range instances {
		b := New(fmt.Sprint("z", n%3), r.clock, rand.New(rand.NewPCG(seed, uint64(n))))
		b.Instances = func() int { return instances }
		r.instances = append(r.instances, b)
	}
	for n := range upstreams {
		r.candidates = append(r.candidates, Candidate{ID: fmt.Sprint("u", n), Born: 1, Zone: fmt.Sprint("z", n%3), Slots: replaySlots})
	}
	return r
}

// pausing reports whether an upstream asks for a pause at a time since the start.
func (r *pauseReplay) pausing(upstream int, now time.Duration) bool {
	return upstream < len(r.candidates)/3 && now >= pauseBegins && now < pauseBegins+pauseLength
}

// run replays the load.
func (r *pauseReplay) run() {
	due := 0.0
	for step := range r.ends {
		now := time.Duration(step) * replayStep
		for _, q := range r.ends[step] {
			r.running[q.upstream]--
			id, b := r.candidates[q.upstream].ID, r.instances[q.instance]
			b.RequestDone(id, Succeeded, true)
			b.ReportLoad(id, r.running[q.upstream], 0)
		}
		due += replayLoad * replaySlots * float64(len(r.candidates)) * float64(replayStep) / float64(replayWork)
		for ; due >= 1; due-- {
			r.send(step, now)
		}
		r.clock.Advance(replayStep)
	}
}

// send sends one request through a random instance.
func (r *pauseReplay) send(step int, now time.Duration) {
	r.requests++
	n := r.random.IntN(len(r.instances))
	b := r.instances[n]
	var excluded []string
	for range replayTries {
		c, ok := b.Pick(r.candidates, Prefix{}, excluded)
		if !ok || !b.TryRequest(c) {
			break
		}
		u := 0
		for r.candidates[u].ID != c.ID {
			u++
		}
		b.ResponseStarted(c.ID)
		switch {
		case r.pausing(u, now):
			r.refuseInPause(u, n, now)
		case r.running[u] >= replaySlots+replayQueue:
			r.full++
		default:
			r.serve(u, n, step, now)
			return
		}
		b.RequestDone(c.ID, Refused, true)
		excluded = append(excluded, c.ID)
	}
	r.unplaced++
}

func (r *pauseReplay) refuseInPause(u, n int, now time.Duration) {
	r.refused++
	pair := [2]int{u, n}
	if at, ok := r.told[pair]; !ok {
		r.told[pair] = now
	} else if now >= at+responseDelay {
		r.inPause[pair]++
	}
	if r.honoured {
		r.instances[n].Pause(r.candidates[u].ID, 1, pauseBegins+pauseLength-now)
	}
}

func (r *pauseReplay) serve(u, n, step int, now time.Duration) {
	r.running[u]++
	if end := step + int(replayWork/replayStep); end < len(r.ends) {
		r.ends[end] = append(r.ends[end], replayedRequest{n, u})
	}
	paused, since := u < len(r.candidates)/3, now-pauseBegins
	if !paused && since >= 0 && since < pauseLength {
		r.peakOthers = max(r.peakOthers, r.running[u])
	}
	if paused && since >= pauseLength {
		r.peakReturn = max(r.peakReturn, r.running[u])
	}
}

// Guards against pauses of a third of the upstreams that drive more load into the others than these
// take: more requests find no place then than if the refusals were those of full upstreams.
func TestThirdOfUpstreamsPauses(t *testing.T) {
	const seeds = 3
	for _, c := range []struct{ instances, upstreams int }{{12, 12}, {12, 24}, {90, 36}} {
		t.Run(fmt.Sprint(c.instances, " instances, ", c.upstreams, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			unplaced := map[bool]int{}
			for seed := range uint64(seeds) {
				for _, honoured := range []bool{false, true} {
					r := newPauseReplay(c.instances, c.upstreams, honoured, seed)
					r.run()
					unplaced[honoured] += r.unplaced
					t.Logf("seed %d, honoured %t: %d requests, %d without a place, %d refused in pauses (%d of one instance later), %d by full upstreams, peaks %d of the others, %d after the pause",
						seed, honoured, r.requests, r.unplaced, r.refused, r.mostInPause(), r.full, r.peakOthers, r.peakReturn)
					is.True(!honoured || r.mostInPause() <= 2)
				}
			}
			is.True(unplaced[true] <= unplaced[false])
		})
	}
}

// mostInPause returns the largest number of requests of one instance to one upstream in a pause.
func (r *pauseReplay) mostInPause() (most int) {
	for _, n := range r.inPause {
		most = max(most, n)
	}
	return most
}
