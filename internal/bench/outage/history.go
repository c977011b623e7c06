package outage

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Time limits of the protocol that the checks of changes use.
const (
	// regressTolerance is how soon after an effect of a version an instance may still act on an older
	// one. It is eight times as long for instances that are slowed down.
	regressTolerance       = 250 * time.Millisecond
	slowedRegressTolerance = 8 * regressTolerance
	// lateTolerance is how much later than the time limit of its route a request may be answered.
	lateTolerance = 500 * time.Millisecond
)

// sentVersion is a version that was sent. It has several contents if several were sent at once.
type sentVersion struct {
	version      int
	contents     []*content
	acknowledged timer.Instant // first acknowledgement; 0 before
}

// effect is the first request that showed that an instance acts on a version or a newer one.
type effect struct {
	version int
	at      timer.Instant
}

// history holds the documents that were sent and what instances showed of them. It is guarded by run.mu.
type history struct {
	versions []*sentVersion // in ascending order
	never    []*content     // must never be in force
	effects  map[any][]effect
}

// add records a document that is sent under a version that it may share with others.
func (h *history) add(c *content) {
	v := c.document.Version
	i, found := slices.BinarySearchFunc(h.versions, v, func(s *sentVersion, v int) int { return s.version - v })
	if !found {
		h.versions = slices.Insert(h.versions, i, &sentVersion{version: v})
	}
	h.versions[i].contents = append(h.versions[i].contents, c)
}

// find returns what was sent under a version, or nil.
func (h *history) find(version int) *sentVersion {
	for _, s := range h.versions {
		if s.version == version {
			return s
		}
	}
	return nil
}

// last returns what was sent last, or the n-th before it; nil without one.
func (h *history) last(n int) *sentVersion {
	if n >= len(h.versions) {
		return nil
	}
	return h.versions[len(h.versions)-1-n]
}

// since returns the versions that may be in force at instants at which all that was acknowledged by
// another instant is: the newest of these, and what was sent after it.
func (h *history) since(at timer.Instant) []*sentVersion {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if a := h.versions[i].acknowledged; a != 0 && a < at {
			return h.versions[i:]
		}
	}
	return h.versions
}

// from returns the versions that are not older than a version.
func (h *history) from(version int) []*sentVersion {
	i := slices.IndexFunc(h.versions, func(s *sentVersion) bool { return s.version >= version })
	return h.versions[max(i, 0):]
}

// anyOf reports whether a condition holds for one of the contents of versions.
func anyOf(list []*sentVersion, ok func(c *content) bool) bool {
	return slices.ContainsFunc(list, func(s *sentVersion) bool { return slices.ContainsFunc(s.contents, ok) })
}

// judge returns which check an outcome fails, and an empty string if it fails none. inTouch and slowed
// tell the state of the instance.
func (h *history) judge(q *request, o outcome, now timer.Instant, inTouch, slowed bool) (failed string) {
	allows := func(c *content) bool { return c.allows(q, o) }
	knowsKey := func(c *content) bool {
		route, _ := c.match(q.path)
		return c.accounts[q.key] != "" || route.Public
	}
	if !anyOf(h.versions, allows) {
		return h.judgeNever(q, o, knowsKey)
	}
	if o.service != "" && !anyOf(h.since(q.sent.Add(-soak.RevocationDelay)), knowsKey) {
		return "withdrawn key runs"
	}
	tolerance := regressTolerance
	if slowed {
		tolerance = slowedRegressTolerance
	}
	for _, e := range slices.Backward(h.effects[q.lifetime]) {
		if e.at.Add(tolerance) < q.sent {
			if !anyOf(h.from(e.version), allows) {
				return "instance regresses"
			}
			break
		}
	}
	if o.service != "" {
		h.recordEffect(q, allows, now)
	}
	if list := h.since(q.sent.Add(-soak.PropagationDelay)); inTouch && !anyOf(list, allows) {
		return judgeOld(list, q, o, knowsKey)
	}
	return ""
}

// judgeNever names the check that an outcome fails which no version allows.
func (h *history) judgeNever(q *request, o outcome, knowsKey func(c *content) bool) string {
	for _, c := range h.never {
		if o.service != "" && c.allows(q, o) {
			return c.why + " obeyed"
		}
	}
	switch {
	case o.service == "":
		return "refused under all versions"
	case !anyOf(h.versions, knowsKey):
		return "unknown key runs"
	}
	return "run that no version allows"
}

// judgeOld names the check that an outcome fails which only older versions allow.
func judgeOld(list []*sentVersion, q *request, o outcome, knowsKey func(c *content) bool) string {
	switch {
	case o.service == "":
		return "refused though route and key are in force"
	case !anyOf(list, func(c *content) bool { _, ok := c.match(q.path); return ok }):
		return "dropped route runs"
	case !anyOf(list, knowsKey):
		return "dropped key runs"
	}
	return "run by an older version"
}

// recordEffect records what a run shows: its instance acts on the oldest version that allows it, or
// a newer one.
func (h *history) recordEffect(q *request, allows func(c *content) bool, now timer.Instant) {
	for _, s := range h.versions {
		if !slices.ContainsFunc(s.contents, allows) {
			continue
		}
		list := h.effects[q.lifetime]
		if n := len(list); n == 0 || list[n-1].version < s.version {
			h.effects[q.lifetime] = append(list, effect{s.version, now})
		}
		return
	}
}

// checkText checks a document that an instance read back under a version. From then on that content
// is the only one of its version.
func (h *history) checkText(version int, text string) (failed string) {
	s := h.find(version)
	for i := 0; s != nil && i < len(s.contents); i++ {
		if !sameDocument(s.contents[i].text, text) {
			continue
		}
		for j, other := range s.contents {
			if j != i {
				other.why = "other content under a version held"
				h.never = append(h.never, other)
			}
		}
		s.contents = s.contents[i : i+1]
		return ""
	}
	for _, c := range h.never {
		if c.document.Version == version && sameDocument(c.text, text) {
			return c.why + " read back"
		}
	}
	if s == nil {
		return "version read back that was not sent"
	}
	return "other content read back than was sent"
}

// sameDocument reports whether two texts are the same but for their layout.
func sameDocument(a, b string) bool {
	var x, y any
	return a == b || json.Unmarshal([]byte(a), &x) == nil && json.Unmarshal([]byte(b), &y) == nil && reflect.DeepEqual(x, y)
}

// limitsOf returns the shortest and the longest time limit that versions give the route of a path.
func limitsOf(list []*sentVersion, path string) (shortest, longest time.Duration) {
	for _, s := range list {
		for _, c := range s.contents {
			if route, ok := c.match(path); ok {
				if shortest == 0 || route.Timeout < shortest {
					shortest = route.Timeout
				}
				longest = max(longest, route.Timeout)
			}
		}
	}
	return shortest, longest
}
