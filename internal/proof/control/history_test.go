package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	client "wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// history records the calls of operators and the configurations that entries used.
type history struct {
	mu             sync.Mutex
	operations     []porcupine.Operation
	outcomeUnknown []porcupine.Operation // changes that may have been applied
	accepted       []acceptedChange
	notApplied     []string // texts of changes that failed with certainty that they were not applied
	observations   []observation
	changeCount    int
}

// acceptedChange is a change that the control group accepted, with the reply to it.
type acceptedChange struct {
	request *wire.ApplyRequest
	reply   *wire.ApplyReply
}

// observation is a document that an entry used. The text is the name of its model.
type observation struct {
	entry    string
	revision uint64
	service  string
	text     string
}

// input is a read of a document, or a change if text is set.
type input struct {
	service string
	base    uint64
	text    string
}

// output is the revision that a read returned, that an accepted change got, or that a
// change conflicted with.
type output struct {
	revision uint64
	conflict bool
}

// documentRegister models a document as a compare-and-set register whose value is its revision.
var documentRegister = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		var partitions [][]porcupine.Operation
		for _, s := range services {
			var part []porcupine.Operation
			for _, o := range operations {
				if o.Input.(input).service == s {
					part = append(part, o)
				}
			}
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		revision, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case i.text == "":
			return o.revision == revision, revision
		case o.conflict:
			return i.base != revision && o.revision == revision, revision
		}
		return i.base == revision && o.revision > revision, o.revision
	},
}

// services lists the services whose documents the operators change.
var services = []string{"pool", "desk"}

func (h *history) addObservation(s observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, s)
}

// newText returns a new model name, which identifies a change.
func (h *history) newText() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changeCount++
	return fmt.Sprint("m", h.changeCount)
}

// randomAccepted returns a random accepted change.
func (h *history) randomAccepted(r *rand.Rand) (a acceptedChange, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.accepted) == 0 {
		return a, false
	}
	return h.accepted[r.IntN(len(h.accepted))], true
}

// operator changes documents and records the results.
type operator struct {
	cluster *testCluster
	client  *client.Client
	random  *rand.Rand
	// applyWait limits how long the reply to a change waits until the change is in force.
	applyWait time.Duration
	// maxResends limits how often a change with an unknown outcome is resent.
	maxResends int
}

func (o *operator) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(context.Background(), o.cluster.clock, d)
}

// status returns the status of the control instances.
func (o *operator) status() (*wire.StatusReply, error) {
	ctx, cancel := o.withTimeout(2 * time.Second)
	defer cancel()
	return o.client.Status(ctx, &wire.StatusRequest{})
}

// readRevision returns the revision of a document, zero if it does not exist.
func (o *operator) readRevision(service string) (revision uint64, err error) {
	ctx, cancel := o.withTimeout(2 * time.Second)
	defer cancel()
	start := o.cluster.clock.Now()
	r, err := o.client.Show(ctx, &wire.ShowRequest{Service: service})
	switch {
	case errors.Is(err, client.ErrNotFound):
		err = nil
	case err != nil:
		return 0, err
	default:
		revision = r.Documents[0].Revision
	}
	o.record(porcupine.Operation{Input: input{service: service}, Output: output{revision: revision}, Call: int64(start)})
	return revision, err
}

// record adds an operation that has just returned to the history.
func (o *operator) record(p porcupine.Operation) {
	h := &o.cluster.history
	h.mu.Lock()
	defer h.mu.Unlock()
	p.Return = int64(o.cluster.clock.Now())
	h.operations = append(h.operations, p)
}

// change makes a change and resends it while its outcome is unknown.
func (o *operator) change(service string, base uint64) (reply *wire.ApplyReply, err error) {
	text := o.cluster.history.newText()
	r := &wire.ApplyRequest{
		Service: service, Base: base, Change: "change-" + text, Text: document.Format(&document.Document{
			Service: document.Service(service), Kind: document.KindEngine, Models: []document.ModelSpec{{
				Name: document.Model(text), Versions: []document.VersionSpec{{Name: "v1", State: document.StateActive}},
			}},
		}), Wait: uint32(o.applyWait.Milliseconds()),
	}
	p := porcupine.Operation{Input: input{service: service, base: base, text: text}, Call: int64(o.cluster.clock.Now())}
	unknown := false
	for range o.maxResends + 1 {
		reply, err = o.apply(r)
		// Once the outcome of one attempt is unknown, only success or a conflict settles it: any
		// other error says nothing about the earlier attempt.
		unknown = unknown || errors.Is(err, client.ErrOutcomeUnknown)
		if !errors.Is(err, client.ErrOutcomeUnknown) && !(unknown && err != nil && !errors.Is(err, client.ErrConflict)) {
			break
		}
	}
	h := &o.cluster.history
	switch {
	case err == nil:
		p.Output = output{revision: reply.Revision}
		o.record(p)
		o.cluster.recordAccepted(reply)
		h.mu.Lock()
		h.accepted = append(h.accepted, acceptedChange{r, reply})
		h.mu.Unlock()
	case errors.Is(err, client.ErrConflict):
		p.Output = output{revision: reply.Revision, conflict: true}
		o.record(p)
	default:
		h.mu.Lock()
		defer h.mu.Unlock()
		p.Return = math.MaxInt64
		if unknown {
			h.outcomeUnknown = append(h.outcomeUnknown, p)
		} else {
			h.notApplied = append(h.notApplied, text)
		}
	}
	return reply, err
}

// apply sends a change once.
func (o *operator) apply(r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	ctx, cancel := o.withTimeout(2*time.Second + o.applyWait)
	defer cancel()
	return o.client.Apply(ctx, r)
}

// resend resends an accepted change and checks that the reply has its original revision.
func (o *operator) resend(a acceptedChange) (done bool) {
	ctx, cancel := o.withTimeout(2 * time.Second)
	defer cancel()
	r, err := o.client.Apply(ctx, &wire.ApplyRequest{Service: a.request.Service, Base: a.request.Base, Change: a.request.Change, Text: a.request.Text})
	if errors.Is(err, client.ErrOutcomeUnknown) || errors.Is(err, client.ErrUnavailable) || errors.Is(err, client.ErrStorageFull) {
		return false
	}
	if err != nil || !r.Repeated || r.Revision != a.reply.Revision {
		o.cluster.t.Errorf("resend of %s, accepted as revision %d: %v, %v", a.request.Change, a.reply.Revision, r, err)
	}
	return true
}

// run reads, changes and resends until the cluster stops.
func (o *operator) run(context.Context) error {
	for {
		select {
		case <-o.cluster.done:
			return nil
		default:
		}
		service := services[o.random.IntN(len(services))]
		if base, err := o.readRevision(service); err == nil {
			_, _ = o.change(service, base) // the history records the result
		}
		if a, ok := o.cluster.history.randomAccepted(o.random); ok && o.random.IntN(4) == 0 {
			o.resend(a)
		}
		o.cluster.sleep(50*time.Millisecond + time.Duration(o.random.Int64N(int64(o.cluster.maxOperatorPause))))
	}
}

// startOperators starts three operators; the second one waits for its changes to be in force.
func (tc *testCluster) startOperators() {
	for i, n := range []string{"op1", "op2", "op3"} {
		o := tc.newOperator(n)
		o.maxResends = i
		if i == 1 {
			o.applyWait = propagationLimit
		}
		tc.group.Go(n, o.run)
	}
}

// healAndCheck ends all faults and checks the recorded history.
func (tc *testCluster) healAndCheck() {
	tc.t.Helper()
	for _, a := range tc.processNames() {
		for _, b := range tc.processNames() {
			tc.network.setDropped(a, b, false)
		}
	}
	for _, a := range tc.addresses {
		tc.instances[a].fileSystem.SetFreeBytes(1 << 40)
		tc.startInstance(a)
	}
	tc.driver.applyWait, tc.driver.maxResends = propagationLimit, 20
	tc.requireChange(services[0])
	tc.requireChange(services[1])
	tc.stopOperators()
	for n := range tc.entries {
		tc.stopEntry(n)
	}
	tc.checkHistory(tc.driver)
}

// stopOperators stops the operators and waits for them.
func (tc *testCluster) stopOperators() {
	tc.stopOnce.Do(func() { close(tc.done) })
	if err := tc.group.Stop(); err != nil {
		tc.t.Error(err)
	}
}

// stop stops everything; it is also used after a failed test.
func (tc *testCluster) stop() {
	tc.stopOperators()
	for n := range tc.entries {
		tc.stopEntry(n)
	}
	tc.kill(tc.addresses...)
	for _, n := range tc.processNames() {
		tc.network.closeConnections(n)
	}
}

// requireChange makes a change that must be accepted, and in force if the driver waits for
// that.
func (tc *testCluster) requireChange(service string) (reply *wire.ApplyReply) {
	tc.t.Helper()
	o := tc.driver
	tc.waitFor("a change of "+service+" to be accepted and in force", func() bool {
		base, err := o.readRevision(service)
		if err != nil {
			return false
		}
		reply, err = o.change(service, base)
		return err == nil && (o.applyWait == 0 || reply.Inforce)
	})
	return reply
}

// checkHistory checks the recorded calls and observations against the history that the
// control group stores at the end.
func (tc *testCluster) checkHistory(d *operator) {
	tc.t.Helper()
	h := &tc.history
	revisions := map[string]uint64{}        // by text
	texts := map[string]map[uint64]string{} // by service and revision
	for _, s := range services {
		var r *wire.HistoryReply
		tc.waitFor("the history of "+s, func() bool {
			ctx, cancel := d.withTimeout(2 * time.Second)
			defer cancel()
			var err error
			r, err = d.client.History(ctx, &wire.HistoryRequest{Service: s})
			return err == nil
		})
		texts[s] = map[uint64]string{}
		for _, k := range r.Documents {
			p, err := document.Parse(s, k.Text)
			if err != nil {
				tc.t.Fatal(err)
			}
			name := string(p.Models[0].Name)
			if revisions[name] != 0 {
				tc.t.Errorf("change %s was applied twice", name)
			}
			revisions[name], texts[s][k.Revision] = k.Revision, name
		}
	}
	// Resends at most 100 of the accepted changes.
	for i := 0; i < len(h.accepted); i += 1 + len(h.accepted)/100 {
		a := h.accepted[i]
		tc.waitFor("a reply to a resend", func() bool { return d.resend(a) })
	}
	for _, x := range h.notApplied {
		if revisions[x] != 0 {
			tc.t.Errorf("change %s was applied although its reply said that it was not", x)
		}
	}
	for _, s := range h.observations {
		if latest := textAtRevision(texts[s.service], s.revision); latest != s.text {
			tc.t.Errorf("%s used %s of %s at revision %d, the history has %s", s.entry, s.text, s.service, s.revision, latest)
		}
	}
	for _, p := range h.outcomeUnknown {
		if r := revisions[p.Input.(input).text]; r != 0 {
			p.Output = output{revision: r}
			h.operations = append(h.operations, p)
		}
	}
	if len(h.operations) < 4 || len(h.observations) == 0 {
		tc.t.Errorf("recorded only %d operations and %d observations", len(h.operations), len(h.observations))
	}
	if !porcupine.CheckOperations(documentRegister, h.operations) {
		tc.t.Errorf("the history of %d operations is not linearizable", len(h.operations))
	}
}

// textAtRevision returns the text of the highest revision up to the given one.
func textAtRevision(texts map[uint64]string, revision uint64) (text string) {
	best := uint64(0)
	for r, x := range texts {
		if r <= revision && r > best {
			best, text = r, x
		}
	}
	return text
}
