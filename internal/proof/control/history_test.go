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

// history is what operators and entries saw.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	unknown    []porcupine.Operation
	accepted   []accepted
	refused    []string // texts of changes of which nothing was done
	seen       []seen
	changes    int
}

type accepted struct {
	request *wire.ApplyRequest
	reply   *wire.ApplyReply
}

// seen is a document that an entry acted on.
type seen struct {
	who      string
	revision uint64
	service  string
	text     string
}

// input is a read, or a change of a document if text is set.
type input struct {
	service string
	base    uint64
	text    string
}

// output is the revision of a read, of an accepted change, or of the document that a
// refused change met.
type output struct {
	revision uint64
	refused  bool
}

// register is one document: a register with compare-and-set whose value is its revision.
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		var out [][]porcupine.Operation
		for _, s := range services {
			var part []porcupine.Operation
			for _, o := range all {
				if o.Input.(input).service == s {
					part = append(part, o)
				}
			}
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		revision, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case i.text == "":
			return o.revision == revision, revision
		case o.refused:
			return i.base != revision && o.revision == revision, revision
		}
		return i.base == revision && o.revision > revision, o.revision
	},
}

var services = []string{"pool", "desk"}

func (h *history) see(s seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, s)
}

func (h *history) next() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes++
	return fmt.Sprint("m", h.changes)
}

// again picks an accepted change.
func (h *history) again(r *rand.Rand) (a accepted, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.accepted) == 0 {
		return a, false
	}
	return h.accepted[r.IntN(len(h.accepted))], true
}

// operator changes documents and notes what came of it.
type operator struct {
	world  *world
	client *client.Client
	random *rand.Rand
	wait   time.Duration
	// patience is how often a change is sent again whose outcome is unknown.
	patience int
}

func (o *operator) limit(d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(context.Background(), o.world.clock, d)
}

func (o *operator) status() (*wire.StatusReply, error) {
	ctx, cancel := o.limit(2 * time.Second)
	defer cancel()
	return o.client.Status(ctx, &wire.StatusRequest{})
}

// read returns the revision of a document, zero if there is none.
func (o *operator) read(service string) (revision uint64, err error) {
	ctx, cancel := o.limit(2 * time.Second)
	defer cancel()
	began := o.world.clock.Now()
	r, err := o.client.Show(ctx, &wire.ShowRequest{Service: service})
	switch {
	case errors.Is(err, client.ErrNotFound):
		err = nil
	case err != nil:
		return 0, err
	default:
		revision = r.Documents[0].Revision
	}
	o.note(porcupine.Operation{Input: input{service: service}, Output: output{revision: revision}, Call: int64(began)})
	return revision, err
}

// note adds an operation that has just returned.
func (o *operator) note(p porcupine.Operation) {
	h := &o.world.log
	h.mu.Lock()
	defer h.mu.Unlock()
	p.Return = int64(o.world.clock.Now())
	h.operations = append(h.operations, p)
}

// change makes one change and sends it again while its outcome is unknown.
func (o *operator) change(service string, base uint64) (reply *wire.ApplyReply, err error) {
	text := o.world.log.next()
	r := &wire.ApplyRequest{
		Service: service, Base: base, Change: "change-" + text, Text: document.Format(&document.Document{
			Service: document.Service(service), Kind: document.KindEngine, Models: []document.ModelSpec{{
				Name: document.Model(text), Versions: []document.VersionSpec{{Name: "v1", State: document.StateActive}},
			}},
		}), Wait: uint32(o.wait.Milliseconds()),
	}
	p := porcupine.Operation{Input: input{service: service, base: base, text: text}, Call: int64(o.world.clock.Now())}
	unknown := false
	for range o.patience + 1 {
		reply, err = o.apply(r)
		unknown = unknown || errors.Is(err, client.ErrOutcomeUnknown)
		if !errors.Is(err, client.ErrOutcomeUnknown) && !(unknown && err != nil && !errors.Is(err, client.ErrConflict)) {
			break
		}
	}
	h := &o.world.log
	switch {
	case err == nil:
		p.Output = output{revision: reply.Revision}
		o.note(p)
		o.world.accepted(reply)
		h.mu.Lock()
		h.accepted = append(h.accepted, accepted{r, reply})
		h.mu.Unlock()
	case errors.Is(err, client.ErrConflict):
		p.Output = output{revision: reply.Revision, refused: true}
		o.note(p)
	default:
		h.mu.Lock()
		defer h.mu.Unlock()
		p.Return = math.MaxInt64
		if unknown {
			h.unknown = append(h.unknown, p)
		} else {
			h.refused = append(h.refused, text)
		}
	}
	return reply, err
}

func (o *operator) apply(r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	ctx, cancel := o.limit(2*time.Second + o.wait)
	defer cancel()
	return o.client.Apply(ctx, r)
}

// resend sends an accepted change again and expects its first answer.
func (o *operator) resend(a accepted) (done bool) {
	ctx, cancel := o.limit(2 * time.Second)
	defer cancel()
	r, err := o.client.Apply(ctx, &wire.ApplyRequest{Service: a.request.Service, Base: a.request.Base, Change: a.request.Change, Text: a.request.Text})
	if errors.Is(err, client.ErrOutcomeUnknown) || errors.Is(err, client.ErrUnavailable) || errors.Is(err, client.ErrStorageFull) {
		return false
	}
	if err != nil || !r.Repeated || r.Revision != a.reply.Revision {
		o.world.t.Errorf("resend of %s, accepted as revision %d: %v, %v", a.request.Change, a.reply.Revision, r, err)
	}
	return true
}

// loop reads, changes and resends until the world ends.
func (o *operator) loop(context.Context) error {
	for {
		select {
		case <-o.world.done:
			return nil
		default:
		}
		service := services[o.random.IntN(len(services))]
		if base, err := o.read(service); err == nil {
			_, _ = o.change(service, base) // the history has what came of it
		}
		if a, ok := o.world.log.again(o.random); ok && o.random.IntN(4) == 0 {
			o.resend(a)
		}
		o.world.sleep(50*time.Millisecond + time.Duration(o.random.Int64N(int64(o.world.pace))))
	}
}

// operate starts the operators; the second one waits for its changes to be in force.
func (w *world) operate() {
	for i, n := range []string{"op1", "op2", "op3"} {
		o := w.operator(n)
		o.patience = i
		if i == 1 {
			o.wait = bound
		}
		w.run.Go(n, o.loop)
	}
}

// finish ends all faults and checks everything that was seen.
func (w *world) finish() {
	w.t.Helper()
	for _, a := range w.names() {
		for _, b := range w.names() {
			w.network.cut(a, b, false)
		}
	}
	for _, a := range w.addresses {
		w.instances[a].files.SetFreeBytes(1 << 40)
		w.start(a)
	}
	w.driver.wait, w.driver.patience = bound, 20
	w.must(services[0])
	w.must(services[1])
	w.rest()
	for n := range w.entries {
		w.leave(n)
	}
	w.check(w.driver)
}

// rest ends the operators.
func (w *world) rest() {
	w.ended.Do(func() { close(w.done) })
	if err := w.run.Stop(); err != nil {
		w.t.Error(err)
	}
}

// end stops everything, also after a test that has failed.
func (w *world) end() {
	w.rest()
	for n := range w.entries {
		w.leave(n)
	}
	w.kill(w.addresses...)
	for _, n := range w.names() {
		w.network.sever(n)
	}
}

// must makes a change that has to be accepted and in force.
func (w *world) must(service string) (reply *wire.ApplyReply) {
	w.t.Helper()
	o := w.driver
	w.until("a change of "+service+" is accepted and in force", func() bool {
		base, err := o.read(service)
		if err != nil {
			return false
		}
		reply, err = o.change(service, base)
		return err == nil && (o.wait == 0 || reply.Inforce)
	})
	return reply
}

// check compares what was seen with the history that the group holds at the end.
func (w *world) check(d *operator) {
	w.t.Helper()
	h := &w.log
	texts := map[string]uint64{}
	at := map[string]map[uint64]string{}
	for _, s := range services {
		var r *wire.HistoryReply
		w.until("the history of "+s, func() bool {
			ctx, cancel := d.limit(2 * time.Second)
			defer cancel()
			var err error
			r, err = d.client.History(ctx, &wire.HistoryRequest{Service: s})
			return err == nil
		})
		at[s] = map[uint64]string{}
		for _, k := range r.Documents {
			p, err := document.Parse(s, k.Text)
			if err != nil {
				w.t.Fatal(err)
			}
			name := string(p.Models[0].Name)
			if texts[name] != 0 {
				w.t.Errorf("change %s was made twice", name)
			}
			texts[name], at[s][k.Revision] = k.Revision, name
		}
	}
	for i := 0; i < len(h.accepted); i += 1 + len(h.accepted)/100 {
		a := h.accepted[i]
		w.until("a resend is answered", func() bool { return d.resend(a) })
	}
	for _, x := range h.refused {
		if texts[x] != 0 {
			w.t.Errorf("change %s was made though it was answered with nothing done", x)
		}
	}
	for _, s := range h.seen {
		if latest := upTo(at[s.service], s.revision); latest != s.text {
			w.t.Errorf("%s acted on %s of %s at revision %d, the history has %s", s.who, s.text, s.service, s.revision, latest)
		}
	}
	for _, p := range h.unknown {
		if r := texts[p.Input.(input).text]; r != 0 {
			p.Output = output{revision: r}
			h.operations = append(h.operations, p)
		}
	}
	if len(h.operations) < 4 || len(h.seen) == 0 {
		w.t.Errorf("only %d operations and %d actions seen", len(h.operations), len(h.seen))
	}
	if !porcupine.CheckOperations(register, h.operations) {
		w.t.Errorf("the history of %d operations is not linearizable", len(h.operations))
	}
}

// upTo returns the text of the greatest revision that is at most the given one.
func upTo(at map[uint64]string, revision uint64) (text string) {
	best := uint64(0)
	for r, x := range at {
		if r <= revision && r > best {
			best, text = r, x
		}
	}
	return text
}
