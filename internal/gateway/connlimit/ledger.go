package connlimit

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// maxIdle limits the idle connections to one upstream.
	maxIdle = 16
	// fullIdleShare is the share from which idle connections are kept for as long as the upstream allows, and
	// minIdleTime the least time that they are kept with a smaller one.
	fullIdleShare = 2 * maxIdle
	minIdleTime   = 250 * time.Millisecond
	// Resets halve the connections used, at most once in resetInterval: those of one moment have one cause.
	// They are used again at a rate of recoveryPerSecond, from minFactor on.
	resetInterval     = 500 * time.Millisecond
	minFactor         = 0.25
	recoveryPerSecond = 1.0 / 16
	// countWindow is how long a larger number of instances counts after some were lost. An instance that is cut
	// off or paused may still hold its connections; it stops sending within the 4 s of its layout lease.
	countWindow = 10 * time.Second
	// startTime is how long an instance that has just started may know few of the others, and startDivisor divides
	// its share until then; it may have startShare in any case.
	startTime    = 3 * time.Second
	startDivisor = 8
	startShare   = 2
	// Right after it was accepted, a reset arrives within a round trip, which is as long as the
	// connection took to open, and the time that the upstream takes to accept it. Where one was seen
	// in resetMemory, it is looked for twice as long.
	acceptTime  = time.Millisecond
	maxLookTime = 4 * time.Millisecond
	resetMemory = 30 * time.Second
)

// Ledger counts the connections of this instance. It is not safe for concurrent use.
type Ledger struct {
	maxOpen  int // of all upstreams together
	open     int
	accounts map[string]*account // by address
	// seen and seenBefore are the largest numbers of instances in the window that began at windowStart and in
	// the one before.
	seen, seenBefore int
	windowStart      timer.Instant
	startedAt        timer.Instant // first use of a limit
	started          bool
}

// account is what is known of the connections to one upstream.
type account struct {
	open    int
	factor  float64 // at resetAt
	resetAt timer.Instant
	reset   bool // resetAt is set
}

// NewLedger returns a ledger without connections. maxOpen limits those to all upstreams.
func NewLedger(maxOpen int) *Ledger {
	return &Ledger{maxOpen: maxOpen, accounts: map[string]*account{}}
}

// account returns the account of an address, a new one if it has none.
func (l *Ledger) account(address string) *account {
	a := l.accounts[address]
	if a == nil {
		a = &account{factor: 1}
		l.accounts[address] = a
	}
	return a
}

// currentFactor returns the part of the usable connections that resets leave.
func (a *account) currentFactor(now timer.Instant) float64 {
	if a == nil {
		return 1
	}
	return min(1, a.factor+recoveryPerSecond*now.Sub(a.resetAt).Seconds())
}

// instances returns the number of instances to reckon with.
func (l *Ledger) instances(n int, now timer.Instant) int {
	switch age := now.Sub(l.windowStart); {
	case age >= 2*countWindow:
		l.seen, l.seenBefore, l.windowStart = n, 0, now
	case age >= countWindow:
		l.seen, l.seenBefore, l.windowStart = n, l.seen, now
	default:
		l.seen = max(l.seen, n)
	}
	return max(l.seen, l.seenBefore)
}

// Share returns how many connections this instance may have to an upstream with a limit.
func (l *Ledger) Share(address string, s Scope, now timer.Instant) int {
	if !l.started {
		l.started, l.startedAt, l.windowStart = true, now, now
	}
	s.Instances = l.instances(s.Instances, now)
	share := s.share(l.accounts[address].currentFactor(now))
	if now.Sub(l.startedAt) < startTime {
		share = min(share, max(share/startDivisor, startShare))
	}
	return share
}

// Verdict is the decision on a connection that is to be opened.
type Verdict struct {
	// Open tells that the connection counts as open. CloseIdle connections to the same upstream, and CloseAny to any
	// upstream, which are idle, must be closed before.
	Open                bool
	CloseIdle, CloseAny int
	// NoShare tells that the instance may have no connection to the upstream at all.
	NoShare bool
}

// Acquire decides on a connection. idle is the number of idle connections to the upstream, and idleOfAll to all.
func (l *Ledger) Acquire(address string, s Scope, idle, idleOfAll int, now timer.Instant) Verdict {
	v := l.check(address, s, idle, idleOfAll, now)
	if v.Open {
		l.account(address).open++
		l.open++
	}
	return v
}

// MayOpen reports whether Acquire would open a connection.
func (l *Ledger) MayOpen(address string, s Scope, idle, idleOfAll int, now timer.Instant) bool {
	return l.check(address, s, idle, idleOfAll, now).Open
}

func (l *Ledger) check(address string, s Scope, idle, idleOfAll int, now timer.Instant) (v Verdict) {
	if s.Limit > 0 {
		share := l.Share(address, s, now)
		if share == 0 {
			return Verdict{NoShare: true}
		}
		if v.CloseIdle = max(l.Open(address)-share+1, 0); v.CloseIdle > idle {
			return Verdict{}
		}
	}
	if v.CloseAny = max(l.open-v.CloseIdle-l.maxOpen+1, 0); v.CloseAny > idleOfAll-v.CloseIdle {
		return Verdict{}
	}
	v.Open = true
	return v
}

// Release records that a connection was closed, or could not be opened.
func (l *Ledger) Release(address string, now timer.Instant) {
	a := l.accounts[address]
	a.open--
	l.open--
	if a.open == 0 && (!a.reset || now.Sub(a.resetAt) > resetMemory) {
		delete(l.accounts, address)
	}
}

// Open returns the number of connections to an upstream, idle ones included.
func (l *Ledger) Open(address string) int {
	if a := l.accounts[address]; a != nil {
		return a.open
	}
	return 0
}

// IdleTime returns how long a connection is kept that has become idle beside idle others; 0 to close it. allowed is
// how long the upstream allows.
func (l *Ledger) IdleTime(address string, s Scope, idle int, allowed time.Duration, now timer.Instant) time.Duration {
	if s.Limit == 0 {
		if idle >= maxIdle {
			return 0
		}
		return allowed
	}
	share := l.Share(address, s, now)
	if l.Open(address) > share || idle >= l.idleShare(address, share, now) {
		return 0
	}
	return min(allowed, max(allowed*time.Duration(min(share, fullIdleShare))/fullIdleShare, minIdleTime))
}

// idleShare returns how many connections of a share may be idle: none while the upstream accepts fewer than it should.
func (l *Ledger) idleShare(address string, share int, now timer.Instant) int {
	if l.accounts[address].currentFactor(now) < 1 {
		return 0
	}
	return min(share/2, maxIdle)
}

// Excess returns how many of the idle connections to an upstream must be closed, since the share has become smaller.
func (l *Ledger) Excess(address string, s Scope, idle int, now timer.Instant) int {
	if s.Limit == 0 {
		return 0
	}
	share := l.Share(address, s, now)
	return min(idle, max(l.Open(address)-share, idle-l.idleShare(address, share, now), 0))
}

// RecordReset records that the upstream reset a connection right after it was opened. It returns true if
// fewer connections are used from now on.
func (l *Ledger) RecordReset(address string, now timer.Instant) (isNew bool) {
	a := l.account(address)
	if a.reset && now.Sub(a.resetAt) < resetInterval {
		return false
	}
	a.factor = max(a.currentFactor(now)/2, minFactor)
	a.reset, a.resetAt = true, now
	return true
}

// LookTime returns how long to look for a reset before a request that may not be repeated is sent over a
// connection that took some time to open.
func (l *Ledger) LookTime(address string, s Scope, took time.Duration, now timer.Instant) time.Duration {
	if s.Limit == 0 {
		return 0
	}
	look := min(took+acceptTime, maxLookTime)
	if a := l.accounts[address]; a != nil && a.reset && now.Sub(a.resetAt) < resetMemory {
		look *= 2
	}
	return look
}

// RemoveRecovered forgets the resets of upstreams without connections.
func (l *Ledger) RemoveRecovered(now timer.Instant) {
	for address, a := range l.accounts {
		if a.open == 0 && now.Sub(a.resetAt) > resetMemory {
			delete(l.accounts, address)
		}
	}
}
