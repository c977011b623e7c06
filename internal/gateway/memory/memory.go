// Package memory accounts for the memory and the connections that a process holds for clients, and refuses
// or closes those that hold most of it without progress when it is short.
package memory

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

var (
	// ErrShort means that memory is short and that the connection that asks is the one that must go without.
	ErrShort = errors.New("memory is short")
	// ErrNeverFits means that a body and what it becomes do not fit even if nothing else is held.
	ErrNeverFits = errors.New("body takes more memory than is held for clients")
	// ErrTooLong means that a body exceeds its limit.
	ErrTooLong = errors.New("body is too long")
)

// Bytes is a size in memory.
type Bytes int64

// Kind is what memory is held for.
type Kind int

// Kinds of memory.
const (
	// Body is the body of a caller's request.
	Body Kind = iota
	// Call is the body of a call of an operator or an upstream.
	Call
	// Header is a header that is not complete.
	Header
	// Response is a response that is being written to a client.
	Response
	kinds
)

// names are those of the kinds in metrics and logs.
var names = [kinds]string{"bodies", "calls", "headers", "responses"}

const (
	// smallBytes is what a connection may hold of the part that is reserved for small requests.
	smallBytes Bytes = 64 << 10
	// smallShare is the part, 1 in smallShare, that is kept for small requests.
	smallShare = 8
	// freeShare is the part of the limit, 1 in freeShare, that blocks take at most which are kept for other bodies.
	freeShare = 4
	// maxWait limits the wait for memory that another connection must give back. It takes a write to a
	// closed connection, or the end of an exchange with an upstream.
	maxWait = time.Second
	// logInterval bounds the volume of the log while memory is short.
	logInterval = time.Second
)

// Options configures a budget.
type Options struct {
	// Limit is the memory that is held at most; 0 for no limit.
	Limit Bytes
	// Connections is the number of open connections at most; 0 for no limit.
	Connections int
	Timer       timer.Service
	Log         *zap.Logger
}

// Budget is the account of a process. A nil budget has no limits.
type Budget struct {
	options Options

	mu sync.Mutex
	// released is signalled when memory was given back, and when a connection must give it back.
	released sync.Cond
	used     Bytes
	byKind   [kinds]Bytes
	// returning is the part of used that connections hold which were told to give it back.
	returning Bytes
	holders   map[*Connection]struct{} // those that hold memory
	free      [][]byte                 // blocks that can be used again
	open      map[*Connection]struct{}
	clients   map[netip.Addr]*client
	// accounts are those that connections named, whether or not these are open: they are those of the configuration.
	accounts map[string]*account
	pass     int64 // the number of times that all holders were weighed

	evictions, refusals int64
	logAfter            timer.Instant
	unlogged            int64
}

// account is a client account.
type account struct {
	name string
	sum  sum
}

// client is a remote address with open connections.
type client struct {
	sum         sum
	connections int
	finished    int // requests in a row, none longer than creditTime after the one before
	finishedAt  timer.Instant
}

// New returns a budget.
func New(o Options) *Budget {
	b := &Budget{options: o, holders: map[*Connection]struct{}{}, open: map[*Connection]struct{}{}, clients: map[netip.Addr]*client{}, accounts: map[string]*account{}}
	b.released.L = &b.mu
	return b
}

// Connection is a connection of a client. It carries one request at a time. A nil connection is
// not accounted for.
type Connection struct {
	budget  *Budget
	address netip.Addr
	close   func()
	phase   atomic.Int32

	// The budget's mutex guards the rest.
	client  *client
	account *account // nil if it is not known
	weighed weight   // when all holders were weighed
	held    Bytes
	byKind  [kinds]Bytes
	// progressAt is when the connection last filled a block or wrote one.
	progressAt timer.Instant
	evicted    bool
	request    Request // in progress; nil without one
}

// Phase is what a connection does.
type Phase int32

// Phases of a connection.
const (
	// Idle is between requests, and while a header arrives.
	Idle Phase = iota
	// Reading is while the body arrives, and until the request is sent.
	Reading
	// Running is while an upstream has the request.
	Running
	// Writing is while the response is written.
	Writing
)

// SetPhase records what the connection does.
func (c *Connection) SetPhase(p Phase) {
	if c != nil {
		c.phase.Store(int32(p))
	}
}

// Request is a request in progress.
type Request interface {
	// GiveBackMemory ends the request so that its memory is given back. It must not block.
	GiveBackMemory()
}

// Begin begins a request.
func (c *Connection) Begin(r Request) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.request = r
	c.SetPhase(Reading)
}

// End ends the request and gives back what it holds.
func (c *Connection) End() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.request = nil
	c.SetPhase(Idle)
	b.releaseAll(c)
	now := b.options.Timer.Now()
	if !c.evicted {
		c.client.countFinished(now)
	}
	c.evicted, c.progressAt = false, now
}

// Evicted reports whether the request in progress was told to give back its memory.
func (c *Connection) Evicted() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.evicted
}

// SetAccount records the client account of the request.
func (c *Connection) SetAccount(name string) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.account != nil && c.account.name == name {
		return
	}
	a := c.budget.accounts[name]
	if a == nil && name != "" {
		a = &account{name: name}
		c.budget.accounts[name] = a
	}
	c.account = a
}

// accountName returns the name of the client account; empty if it is not known. The budget's mutex must be held.
func (c *Connection) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.name
}

// Progress records that the client has taken a part of a response.
func (c *Connection) Progress() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progressAt = c.budget.options.Timer.Now()
}

// Reserve accounts for n bytes before they are allocated. If memory is short, it takes that of others, or
// fails with ErrShort.
func (c *Connection) Reserve(k Kind, n Bytes) error {
	if c == nil || c.budget.options.Limit <= 0 {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return ErrShort
	}
	if b.used+n > b.limitFor(c, n) {
		if err := b.makeRoom(c, n); err != nil {
			return err
		}
	}
	if c.held == 0 {
		b.holders[c] = struct{}{}
	}
	c.held += n
	c.byKind[k] += n
	b.used += n
	b.byKind[k] += n
	c.progressAt = b.options.Timer.Now()
	return nil
}

// limitFor returns how much may be used with n more bytes of a connection. b.mu must be held.
func (b *Budget) limitFor(c *Connection, n Bytes) Bytes {
	if c.held+n <= smallBytes {
		return b.options.Limit
	}
	return b.options.Limit - b.options.Limit/smallShare
}

// makeRoom evicts connections until there is room for n bytes, and waits until they have given back
// their memory. b.mu must be held; it is released meanwhile.
func (b *Budget) makeRoom(c *Connection, n Bytes) error {
	expired := false
	stop := b.options.Timer.AfterFunc(maxWait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		expired = true
		b.released.Broadcast()
	})
	defer stop()
	for b.used+n > b.limitFor(c, n) {
		if b.used-b.returning+n > b.limitFor(c, n) {
			victim := b.heaviest(c, n)
			if victim == c {
				b.refusals++
				b.report("memory is short, request refused", c)
				return ErrShort
			}
			b.evict(victim)
		} else {
			b.released.Wait()
		}
		if c.evicted || expired {
			b.refusals++
			b.report("memory is short, request refused", c)
			return ErrShort
		}
	}
	return nil
}

// evict makes a connection give back its memory. b.mu must be held; it is released meanwhile.
func (b *Budget) evict(c *Connection) {
	c.evicted = true
	b.returning += c.held
	b.evictions++
	b.report("memory is short, connection gives back what it holds", c)
	r, phase := c.request, Phase(c.phase.Load())
	b.mu.Unlock()
	if r == nil || phase == Writing {
		c.close()
		c.Close()
	} else {
		r.GiveBackMemory()
	}
	b.mu.Lock()
	// The connection itself may wait for memory.
	b.released.Broadcast()
}

// Release gives back n bytes.
func (c *Connection) Release(k Kind, n Bytes) {
	if c == nil || c.budget.options.Limit <= 0 || n == 0 {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, k, n)
}

// ReleaseAll gives back all of a kind.
func (c *Connection) ReleaseAll(k Kind) {
	if c == nil || c.budget.options.Limit <= 0 {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if n := c.byKind[k]; n > 0 {
		c.budget.release(c, k, n)
	}
}

// release takes back memory. b.mu must be held.
func (b *Budget) release(c *Connection, k Kind, n Bytes) {
	n = min(n, c.byKind[k]) // the rest was given back at the end of the connection
	c.byKind[k] -= n
	c.held -= n
	b.byKind[k] -= n
	b.used -= n
	if c.evicted {
		b.returning -= n
	}
	if c.held == 0 {
		delete(b.holders, c)
	}
	b.released.Broadcast()
}

// releaseAll takes back all that a connection holds. b.mu must be held.
func (b *Budget) releaseAll(c *Connection) {
	if c.held == 0 {
		return
	}
	for k := range kinds {
		b.release(c, k, c.byKind[k])
	}
}

// report logs a decision about a connection, once in logInterval. b.mu must be held.
func (b *Budget) report(message string, c *Connection) {
	now := b.options.Timer.Now()
	if now.Before(b.logAfter) {
		b.unlogged++
		return
	}
	b.options.Log.Warn(message, zap.Stringer("address", c.address), zap.String("account", c.accountName()), zap.Int64("holds", int64(c.held)),
		zap.Duration("without_progress", now.Sub(c.progressAt)), zap.Int64("used", int64(b.used)), zap.Int("connections", len(b.open)), zap.Int64("more", b.unlogged))
	b.logAfter, b.unlogged = now.Add(logInterval), 0
}
