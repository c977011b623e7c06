package outage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// checks holds what was observed. It is guarded by run.mu unless a method says otherwise.
type checks struct {
	newest       int // version that was sent last
	acknowledged int // newest version that was acknowledged
	counts       map[string]int
	history      history
	requests     map[string]*request // by ID
	// Requests on the route of all documents, on routes that were added later, and on those that
	// exceeded the time limit of their route. The last count as served if the answer was in time.
	first, later, exceeded share
	violations             []string
	round                  string
	firstRead              timer.Instant
	lastRead               timer.Instant
	gap                    time.Duration
	slowestChange          time.Duration
	stall                  time.Duration // of this process
	lateAt                 timer.Instant // when this process last ran late by more than maxLate
}

// share counts requests, and those of them that were served.
type share struct{ asked, served int }

func (s *share) add(served bool) {
	s.asked++
	if served {
		s.served++
	}
}

// below reports whether less of the requests were served than a quarter of the share of others.
func (s share) below(other share) bool {
	return s.served*other.asked*4 < other.served*s.asked
}

// maxViolations is how many violations of a kind are reported.
const maxViolations = 5

// Least numbers of requests from which shares count.
const (
	leastLater = 20
	leastLate  = 8
)

// maxLate is how late this process may run for its times to count. The instances, which run beside
// it, miss their election timeouts when they run that late.
const maxLate = 300 * time.Millisecond

func (c *checks) beginRound(name string) {
	c.round, c.gap, c.slowestChange, c.stall = name, 0, 0, 0
}

// violation records a failed check.
func (r *run) violation(kind, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.checks.counts["broken "+kind]++
	round, n := r.checks.round, r.checks.counts["broken "+kind]
	if n <= maxViolations {
		r.checks.violations = append(r.checks.violations, round+": "+text)
	}
	r.mu.Unlock()
	if n <= maxViolations {
		r.printf("BROKEN %s: %s", round, text)
	}
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.counts[name]++
}

// send sends a request and reads the response.
func (r *run) send(ctx context.Context, q *http.Request, limit time.Duration) (status int, body string, err error) {
	ctx, cancel := timer.WithTimeout(ctx, r.Timer, limit)
	defer cancel()
	reply, err := r.client.Do(q.WithContext(ctx))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(text), err
}

// versionPattern finds the version in a document.
var versionPattern = regexp.MustCompile(`"version":\s*(\d+)[,}\s]`)

// read reads the document from an instance and checks that it is what was sent.
func (r *run) read(ctx context.Context, from *instance) (version int, err error) {
	q, err := r.Dialect.ReadRequest(from.ip)
	if err != nil {
		return 0, err
	}
	status, body, err := r.send(ctx, q, readTimeout)
	if err != nil {
		return 0, err
	}
	m := versionPattern.FindStringSubmatch(body)
	if status != http.StatusOK || m == nil {
		return 0, errors.Newf("%d %.100s", status, body)
	}
	if version, err = strconv.Atoi(m[1]); err != nil {
		return 0, err
	}
	r.mu.Lock()
	failed := r.checks.history.checkText(version, body)
	r.mu.Unlock()
	if failed != "" {
		r.violation(failed, "%s reads version %d: %s: %.200s", from.name, version, failed, body)
	}
	return version, nil
}

// readInTime reads the document from an instance, which may refuse at first: one refusal says
// nothing on a busy machine.
func (r *run) readInTime(ctx context.Context, from *instance) (version int, err error) {
	begin := r.Timer.Now()
	for {
		version, err = r.read(ctx, from)
		if err == nil || r.Timer.Now().Sub(begin) > readTimeout || timer.Sleep(ctx, r.Timer, pause) != nil {
			return version, err
		}
		r.count("reads repeated")
	}
}

// reader reads the document from random instances.
type reader struct {
	*run
	random *rand.Rand
}

func (rd *reader) loop(ctx context.Context) error {
	for timer.Sleep(ctx, rd.Timer, pause) == nil {
		rd.mu.Lock()
		acknowledged := rd.checks.acknowledged
		rd.mu.Unlock()
		begin, from := rd.Timer.Now(), rd.up(rd.random)
		version, err := rd.readInTime(ctx, from)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			rd.count("reads failed")
			if rd.servesSince(from, begin) {
				rd.violation("read", "%s does not answer a read for %s: %v", from.name, rd.Timer.Now().Sub(begin), err)
			}
		case version < acknowledged:
			rd.violation("older", "%s reads version %d after %d was acknowledged", from.name, version, acknowledged)
		default:
			rd.recordRead(begin)
		}
	}
	return nil
}

// recordRead records a confirmed read that began at an instant.
func (r *run) recordRead(begin timer.Instant) {
	r.count("reads")
	calm := r.calmSince(begin)
	r.mu.Lock()
	defer r.mu.Unlock()
	c, now := &r.checks, r.Timer.Now()
	if c.firstRead < r.disturbed && begin > r.disturbed {
		c.firstRead = now
	}
	if calm {
		c.gap = max(c.gap, now.Sub(max(c.lastRead, r.disturbed)))
	}
	c.lastRead = now
}

// staller measures how late this process runs, which shows a machine that is too busy.
type staller struct{ *run }

func (s *staller) loop(ctx context.Context) error {
	for begin := s.Timer.Now(); timer.Sleep(ctx, s.Timer, pause) == nil; begin = s.Timer.Now() {
		late := s.Timer.Now().Sub(begin) - pause
		s.mu.Lock()
		s.checks.stall = max(s.checks.stall, late)
		if late > maxLate {
			s.checks.lateAt = s.Timer.Now()
		}
		s.mu.Unlock()
	}
	return nil
}

// roundFigures returns the longest time without a read and the slowest change of the round in calm,
// and how late this process ran.
func (r *run) roundFigures() (gap, change, stall time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checks.gap.Round(time.Millisecond), r.checks.slowestChange.Round(time.Millisecond), r.checks.stall.Round(time.Millisecond)
}

// report prints the counts, and returns an error if a check failed.
func (r *run) report() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.checks
	if _, err := fmt.Fprintf(r.Out, "outage seed %d: %v\n", r.Seed, c.counts); err != nil {
		return err
	}
	if c.counts["reads"] == 0 || c.counts["changes"] == 0 || c.counts["runs"] == 0 {
		return errors.New("no read or no change was answered or no request ran, so the run checked nothing")
	}
	if _, err := fmt.Fprintf(r.Out, "outage seed %d: first routes %+v, later routes %+v, time limits exceeded %+v\n", r.Seed, c.first, c.later, c.exceeded); err != nil {
		return err
	}
	for _, broken := range c.brokenShares() {
		c.violations = append(c.violations, broken)
		if _, err := fmt.Fprintln(r.Out, "BROKEN", broken); err != nil {
			return err
		}
	}
	if len(c.violations) > 0 {
		return ErrChecksFailed
	}
	return nil
}

// brokenShares returns the checks of shares of requests that fail.
func (c *checks) brokenShares() (list []string) {
	if c.later.asked >= leastLater && c.later.below(c.first) {
		list = append(list, fmt.Sprintf("routes that were added later are served %+v, the first ones %+v", c.later, c.first))
	}
	if late := c.exceeded.asked - c.exceeded.served; late*2 > c.exceeded.asked || late >= leastLate && late*4 > c.exceeded.asked {
		list = append(list, fmt.Sprintf("of %d requests that exceed the time limit of their route, %d are answered too late", c.exceeded.asked, late))
	}
	return list
}

// checkRecovered checks that every instance answers a read at the end of the recovery time.
func (r *run) checkRecovered(ctx context.Context) {
	r.mu.Lock()
	acknowledged := r.checks.acknowledged
	r.mu.Unlock()
	for _, n := range r.instances {
		if !n.process.Alive() {
			r.violation("ended", "%s has ended by itself: %v", n.name, n.process.Err())
			continue
		}
		version, err := r.readInTime(ctx, n)
		if ctx.Err() == nil && (err != nil || version < acknowledged) {
			r.violation("recovery", "%s reads version %d (%v) after the recovery time, expected %d", n.name, version, err, acknowledged)
		}
	}
}

// patience is how many recovery times a first read may take until the group counts as ended for good.
const patience = 3

// checkFirstRead checks that a read was confirmed within the recovery time after an instant. It waits
// longer for one that is late, to tell a group that is slow from one that has ended for good.
func (r *run) checkFirstRead(ctx context.Context, at timer.Instant) error {
	for r.sinceFirstRead(at) == never && r.Timer.Now().Before(at.Add(patience*r.Size.Recovery)) {
		if err := timer.Sleep(ctx, r.Timer, pause); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.ended = r.checks.firstRead < r.disturbed
	took := r.checks.firstRead.Sub(at)
	r.mu.Unlock()
	switch {
	case r.ended:
		r.violation("end", "no read is confirmed for %s, the group has ended for good", r.Timer.Now().Sub(at))
	case took > r.Size.Recovery:
		r.violation("first read", "the first read comes %s after the return, at most %s are allowed", took, r.Size.Recovery)
	}
	return nil
}

// checkGap checks the longest time without a confirmed read in calm, with the one that has not ended.
func (r *run) checkGap() {
	now := r.Timer.Now()
	calm := r.calmSince(now)
	r.mu.Lock()
	c := &r.checks
	if calm {
		c.gap = max(c.gap, now.Sub(max(c.lastRead, r.disturbed)))
	}
	gap := c.gap
	r.mu.Unlock()
	if gap > r.Size.Recovery {
		r.violation("gap", "no read is confirmed for %s in calm, at most %s are allowed", gap, r.Size.Recovery)
	}
}

// never is the time to a read that did not come.
const never = "never"

// sinceFirstRead returns the time from an instant to the first confirmed read after it.
func (r *run) sinceFirstRead(at timer.Instant) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks.firstRead < r.disturbed {
		return never
	}
	return "after " + r.checks.firstRead.Sub(at).Round(time.Millisecond).String()
}
