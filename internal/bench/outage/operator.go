package outage

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// routeAckTime is how much longer an acknowledgement may take for each route of a document beyond
// extraRoutes.
const routeAckTime = 3 * time.Millisecond

// pendingChange is a document on its way.
type pendingChange struct {
	document soak.Document
	sent     timer.Instant
}

// nextChange returns a change with the next version. Versions increase in uneven steps.
func (r *run) nextChange() *pendingChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.newest += 1 + r.checks.newest%3
	return &pendingChange{document: document(r.Seed, r.checks.newest)}
}

// record records that a change is sent from now on.
func (r *run) record(p *pendingChange) {
	c := r.contentOf(p.document, "")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.history.add(c)
	p.sent = r.Timer.Now()
}

// forbid records a document that must never be in force.
func (r *run) forbid(d soak.Document, why string) {
	c := r.contentOf(d, why)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.history.never = append(r.checks.history.never, c)
}

// contentOf returns the content of a document.
func (r *run) contentOf(d soak.Document, why string) *content {
	text := ""
	q, err := r.Dialect.ReplaceRequest(r.address(0), d)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(q.Body)
		text = string(body)
	}
	if err != nil {
		r.violation("change", "%v", err)
	}
	return newContent(d, text, why)
}

// replace sends a document to one instance. The status is 0 if the outcome is unknown.
func (r *run) replace(ctx context.Context, d soak.Document, to *instance) (status int, body string) {
	q, err := r.Dialect.ReplaceRequest(to.ip, d)
	if err != nil {
		r.violation("change", "%v", err)
		return http.StatusBadRequest, ""
	}
	if status, body, err = r.send(ctx, q, r.Size.Ack); err != nil {
		return 0, ""
	}
	return status, body
}

func refused(status int) bool { return status >= 400 && status < 500 }

// attempt sends a change to one instance. done is false if the outcome is unknown.
func (r *run) attempt(ctx context.Context, p *pendingChange, to *instance) (done bool) {
	status, body := r.replace(ctx, p.document, to)
	v := p.document.Version
	switch {
	case status == http.StatusOK:
		r.acknowledge(v)
		return true
	case refused(status):
		if !r.superseded(v) {
			r.violation("change", "%s refuses version %d: %d %.100s", to.name, v, status, body)
		}
		return true
	}
	r.count("changes sent again")
	return false
}

// superseded reports whether a change with a higher version may have been sent.
func (r *run) superseded(v int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checks.newest > v
}

// acknowledge records the acknowledgement of a version.
func (r *run) acknowledge(v int) {
	r.count("changes")
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	if s := r.checks.history.find(v); s != nil && s.acknowledged == 0 {
		s.acknowledged = now
	}
	if v > r.checks.acknowledged {
		r.checks.acknowledged = v
	}
}

// change sends a change to random instances until the outcome is known. It returns false if the
// context is done before.
func (r *run) change(ctx context.Context, p *pendingChange) bool {
	r.record(p)
	limit := r.Size.Ack + time.Duration(p.document.ExtraRoutes-extraRoutes)*routeAckTime
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
			if took > limit {
				r.violation("ack", "version %d took %s in calm", p.document.Version, took)
			}
			return true
		}
		_ = timer.Sleep(ctx, r.Timer, 100*time.Millisecond)
	}
	return false
}

// operator sends changes one after the other, and between them what must not become a change.
type operator struct {
	*run
	random *rand.Rand
}

func (o *operator) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		p := o.nextChange()
		if o.random.IntN(3) == 0 {
			o.sendInvalid(ctx, p.document)
		}
		rivals := o.random.IntN(6) == 0
		if rivals {
			o.sendRival(p.document)
		}
		o.change(ctx, p)
		switch o.random.IntN(6) {
		case 0:
			o.sendAgain(ctx, p.document)
		case 1:
			o.sendOlder(ctx)
		case 2:
			if !rivals {
				o.sendOther(ctx, p.document)
			}
		}
		wait := time.Duration(100+o.random.IntN(400)) * time.Millisecond
		if o.random.IntN(4) == 0 {
			// Long enough for a route to be in force everywhere.
			wait = soak.PropagationDelay + time.Duration(o.random.IntN(2000))*time.Millisecond
		}
		_ = timer.Sleep(ctx, o.Timer, wait)
	}
	return nil
}

// tell sends a document to random instances until one answers, three at most.
func (o *operator) tell(ctx context.Context, d soak.Document) (status int, body string, to *instance) {
	for range 3 {
		to = o.up(o.random)
		if status, body = o.replace(ctx, d, to); status != 0 && status < 500 || ctx.Err() != nil {
			break
		}
	}
	return status, body, to
}

// sendInvalid sends an invalid document under a version that a valid one is sent under later.
func (o *operator) sendInvalid(ctx context.Context, d soak.Document) {
	kind := invalidDocuments[o.random.IntN(len(invalidDocuments))]
	d = altered(d, "invalid")
	kind.spoil(&d)
	o.forbid(d, "invalid document: "+kind.name)
	status, _, to := o.tell(ctx, d)
	if o.count("invalid documents"); status == http.StatusOK {
		o.violation("invalid acknowledged", "%s acknowledges version %d with %s", to.name, d.Version, kind.name)
	}
}

// sendRival sends another content under a version that is about to be sent. Either may be in force,
// but not both.
func (o *operator) sendRival(d soak.Document) {
	p := &pendingChange{document: altered(d, "rival")}
	o.record(p)
	o.count("rival documents")
	o.group.Go("rival", (&insister{o.run, p, o.up(o.random)}).loop)
}

// sendAgain sends a change again that was acknowledged.
func (o *operator) sendAgain(ctx context.Context, d soak.Document) {
	status, body, to := o.tell(ctx, d)
	if o.count("changes resent"); refused(status) && !o.superseded(d.Version) {
		o.violation("resent refused", "%s refuses version %d, which was acknowledged: %d %.100s", to.name, d.Version, status, body)
	}
}

// sendOlder sends a change again that others have followed.
func (o *operator) sendOlder(ctx context.Context) {
	o.mu.Lock()
	old := o.checks.history.last(1 + o.random.IntN(10))
	o.mu.Unlock()
	if old == nil {
		return
	}
	d := document(o.Seed, old.version)
	status, body, to := o.tell(ctx, d)
	if o.count("older changes resent"); refused(status) {
		o.violation("older refused", "%s refuses version %d, which is older: %d %.100s", to.name, d.Version, status, body)
	}
}

// sendOther sends other content under a version that was acknowledged.
func (o *operator) sendOther(ctx context.Context, d soak.Document) {
	d = altered(d, "other")
	o.forbid(d, "other content under a version held")
	o.count("other contents")
	_, _, _ = o.tell(ctx, d)
}

// insister sends a change to one instance until it answers.
type insister struct {
	*run
	change *pendingChange
	to     *instance
}

func (i *insister) loop(ctx context.Context) error {
	for ctx.Err() == nil && !i.attempt(ctx, i.change, i.to) {
		_ = timer.Sleep(ctx, i.Timer, pause)
	}
	return nil
}

// insist sends two changes at once to one instance until it answers.
func (r *run) insist(to *instance) {
	for range 2 {
		p := r.nextChange()
		r.record(p)
		r.group.Go("insister", (&insister{r, p, to}).loop)
	}
}
