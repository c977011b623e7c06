package outage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// checks holds what was observed. It is guarded by run.mu unless a method says otherwise.
type checks struct {
	newest         int // version that was sent last
	acknowledged   int // newest version that was acknowledged
	acknowledgedAt timer.Instant
	counts         map[string]int
	violations     []string
	round          string
	firstRead      timer.Instant
	lastRead       timer.Instant
	gap            time.Duration
	slowestChange  time.Duration
	stall          time.Duration // of this process
	lateAt         timer.Instant // when this process last ran late by more than maxLate
}

// maxViolations bounds the report.
const maxViolations = 40

// maxLate is how late this process may run for its times to count. The instances, which run beside
// it, miss their election timeouts when they run that late.
const maxLate = 300 * time.Millisecond

func (c *checks) beginRound(name string) {
	c.round, c.gap, c.slowestChange, c.stall = name, 0, 0, 0
}

// violation records a failed check.
func (r *run) violation(kind, format string, args ...any) {
	r.count("broken " + kind)
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	round, n := r.checks.round, len(r.checks.violations)
	if n < maxViolations {
		r.checks.violations = append(r.checks.violations, round+": "+text)
	}
	r.mu.Unlock()
	if n < maxViolations {
		r.printf("BROKEN %s: %s", round, text)
	}
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks.counts == nil {
		r.checks.counts = map[string]int{}
	}
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

// document returns the document of a version.
func document(version int) soak.Document {
	return soak.Document{Version: version, AddedPath: fmt.Sprintf("/added-%d/", version), APIKey: fmt.Sprint("key-", version), ExtraRoutes: extraRoutes}
}

// pendingChange is a document on its way.
type pendingChange struct {
	document soak.Document
	sent     timer.Instant
}

// attempt sends a change to one instance. done is false if the outcome is unknown.
func (r *run) attempt(ctx context.Context, p *pendingChange, to *instance) (done bool) {
	q, err := r.Dialect.ReplaceRequest(to.ip, p.document)
	if err != nil {
		r.violation("change", "%v", err)
		return true
	}
	status, body, err := r.send(ctx, q, r.Size.Ack)
	v := p.document.Version
	switch {
	case err == nil && status == http.StatusOK:
		r.acknowledge(v)
		return true
	case err == nil && status >= 400 && status < 500:
		r.mu.Lock()
		superseded := r.checks.newest > v
		r.mu.Unlock()
		if !superseded {
			r.violation("change", "%s refuses version %d: %d %.100s", to.name, v, status, body)
		}
		return true
	}
	r.count("changes sent again")
	return false
}

// acknowledge records the acknowledgement of a version.
func (r *run) acknowledge(v int) {
	r.count("changes")
	r.mu.Lock()
	defer r.mu.Unlock()
	if v > r.checks.acknowledged {
		r.checks.acknowledged, r.checks.acknowledgedAt = v, r.Timer.Now()
	}
}

// change sends a change to random instances until the outcome is known. It returns false if the
// context is done before.
func (r *run) change(ctx context.Context, p *pendingChange) bool {
	random := rand.New(rand.NewPCG(r.Seed, uint64(p.document.Version)))
	for ctx.Err() == nil {
		if r.attempt(ctx, p, r.up(random)) {
			took := r.Timer.Now().Sub(p.sent)
			if !r.calmSince(p.sent) {
				return true
			}
			r.mu.Lock()
			r.checks.slowestChange = max(r.checks.slowestChange, took)
			r.mu.Unlock()
			if took > r.Size.Ack {
				r.violation("ack", "version %d took %s in calm", p.document.Version, took)
			}
			return true
		}
		_ = timer.Sleep(ctx, r.Timer, 100*time.Millisecond)
	}
	return false
}

// nextChange returns a change with the next version.
func (r *run) nextChange() *pendingChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.newest++
	return &pendingChange{document: document(r.checks.newest), sent: r.Timer.Now()}
}

// operator sends changes one after the other.
type operator struct {
	*run
	random *rand.Rand
}

func (o *operator) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		o.change(ctx, o.nextChange())
		wait := time.Duration(100+o.random.IntN(400)) * time.Millisecond
		if o.random.IntN(4) == 0 {
			// Long enough for a route to be in force everywhere.
			wait = soak.PropagationDelay + time.Duration(o.random.IntN(2000))*time.Millisecond
		}
		_ = timer.Sleep(ctx, o.Timer, wait)
	}
	return nil
}

// versionPattern finds the version in a document.
var versionPattern = regexp.MustCompile(`"version":\s*(\d+)[,}\s]`)

// read reads the document from an instance.
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
	return strconv.Atoi(m[1])
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

// prober asks random instances for routes.
type prober struct {
	*run
	random *rand.Rand
}

func (p *prober) loop(ctx context.Context) error {
	for timer.Sleep(ctx, p.Timer, pause) == nil {
		if err := p.probe(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

func (p *prober) probe(ctx context.Context) error {
	begin, to, path := p.Timer.Now(), p.up(p.random), soak.ReadPath
	p.mu.Lock()
	c := &p.checks
	version := c.acknowledged
	current := c.newest == version && c.acknowledgedAt.Add(soak.PropagationDelay) < begin
	if current {
		path = document(version).AddedPath
	}
	p.mu.Unlock()
	q, err := http.NewRequest(http.MethodGet, "http://"+p.Dialect.FrontendAddress(to.ip)+path+"x", nil)
	if err != nil {
		return err
	}
	names := p.Dialect.Protocol()
	q.Host = soak.Host
	q.Header.Set(names.Authorization, names.AuthScheme+" "+soak.APIKey)
	q.Header.Set(names.RequestID, fmt.Sprintf("%x-%x", p.Seed, p.random.Uint64()))
	q.Header.Set(names.Deadline, strconv.FormatInt(readTimeout.Milliseconds(), 10))
	status, body, err := p.send(ctx, q, readTimeout)
	p.count(fmt.Sprint("probes answered ", status))
	if err != nil || !p.servesSince(to, begin) {
		return nil
	}
	p.mu.Lock()
	current = current && c.newest == version
	p.mu.Unlock()
	switch {
	case strings.Contains(body, "not confirmed"):
		p.violation("refused", "%s refuses: %d %.100s", to.name, status, body)
	case status == http.StatusNotFound && (current || path == soak.ReadPath):
		p.violation("missing", "%s does not know %s", to.name, path)
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
	if c.counts["reads"] == 0 || c.counts["changes"] == 0 {
		return errors.New("no read or no change was answered, so the run checked nothing")
	}
	if len(c.violations) > 0 {
		return ErrChecksFailed
	}
	return nil
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

// sinceFirstRead returns the time from an instant to the first confirmed read after it.
func (r *run) sinceFirstRead(at timer.Instant) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks.firstRead < r.disturbed {
		return "never"
	}
	return r.checks.firstRead.Sub(at).Round(time.Millisecond).String()
}
