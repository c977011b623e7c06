package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// keptHistory bounds the revisions kept per service, so that a service that
	// changes all day does not grow the snapshot without end.
	keptHistory = 1024
	// keptChanges bounds the list that deltas are taken from; an entry that is
	// further behind gets the full state.
	keptChanges = 4096
)

// Config is the state machine of group 0. Apply, Snapshot and Restore are called
// from one goroutine; the other methods may be called from any.
type Config struct {
	mu       sync.RWMutex
	revision uint64
	instant  int64
	groups   uint32
	// history holds the kept revisions of each service, oldest first; the last is the current one.
	history  map[string][]*wire.Document
	changes  map[string]*wire.Receipt
	bases    map[baseKey]*wire.Receipt
	receipts expiry[*wire.Receipt]
	registry map[string]*wire.Registration
	drains   map[string]bool
	suspects map[string]*wire.Suspicion
	// token is the last fencing token; orders holds the latest orders, oldest first.
	token  uint64
	orders []*wire.OrderRecord
	// drained counts changes of drains since this process started.
	drained uint64
	// recent lists what changed at which revision, oldest first; floor is the
	// revision up to which it is not complete.
	recent  []change
	floor   uint64
	changed chan struct{}
}

type baseKey struct {
	service string
	base    uint64
	digest  string
}

type change struct {
	revision uint64
	service  string
	upstream string
	suspect  string
}

// NewConfig returns an empty group 0.
func NewConfig() *Config {
	c := &Config{changed: make(chan struct{})}
	c.reset()
	return c
}

func (c *Config) reset() {
	c.revision, c.instant, c.groups, c.floor = 0, 0, 0, 0
	c.history = map[string][]*wire.Document{}
	c.changes = map[string]*wire.Receipt{}
	c.bases = map[baseKey]*wire.Receipt{}
	c.receipts = expiry[*wire.Receipt]{}
	c.registry = map[string]*wire.Registration{}
	c.drains = map[string]bool{}
	c.suspects = map[string]*wire.Suspicion{}
	c.recent = nil
	c.token, c.orders = 0, nil
}

// Digest returns the digest of a document's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Apply carries out one command and returns the marshalled reply.
func (c *Config) Apply(_ replica.Index, command []byte) []byte {
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		return malformed("command cannot be decoded")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instant = max(c.instant, m.Instant)
	c.expire()
	switch b := m.Body.(type) {
	case *wire.Command_Apply:
		return encode(c.apply(b.Apply, m.Instant))
	case *wire.Command_Announce:
		return encode(c.announce(b.Announce.GetUpstream()))
	case *wire.Command_Leave:
		return encode(c.leave(b.Leave))
	case *wire.Command_Drain:
		return encode(c.drain(b.Drain))
	case *wire.Command_Suspect:
		return encode(c.suspect(b.Suspect))
	case *wire.Command_Form:
		return encode(c.form(b.Form))
	case *wire.Command_Order:
		return encode(c.order(b.Order))
	}
	return malformed("command is not for group 0")
}

// apply accepts a change of a document or refuses it. A resend gets the first answer.
// The text is checked before the proposal and not here: replicas of two versions that
// judged a text differently would diverge.
func (c *Config) apply(r *wire.ApplyRequest, instant int64) *wire.ApplyReply {
	digest := Digest(r.Text)
	if reply := c.answered(r, digest); reply != nil {
		return reply
	}
	if r.Service == "" {
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "service is empty")}
	}
	current := c.current(r.Service).GetRevision()
	if r.Base != current {
		f := fault(wire.Code_CODE_CONFLICT, fmt.Sprintf("document %s is at revision %d, not %d", r.Service, current, r.Base))
		f.Revision = current
		reply := &wire.ApplyReply{Fault: f, Revision: current}
		c.keep(r, digest, reply)
		return reply
	}
	c.revision++
	d := &wire.Document{
		Service: r.Service, Revision: c.revision, Text: r.Text, Digest: digest,
		Operator: r.Operator, Change: r.Change, Instant: instant,
	}
	c.store(d)
	c.note(change{revision: c.revision, service: r.Service})
	reply := &wire.ApplyReply{Revision: c.revision}
	c.keep(r, digest, reply)
	return reply
}

// PriorReply returns the first answer to a change that was seen before, nil to a new one.
func (c *Config) PriorReply(r *wire.ApplyRequest) *wire.ApplyReply {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.answered(r, Digest(r.Text))
}

// answered returns the first answer to a change that was seen before. A change
// id that was accepted names one change only; one that was refused may be used
// again with another base or text.
func (c *Config) answered(r *wire.ApplyRequest, digest string) *wire.ApplyReply {
	key := baseKey{service: r.Service, base: r.Base, digest: digest}
	if k, ok := c.changes[r.Change]; ok && r.Change != "" {
		if key == (baseKey{service: k.Service, base: k.Base, digest: k.Digest}) {
			return again(k)
		}
		if k.Reply.GetFault() == nil {
			f := fault(wire.Code_CODE_CONFLICT, fmt.Sprintf("change id %s was used for another change, accepted as revision %d", r.Change, k.Reply.Revision))
			f.Revision = c.current(r.Service).GetRevision()
			return &wire.ApplyReply{Fault: f, Revision: f.Revision}
		}
	}
	if k, ok := c.bases[key]; ok {
		return again(k)
	}
	return nil
}

func again(k *wire.Receipt) *wire.ApplyReply {
	reply := proto.CloneOf(k.Reply)
	reply.Repeated = true
	return reply
}

// keep stores the answer for resends. A refusal is kept by its change id only:
// the same base and text may become valid for somebody else later.
func (c *Config) keep(r *wire.ApplyRequest, digest string, reply *wire.ApplyReply) {
	if reply.Fault != nil && r.Change == "" {
		return
	}
	c.index(&wire.Receipt{
		Service: r.Service, Change: r.Change, Base: r.Base, Digest: digest,
		Instant: c.instant, Reply: reply,
	})
}

func (c *Config) index(k *wire.Receipt) {
	if k.Change != "" {
		c.changes[k.Change] = k
	}
	if k.Reply.GetFault() == nil {
		c.bases[baseKey{service: k.Service, base: k.Base, digest: k.Digest}] = k
	}
	c.receipts.add(k, k.Instant)
}

// expire drops receipts and suspicions past their retention.
func (c *Config) expire() {
	c.expireSuspicions()
	c.receipts.drop(horizon(c.instant), func(k *wire.Receipt) {
		if c.changes[k.Change] == k {
			delete(c.changes, k.Change)
		}
		key := baseKey{service: k.Service, base: k.Base, digest: k.Digest}
		if c.bases[key] == k {
			delete(c.bases, key)
		}
	})
}

func (c *Config) current(service string) *wire.Document {
	h := c.history[service]
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1]
}

func (c *Config) store(d *wire.Document) {
	h := append(c.history[d.Service], d)
	if len(h) > keptHistory {
		h = slices.Clone(h[len(h)-keptHistory:])
	}
	c.history[d.Service] = h
}

// note records a change for deltas and wakes those who wait for one.
func (c *Config) note(n change) {
	c.recent = append(c.recent, n)
	if len(c.recent) > 2*keptChanges {
		cut := len(c.recent) - keptChanges
		c.floor = c.recent[cut-1].revision
		c.recent = slices.Clone(c.recent[cut:])
	}
	c.wake()
}

func (c *Config) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) drain(r *wire.DrainRequest) *wire.DrainReply {
	if r.Instance == "" {
		return &wire.DrainReply{Fault: fault(wire.Code_CODE_INVALID, "instance is empty")}
	}
	if c.drains[r.Instance] == !r.Off {
		return &wire.DrainReply{}
	}
	if r.Off {
		delete(c.drains, r.Instance)
	} else {
		c.drains[r.Instance] = true
	}
	c.drained++
	c.wake()
	return &wire.DrainReply{}
}

func (c *Config) form(r *wire.FormCommand) *wire.ApplyReply {
	switch {
	case r.Groups == 0:
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "number of groups is zero")}
	case c.groups == 0:
		c.groups = r.Groups
		c.wake()
	case c.groups != r.Groups:
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, fmt.Sprintf("formed with %d groups, not %d", c.groups, r.Groups))}
	}
	return &wire.ApplyReply{}
}

// sortedDocuments lists all kept revisions in order.
func (c *Config) sortedDocuments() []*wire.Document {
	var out []*wire.Document
	for _, h := range c.history {
		out = append(out, h...)
	}
	slices.SortFunc(out, func(a, b *wire.Document) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
