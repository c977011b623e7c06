package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// evacuationDelay is how long after the acknowledgement an evacuated zone may still get requests.
	evacuationDelay = 5 * time.Second
	// orderTimeout is how long an operator waits before it sends an order to another instance.
	orderTimeout = time.Second
	// maxOrderTries bounds the tries. Faults of a phase last for some seconds each.
	maxOrderTries = 60
)

// zones are the availability zones of instances and upstreams.
var zones = []string{"a", "b", "c"}

// evacuation is an acknowledged evacuation. The zero value is none.
type evacuation struct {
	zone string
	at   timer.Instant // when it was acknowledged
}

// evacuateZone evacuates a zone for some seconds, unless another one is evacuated.
func (in *injector) evacuateZone(ctx context.Context, r *rand.Rand) {
	if !in.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer in.evacuating.Store(false)
	zone := zones[r.IntN(len(zones))]
	if !in.order(ctx, zone, true) {
		return
	}
	in.setEvacuation(evacuation{zone, in.options.Timer.Now()})
	in.sleepRandom(ctx, r, evacuationDelay+time.Second, evacuationDelay+5*time.Second)
	in.setEvacuation(evacuation{})
	in.order(ctx, zone, false)
}

func (s *Soak) setEvacuation(e evacuation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuation = e
}

// order sends an order to begin or finish an evacuation to random instances until one acknowledges it.
func (s *Soak) order(ctx context.Context, zone string, begin bool) (ok bool) {
	for range maxOrderTries {
		n := s.instances[s.randomInt(len(s.instances))]
		q, err := s.options.Dialect.EvacuationRequest(n.ip, zone, begin)
		if err != nil {
			s.recorder.violation("evacuation: %v", err)
			return false
		}
		status, body, err := s.sendUnchecked(ctx, q, orderTimeout)
		switch {
		case err == nil && status == http.StatusOK:
			s.recorder.count("orders for zones")
			return true
		case err == nil && status >= 400 && status < 500:
			s.recorder.violation("order for zone %s is refused by %s: %d %s", zone, n.name, status, body)
			return false
		}
		if timer.Sleep(ctx, s.options.Timer, 100*time.Millisecond) != nil {
			return false
		}
	}
	s.recorder.violation("order for zone %s is not acknowledged", zone)
	return false
}

// checkEvacuated checks that a request of the instance at an IP address does not reach an evacuated zone. A
// proxy that held bytes back excuses it; no fault of the instance or of the control group does.
func (u *simulatedUpstream) checkEvacuated(ip, id string) {
	s := u.soak
	s.mu.Lock()
	e := s.evacuation
	s.mu.Unlock()
	since := s.options.Timer.Now().Sub(e.at)
	if e.zone == u.zone && since > evacuationDelay && u.proxy.undisturbedSince(ip, e.at) {
		s.recorder.violation("%s gets request %s %.2f s after the evacuation of zone %s was acknowledged", u.id, id, since.Seconds(), u.zone)
	}
	if e.zone != "" && e.zone != u.zone && since > evacuationDelay {
		s.recorder.count("requests beside an evacuated zone")
	}
}
