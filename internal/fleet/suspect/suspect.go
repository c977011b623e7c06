// Package suspect finds the parts of prompts that crash upstreams, from the crashes and responses
// that instances report. It does no input or output.
//
// An upstream that crashes takes down all requests that run on it, so that a crash alone says
// little about one of their parts. A part is found by elimination: it is in several crashes, in
// different requests, and no request with it gets a response while others do.
package suspect

import (
	"cmp"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// watchedCrashes is the number of crashes from which the instances are asked for responses
	// to requests with a part.
	watchedCrashes = 2
	// crashInterval is the time within which crashes count as one. Upstreams that crash at the
	// same time have a common cause, which is no part of a prompt. Instances notice one crash
	// within 0.1 s.
	crashInterval = 150 * time.Millisecond
	// responseMemory is how long a response counts, at least half of it at an instance.
	responseMemory = time.Minute
	// responseDelay is how long instances need to learn that a part is watched and to report
	// responses, which they do twice a second.
	responseDelay = time.Second
	// window is how long a crash counts.
	window = 2 * time.Minute
	// watchDuration is how long a part is watched after the last crash with it. The list is sent
	// again as often, since instances report responses for twice as long after the last list.
	watchDuration = 10 * time.Second
	// maxWatched and maxParts limit the parts that instances are asked for and that are tracked.
	maxWatched = 64
	maxParts   = 8192
)

// evidence is what suffices to quarantine a part without a response since its first crash.
type evidence struct {
	// crashes counts those at different times, and requests different ones. One request that is
	// repeated has its own quarantine.
	crashes, requests int
	// expectedResponses is the number of responses to requests with the part that would be
	// expected if they crashed upstreams no more often than others. Few requests get a response
	// while upstreams crash one after the other, so that much can't be asked for.
	expectedResponses float64
}

var (
	sufficient = []evidence{{crashes: 3, requests: 6, expectedResponses: 2}, {4, 2, 2}, {6, 2, 1}}
	// Among many sound parts that are used rarely, some are in a few crashes by chance.
	sufficientAfterResponse = []evidence{{8, 2, 2}}
	// If a part was always beside one that is in quarantine now, that verdict may have been on
	// the wrong one of them.
	sufficientAfterVerdict = []evidence{{2, 2, 1}}
)

// Part is the identifier of a part of a prompt.
type Part string

// Incarnation is one run of an upstream.
type Incarnation struct {
	Upstream string
	Born     int64
}

// Crash is a request that ran on an upstream when it crashed.
type Crash struct {
	Incarnation
	Service layout.Service
	// Fingerprint identifies the request and its repetitions.
	Fingerprint uint64
	// Parts are the parts of its prompt that other requests may share, the most specific last.
	Parts []Part
	// Age is how long before its report the crash was noticed. Reports that wait for a leader tell of
	// crashes at different times at once.
	Age time.Duration
}

// Tracker holds the suspicions. It is not safe for concurrent use.
type Tracker struct {
	quarantined  func(p Part) bool
	suspicions   map[Part]*suspicion
	incarnations map[Incarnation]*crashed
	responses    map[layout.Service]int
	// revision counts the lists of watched parts to send, the last one at listedAt.
	revision uint64
	listedAt timer.Instant
}

// crashed is a crash of an upstream.
type crashed struct {
	at       timer.Instant
	requests int
	// explained is true if a request with a quarantined part was running.
	explained bool
}

// never is before every instant of a timer. Instants before the boot of the machine are negative.
const never = timer.Instant(-1 << 62)

// suspicion is what is known about one part.
type suspicion struct {
	service layout.Service
	depth   int // position in the prompt
	// crashes holds the fingerprints of the requests with the part, by crash.
	crashes map[Incarnation][]uint64
	// watchedAt is when the instances were first asked for responses since the last one, or 0,
	// and responsesBefore the number of responses of the service until then.
	watchedAt       timer.Instant
	responsesBefore int
	watchedUntil    timer.Instant
	respondedAt     timer.Instant // last response, or never
	// ambiguous is true if the part was in all requests with one that is in quarantine now.
	ambiguous bool
}

// New returns an empty tracker. quarantined reports whether a part is in quarantine.
func New(quarantined func(p Part) bool) *Tracker {
	return &Tracker{
		quarantined: quarantined, suspicions: map[Part]*suspicion{}, incarnations: map[Incarnation]*crashed{}, responses: map[layout.Service]int{},
	}
}

// RecordCrash records a request that ran on an upstream when it crashed.
func (t *Tracker) RecordCrash(k Crash, now timer.Instant) {
	c := t.incarnations[k.Incarnation]
	at := now.Add(-min(max(k.Age, 0), window))
	if c == nil {
		c = &crashed{at: at}
		t.incarnations[k.Incarnation] = c
	}
	c.at = min(c.at, at)
	c.requests++
	if slices.ContainsFunc(k.Parts, t.quarantined) {
		t.explain(k.Incarnation)
	}
	if c.explained {
		return
	}
	for depth, p := range k.Parts {
		s := t.suspicions[p]
		if s != nil && s.respondedAt > at {
			continue // the report of the crash is late
		}
		if s == nil {
			if len(t.suspicions) >= maxParts {
				continue
			}
			s = &suspicion{service: k.Service, crashes: map[Incarnation][]uint64{}, respondedAt: never}
			t.suspicions[p] = s
		}
		s.depth = max(s.depth, depth)
		s.crashes[k.Incarnation] = append(s.crashes[k.Incarnation], k.Fingerprint)
		if len(s.crashes) < watchedCrashes {
			continue
		}
		if s.watchedUntil < now || now.Sub(t.listedAt) >= watchDuration {
			t.revision++
			t.listedAt = now
		}
		s.watchedUntil = now.Add(watchDuration)
		if s.watchedAt == 0 {
			s.watchedAt, s.responsesBefore = now, t.responses[s.service]
		}
	}
}

// RecordResponses counts responses of a service, whatever the parts of their prompts.
func (t *Tracker) RecordResponses(s layout.Service, n int) { t.responses[s] += n }

// RecordSurvival records that an upstream has responded to a request with a part.
func (t *Tracker) RecordSurvival(p Part, now timer.Instant) {
	if s := t.suspicions[p]; s != nil {
		clear(s.crashes)
		s.watchedAt, s.respondedAt, s.ambiguous = 0, now, false
	}
}

// Watched returns the parts whose responses the instances should report, those in most crashes
// first.
func (t *Tracker) Watched(now timer.Instant) (parts []Part) {
	for p, s := range t.suspicions {
		if s.watchedUntil >= now && !t.quarantined(p) {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, t.compare)
	return parts[:min(len(parts), maxWatched)]
}

// Revision returns a number that changes when the watched parts should be sent again.
func (t *Tracker) Revision() uint64 { return t.revision }

// compare orders parts by the crashes that they are in. Of two parts in the same crashes the more
// specific one comes first, since its quarantine stops fewer requests.
func (t *Tracker) compare(p, q Part) int {
	a, b := t.suspicions[p], t.suspicions[q]
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.depth, a.depth), cmp.Compare(p, q))
}

// Verdict is a part to quarantine, with the numbers that decided.
type Verdict struct {
	Part              Part
	Crashes           int
	Requests          int
	ExpectedResponses float64
}

// Decide returns the part to quarantine, if there is one. Crashes that a part in quarantine
// explains do not count against other parts.
func (t *Tracker) Decide(now timer.Instant) (v Verdict, ok bool) {
	for _, p := range t.Watched(now) {
		s := t.suspicions[p]
		if s.watchedAt == 0 || now.Sub(s.watchedAt) < responseDelay {
			continue
		}
		e := evidence{t.separateCrashes(s), s.requests(), t.expectedResponses(s)}
		if slices.ContainsFunc(s.needed(now), e.reaches) {
			return Verdict{p, e.crashes, e.requests, e.expectedResponses}, true
		}
	}
	return Verdict{}, false
}

// reaches reports whether e is as much as needed.
func (e evidence) reaches(needed evidence) bool {
	return e.crashes >= needed.crashes && e.requests >= needed.requests && e.expectedResponses >= needed.expectedResponses
}

// needed returns what suffices for a verdict; any one of it.
func (s *suspicion) needed(now timer.Instant) []evidence {
	switch {
	case s.ambiguous:
		return sufficientAfterVerdict
	case now.Sub(s.respondedAt) < responseMemory:
		return sufficientAfterResponse
	default:
		return sufficient
	}
}

// separateCrashes returns the number of crashes that were not at the same time as another.
func (t *Tracker) separateCrashes(s *suspicion) (n int) {
	var times []timer.Instant
	for i := range s.crashes {
		times = append(times, t.incarnations[i].at)
	}
	slices.Sort(times)
	var counted timer.Instant
	for _, at := range times {
		if n == 0 || at.Sub(counted) >= crashInterval {
			counted = at
			n++
		}
	}
	return n
}

// requests returns the number of different requests in the crashes.
func (s *suspicion) requests() int {
	different := map[uint64]bool{}
	for _, fingerprints := range s.crashes {
		for _, f := range fingerprints {
			different[f] = true
		}
	}
	return len(different)
}

// expectedResponses returns how many responses to requests with a part would be expected by now if
// they were as likely as for the other requests in the same crashes.
func (t *Tracker) expectedResponses(s *suspicion) float64 {
	own, all := 0, 0
	for i, fingerprints := range s.crashes {
		own += len(fingerprints)
		all += t.incarnations[i].requests
	}
	if all == 0 {
		return 0
	}
	return float64(t.responses[s.service]-s.responsesBefore) * float64(own) / float64(all)
}

// Quarantined must be called when a part has been quarantined. The crashes with it are explained.
func (t *Tracker) Quarantined(p Part) {
	s := t.suspicions[p]
	if s == nil {
		return
	}
	delete(t.suspicions, p)
	for _, other := range t.suspicions {
		other.ambiguous = other.ambiguous || includes(other, s)
	}
	for i := range s.crashes {
		t.explain(i)
	}
}

// includes reports whether a part is in all requests in which another one is.
func includes(s, other *suspicion) bool {
	for i, fingerprints := range other.crashes {
		for _, f := range fingerprints {
			if !slices.Contains(s.crashes[i], f) {
				return false
			}
		}
	}
	return true
}

// explain marks a crash as explained, so that it counts against no part.
func (t *Tracker) explain(i Incarnation) {
	c := t.incarnations[i]
	if c.explained {
		return
	}
	c.explained = true
	for _, s := range t.suspicions {
		delete(s.crashes, i)
	}
}

// Expire forgets what is too old to count.
func (t *Tracker) Expire(now timer.Instant) {
	for i, c := range t.incarnations {
		if now.Sub(c.at) <= window {
			continue
		}
		delete(t.incarnations, i)
		for _, s := range t.suspicions {
			delete(s.crashes, i)
		}
	}
	for p, s := range t.suspicions {
		if len(s.crashes) == 0 && s.watchedUntil < now && now.Sub(s.respondedAt) > responseMemory {
			delete(t.suspicions, p)
		}
	}
}
