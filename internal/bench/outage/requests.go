package outage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// recentVersions is from how many versions back probers ask for routes and keys.
const recentVersions = 10

// earlyTolerance is how much earlier than its time limit a request may be given up.
const earlyTolerance = 50 * time.Millisecond

// ask sends a request to one instance and checks the outcome. Upstreams check the run.
func (r *run) ask(ctx context.Context, q *request, random *rand.Rand) error {
	hq, err := http.NewRequest(http.MethodGet, "http://"+r.Dialect.FrontendAddress(q.to.ip)+q.path+"x", nil)
	if err != nil {
		return err
	}
	q.id = fmt.Sprintf("%x-%x", r.Seed, random.Uint64())
	names := r.Dialect.Protocol()
	hq.Host = q.host
	if q.key != "" {
		hq.Header.Set(names.Authorization, names.AuthScheme+" "+q.key)
	}
	hq.Header.Set(names.RequestID, q.id)
	hq.Header.Set(names.Deadline, strconv.FormatInt((2*readTimeout).Milliseconds(), 10))
	r.mu.Lock()
	q.lifetime, q.sent = q.to.process, r.Timer.Now()
	r.checks.requests[q.id] = q
	r.mu.Unlock()
	status, body, err := r.send(ctx, hq, readTimeout)
	if ctx.Err() != nil {
		return nil
	}
	r.count(fmt.Sprint("requests answered ", status))
	inTouch := r.servesSince(q.to, q.sent)
	if inTouch {
		r.checkLimit(q, status, r.Timer.Now().Sub(q.sent))
		r.recordShare(q, status == http.StatusOK)
	}
	switch {
	case err != nil:
	case strings.Contains(body, "not confirmed") && inTouch:
		r.violation("refused", "%s refuses: %d %.100s", q.to.name, status, body)
	case status == http.StatusNotFound || status == http.StatusUnauthorized || status == http.StatusForbidden:
		r.check(q, outcome{status: status})
	}
	return nil
}

// recordRun checks a run of a request.
func (r *run) recordRun(id string, o outcome) {
	r.mu.Lock()
	q := r.checks.requests[id]
	r.mu.Unlock()
	if q == nil {
		r.violation("run that nobody asked for", "%s runs %s", o.service, id)
		return
	}
	r.count("runs")
	r.check(q, o)
}

// check checks what became of a request.
func (r *run) check(q *request, o outcome) {
	inTouch := r.servesSince(q.to, q.sent)
	r.mu.Lock()
	now := r.Timer.Now()
	failed := r.checks.history.judge(q, o, now, inTouch, r.slowedSince(q.sent))
	newest, acknowledged := r.checks.newest, r.checks.acknowledged
	r.mu.Unlock()
	if failed != "" {
		r.violation(failed, "%s: %s: %s%s with key %q sent %s ago: %+v; newest version %d, acknowledged %d",
			q.to.name, failed, q.host, q.path, q.key, now.Sub(q.sent), o, newest, acknowledged)
	}
}

// checkLimit checks the time that a request on the slow route took.
func (r *run) checkLimit(q *request, status int, took time.Duration) {
	if q.path != slowPath || q.key != soak.APIKey {
		return
	}
	r.mu.Lock()
	shortest, longest := limitsOf(r.checks.history.since(q.sent.Add(-soak.PropagationDelay)), q.path)
	if took > longest {
		r.checks.exceeded.add(took <= longest+lateTolerance)
	}
	r.mu.Unlock()
	if status == http.StatusGatewayTimeout && took < shortest-earlyTolerance {
		r.violation("older time limit", "%s gives a request up after %s, expected %s at least", q.to.name, took, shortest)
	}
}

// recordShare records whether a request was served that all documents which may be in force allow.
func (r *run) recordShare(q *request, served bool) {
	if q.path == slowPath || !r.calmSince(q.sent) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if anyOf(r.checks.history.since(q.sent.Add(-soak.PropagationDelay)), func(c *content) bool { return !c.owes(q) }) {
		return
	}
	if q.path == soak.ReadPath {
		r.checks.first.add(served)
	} else {
		r.checks.later.add(served)
	}
}

// prober asks random instances for routes of all kinds.
type prober struct {
	*run
	random *rand.Rand
}

func (p *prober) loop(ctx context.Context) error {
	for timer.Sleep(ctx, p.Timer, pause) == nil {
		if err := p.ask(ctx, p.draw(), p.random); err != nil {
			return err
		}
	}
	return nil
}

// target draws an instance. Half of the requests go to one that is impaired, if there is one, since
// some checks hold for all instances.
func (p *prober) target() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.instances
	// An instance that is being replaced is not in the core any more.
	impaired := slices.DeleteFunc(slices.Clone(p.core), func(n *instance) bool { return !n.impaired })
	if len(impaired) > 0 && p.random.IntN(2) == 0 {
		list = impaired
	}
	return list[p.random.IntN(len(list))]
}

// draw draws a request.
func (p *prober) draw() *request {
	q := &request{to: p.target(), host: soak.Host, path: soak.ReadPath, key: soak.APIKey}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &p.checks.history
	newest, recent := h.last(0).contents[0], h.last(0).contents[0]
	if s := h.last(p.random.IntN(recentVersions)); s != nil {
		recent = s.contents[p.random.IntN(len(s.contents))]
	}
	switch p.random.IntN(16) {
	case 0, 1:
		q.path = newest.document.AddedPath
	case 2:
		q.path = recent.document.AddedPath
	case 3:
		q.path = recent.document.ExtraPath(p.random.IntN(recent.document.ExtraRoutes))
	case 4:
		q.path = fmt.Sprintf("/never-%d/", p.random.IntN(1000))
	case 5, 6:
		if n := len(h.never); n > 0 {
			d := h.never[max(n-1-p.random.IntN(recentVersions), 0)].document
			q.path = []string{d.AddedPath, soak.ReadPath}[p.random.IntN(2)]
			if q.path == soak.ReadPath {
				q.key = d.APIKey
			}
		}
	case 7:
		q.key = changingKey(p.random.IntN(changingKeys))
	case 8:
		q.key = recent.document.APIKey
	case 9:
		q.path, q.key = openPath, []string{"", soak.APIKey}[p.random.IntN(2)]
	case 10:
		q.path = slowPath
	case 11:
		q.path, q.host = spelledPath, append(hostSpellings, soak.Host+":8227")[p.random.IntN(len(hostSpellings)+1)]
	case 12, 13:
		q.path = []string{movedPath, splitPath, innerPath, guestPath}[p.random.IntN(4)]
	case 14:
		q.path = fmt.Sprintf(comingPath, p.random.IntN(comingRoutes))
	}
	return q
}

// sweeper asks one instance, whatever its state, for what an acknowledged version has added and
// dropped as soon as it must be in force.
type sweeper struct {
	*run
	number int
	random *rand.Rand
	// routes and keys are the versions that were asked for last.
	routes, keys int
}

func (s *sweeper) loop(ctx context.Context) error {
	for timer.Sleep(ctx, s.Timer, pause/2) == nil {
		for _, q := range s.due() {
			if err := s.ask(ctx, q, s.random); err != nil {
				return err
			}
		}
	}
	return nil
}

// due returns the requests whose time has come since the last call.
func (s *sweeper) due() (list []*request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, to := &s.checks.history, s.instances[s.number%len(s.instances)]
	add := func(path, key string) {
		list = append(list, &request{to: to, host: soak.Host, path: path, key: key})
	}
	now := s.Timer.Now()
	if current, before := acknowledgedPair(h.since(now.Add(-soak.PropagationDelay)), h); current != nil && current.version > s.routes {
		s.routes = current.version
		add(current.contents[0].document.AddedPath, soak.APIKey)
		add(fmt.Sprintf("/never-%d/", current.version), soak.APIKey)
		if before != nil {
			add(before.contents[0].document.AddedPath, soak.APIKey)
		}
	}
	if current, before := acknowledgedPair(h.since(now.Add(-soak.RevocationDelay)), h); current != nil && before != nil && current.version > s.keys {
		s.keys = current.version
		add(soak.ReadPath, before.contents[0].document.APIKey)
	}
	return list
}

// acknowledgedPair returns the first of versions if it was acknowledged, and the version before it.
func acknowledgedPair(list []*sentVersion, h *history) (current, before *sentVersion) {
	if list[0].acknowledged == 0 {
		return nil, nil
	}
	if n := len(h.versions) - len(list); n > 0 {
		before = h.versions[n-1]
	}
	return list[0], before
}
