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
	// maxRevisionsPerService bounds the document history of a service, so that frequent
	// changes to one service do not grow the snapshot without limit.
	maxRevisionsPerService = 1024
	// maxRecentChanges bounds the list that deltas are computed from. An entry instance
	// that is further behind gets the full state.
	maxRecentChanges = 4096
)

// Config is the state machine of group 0. It holds the configuration documents of the
// services, the registered upstreams, the instances to drain, the suspected requests
// and the fencing tokens. Apply, Snapshot and Restore must be called from one
// goroutine; the other methods may be called concurrently.
type Config struct {
	mu sync.RWMutex
	// revision counts the changes of documents, upstreams and suspicions.
	revision uint64
	// instant is the highest instant of any applied command, in milliseconds since 1970.
	instant int64
	// dataGroups is the number of data groups, 0 until it is set.
	dataGroups uint32
	// history holds the revisions of each service's document, oldest first. The last one is current.
	history map[string][]*wire.Document
	// The receipts hold the replies to document changes, by change ID and by content.
	receiptsByChange map[string]*wire.Receipt
	receiptsByBase   map[receiptKey]*wire.Receipt
	receiptExpiry    expiryQueue[*wire.Receipt]
	// registry holds the registered upstreams and those that have left, by name.
	registry map[string]*wire.Registration
	// draining holds the names of the instances that were ordered to drain.
	draining map[string]bool
	// suspicions holds the suspected and quarantined requests by fingerprint.
	suspicions map[string]*wire.Suspicion
	// lastToken is the last issued fencing token. recentOrders holds the latest orders
	// and their tokens, oldest first.
	lastToken    uint64
	recentOrders []*wire.OrderRecord
	// drainChanges counts changes of draining since this process started.
	drainChanges uint64
	// recentChanges lists what changed at which revision, oldest first. Changes up to
	// and including trimmedRevision may be missing from it.
	recentChanges   []change
	trimmedRevision uint64
	// changed is closed and replaced at each change that watchers wait for.
	changed chan struct{}
}

// receiptKey identifies a document change by its content.
type receiptKey struct {
	service string
	base    uint64
	digest  string
}

// change names what changed at a revision: the document of a service, an upstream, or the
// suspicion with a fingerprint. The other two are empty.
type change struct {
	revision    uint64
	service     string
	upstream    string
	fingerprint string
}

// NewConfig returns an empty state machine for group 0.
func NewConfig() *Config {
	c := &Config{changed: make(chan struct{})}
	c.reset()
	return c
}

func (c *Config) reset() {
	c.revision, c.instant, c.dataGroups, c.trimmedRevision = 0, 0, 0, 0
	c.history = map[string][]*wire.Document{}
	c.receiptsByChange = map[string]*wire.Receipt{}
	c.receiptsByBase = map[receiptKey]*wire.Receipt{}
	c.receiptExpiry = expiryQueue[*wire.Receipt]{}
	c.registry = map[string]*wire.Registration{}
	c.draining = map[string]bool{}
	c.suspicions = map[string]*wire.Suspicion{}
	c.recentChanges = nil
	c.lastToken, c.recentOrders = 0, nil
}

// Digest returns the SHA-256 of a document's text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Apply executes one command and returns the marshaled reply.
func (c *Config) Apply(_ replica.Index, command []byte) []byte {
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		return invalidCommand("command cannot be decoded")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instant = max(c.instant, m.Instant)
	c.expire()
	switch b := m.Body.(type) {
	case *wire.Command_Apply:
		return encodeReply(c.changeDocument(b.Apply, m.Instant))
	case *wire.Command_Announce:
		return encodeReply(c.announce(b.Announce.GetUpstream()))
	case *wire.Command_Leave:
		return encodeReply(c.leave(b.Leave))
	case *wire.Command_Drain:
		return encodeReply(c.setDraining(b.Drain))
	case *wire.Command_Suspect:
		return encodeReply(c.updateSuspicions(b.Suspect))
	case *wire.Command_Form:
		return encodeReply(c.setDataGroups(b.Form))
	case *wire.Command_Order:
		return encodeReply(c.issueToken(b.Order))
	}
	return invalidCommand("command is not for group 0")
}

// changeDocument accepts or refuses a change to a document. A resent change gets the
// reply to the first attempt. The text is validated before it is proposed and not
// here: replicas running two software versions would diverge if they validated it
// differently. The instant of the command is stored with the document for display only.
func (c *Config) changeDocument(r *wire.ApplyRequest, instant int64) *wire.ApplyReply {
	digest := Digest(r.Text)
	if reply := c.priorReply(r, digest); reply != nil {
		return reply
	}
	if r.Service == "" {
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "service is empty")}
	}
	current := c.currentDocument(r.Service).GetRevision()
	if r.Base != current {
		f := fault(wire.Code_CODE_CONFLICT, fmt.Sprintf("document %s is at revision %d, not %d", r.Service, current, r.Base))
		f.Revision = current
		reply := &wire.ApplyReply{Fault: f, Revision: current}
		c.saveReceipt(r, digest, reply)
		return reply
	}
	c.revision++
	d := &wire.Document{
		Service: r.Service, Revision: c.revision, Text: r.Text, Digest: digest,
		Operator: r.Operator, Change: r.Change, Instant: instant,
	}
	c.appendRevision(d)
	c.recordChange(change{revision: c.revision, service: r.Service})
	reply := &wire.ApplyReply{Revision: c.revision}
	c.saveReceipt(r, digest, reply)
	return reply
}

// PriorReply returns the reply to the first attempt of a change, or nil if the change is new.
func (c *Config) PriorReply(r *wire.ApplyRequest) *wire.ApplyReply {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.priorReply(r, Digest(r.Text))
}

// priorReply returns the reply to the first attempt of a change, or nil if the change
// is new. The change ID of an accepted change can't be reused for another change; that
// of a refused one can be reused with another base or text.
func (c *Config) priorReply(r *wire.ApplyRequest, digest string) *wire.ApplyReply {
	key := receiptKey{service: r.Service, base: r.Base, digest: digest}
	if k, ok := c.receiptsByChange[r.Change]; ok && r.Change != "" {
		if key == (receiptKey{service: k.Service, base: k.Base, digest: k.Digest}) {
			return repeatedReply(k)
		}
		if k.Reply.GetFault() == nil {
			f := fault(wire.Code_CODE_CONFLICT, fmt.Sprintf("change id %s was used for another change, accepted as revision %d", r.Change, k.Reply.Revision))
			f.Revision = c.currentDocument(r.Service).GetRevision()
			return &wire.ApplyReply{Fault: f, Revision: f.Revision}
		}
	}
	if k, ok := c.receiptsByBase[key]; ok {
		return repeatedReply(k)
	}
	return nil
}

// repeatedReply returns the stored reply of a receipt, marked as repeated.
func repeatedReply(k *wire.Receipt) *wire.ApplyReply {
	reply := proto.CloneOf(k.Reply)
	reply.Repeated = true
	return reply
}

// saveReceipt stores the reply for resends. A refusal is stored under its change ID
// only, because the same base and text may become valid for another client later.
func (c *Config) saveReceipt(r *wire.ApplyRequest, digest string, reply *wire.ApplyReply) {
	if reply.Fault != nil && r.Change == "" {
		return
	}
	c.indexReceipt(&wire.Receipt{
		Service: r.Service, Change: r.Change, Base: r.Base, Digest: digest,
		Instant: c.instant, Reply: reply,
	})
}

// indexReceipt adds a receipt to the maps and the expiry queue.
func (c *Config) indexReceipt(k *wire.Receipt) {
	if k.Change != "" {
		c.receiptsByChange[k.Change] = k
	}
	if k.Reply.GetFault() == nil {
		c.receiptsByBase[receiptKey{service: k.Service, base: k.Base, digest: k.Digest}] = k
	}
	c.receiptExpiry.add(k, k.Instant)
}

// expire removes receipts and suspicions past their retention.
func (c *Config) expire() {
	c.expireSuspicions()
	c.receiptExpiry.dropBefore(retentionCutoff(c.instant), func(k *wire.Receipt) {
		if c.receiptsByChange[k.Change] == k {
			delete(c.receiptsByChange, k.Change)
		}
		key := receiptKey{service: k.Service, base: k.Base, digest: k.Digest}
		if c.receiptsByBase[key] == k {
			delete(c.receiptsByBase, key)
		}
	})
}

func (c *Config) currentDocument(service string) *wire.Document {
	h := c.history[service]
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1]
}

func (c *Config) appendRevision(d *wire.Document) {
	h := append(c.history[d.Service], d)
	if len(h) > maxRevisionsPerService {
		h = slices.Clone(h[len(h)-maxRevisionsPerService:])
	}
	c.history[d.Service] = h
}

// recordChange adds a change to the list that deltas are computed from and wakes the
// goroutines that wait for a change.
func (c *Config) recordChange(n change) {
	c.recentChanges = append(c.recentChanges, n)
	if len(c.recentChanges) > 2*maxRecentChanges {
		excess := len(c.recentChanges) - maxRecentChanges
		c.trimmedRevision = c.recentChanges[excess-1].revision
		c.recentChanges = slices.Clone(c.recentChanges[excess:])
	}
	c.notifyWatchers()
}

func (c *Config) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) setDraining(r *wire.DrainRequest) *wire.DrainReply {
	if r.Instance == "" {
		return &wire.DrainReply{Fault: fault(wire.Code_CODE_INVALID, "instance is empty")}
	}
	if c.draining[r.Instance] == !r.Off {
		return &wire.DrainReply{}
	}
	if r.Off {
		delete(c.draining, r.Instance)
	} else {
		c.draining[r.Instance] = true
	}
	c.drainChanges++
	c.notifyWatchers()
	return &wire.DrainReply{}
}

// setDataGroups records the number of data groups. It refuses another number later.
func (c *Config) setDataGroups(r *wire.FormCommand) *wire.ApplyReply {
	switch {
	case r.Groups == 0:
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "number of groups is zero")}
	case c.dataGroups == 0:
		c.dataGroups = r.Groups
		c.notifyWatchers()
	case c.dataGroups != r.Groups:
		return &wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, fmt.Sprintf("formed with %d groups, not %d", c.dataGroups, r.Groups))}
	}
	return &wire.ApplyReply{}
}

// sortedDocuments lists the stored revisions of all documents by revision.
func (c *Config) sortedDocuments() []*wire.Document {
	var out []*wire.Document
	for _, h := range c.history {
		out = append(out, h...)
	}
	slices.SortFunc(out, func(a, b *wire.Document) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
