package memory

import (
	"cmp"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// progressGrace is added to the time without progress, so that size counts between connections that
	// have just made some.
	progressGrace = 50 * time.Millisecond
	// maxStall limits the time without progress that counts. Without it the body of a long stream, which has
	// arrived long ago, would weigh more than a large one that has just come to a halt.
	maxStall = time.Second
	// runningShare is how much less the memory of a request counts that an upstream runs: its client has
	// sent all, and to end it wastes the work.
	runningShare = 4
	// creditTime is how long a finished request speaks for its client, and maxCredit is by how much at
	// most: small requests must not pay for bodies that are never completed.
	creditTime = 2 * time.Second
	maxCredit  = 3
)

// weight is what counts against a connection or a client when memory is short: bytes held times the
// seconds without progress, up to a bound.
type weight float64

// weight returns the weight of a connection if it held n more bytes.
func (c *Connection) weight(now timer.Instant, n Bytes) weight {
	w := weight(c.held+n) * weight((min(now.Sub(c.progressAt), maxStall) + progressGrace).Seconds())
	if Phase(c.phase.Load()) == Running {
		w /= runningShare
	}
	return w
}

// countFinished records a finished request.
func (c *client) countFinished(now timer.Instant) {
	if now.Sub(c.finishedAt) > creditTime {
		c.finished = 0
	}
	c.finished = min(c.finished+1, maxCredit)
	c.finishedAt = now
}

// divisor returns by how much less a client weighs for its finished requests.
func (c *client) divisor(now timer.Instant) weight {
	if now.Sub(c.finishedAt) > creditTime {
		return 1
	}
	return weight(1 + c.finished)
}

// rank orders connections: the weight of the client, which is the account or the address that weighs more, that of
// the address, and that of the connection. Several callers may share an account.
type rank struct{ client, address, connection weight }

// exceeds reports whether a connection of this rank goes before one of another.
func (r rank) exceeds(o rank) bool {
	return cmp.Or(cmp.Compare(r.client, o.client), cmp.Compare(r.address, o.address), cmp.Compare(r.connection, o.connection)) > 0
}

// heaviest returns the heaviest connection of the heaviest address of the heaviest client, which may be the
// one that asks. asking needs n bytes, which count as if it held them. b.mu must be held.
func (b *Budget) heaviest(asking *Connection, n Bytes) *Connection {
	now := b.options.Timer.Now()
	b.pass++
	// A new connection has no progress yet; it begins now.
	if asking.held == 0 {
		asking.progressAt = now
	}
	for c := range b.holders {
		if !c.evicted && c != asking {
			c.addWeight(b.pass, c.weight(now, 0)/c.client.divisor(now))
		}
	}
	asking.addWeight(b.pass, asking.weight(now, n)/asking.client.divisor(now))
	out, heaviest := asking, asking.rank()
	for c := range b.holders {
		if !c.evicted && c != asking && c.rank().exceeds(heaviest) {
			out, heaviest = c, c.rank()
		}
	}
	return out
}

// sum is the weight of several connections.
type sum struct {
	weight weight
	pass   int64 // in which it was added up
}

// add adds the weight of a connection.
func (s *sum) add(pass int64, w weight) {
	if s.pass != pass {
		s.weight, s.pass = 0, pass
	}
	s.weight += w
}

// addWeight records the weight of the connection, and adds it to those of its address and account.
func (c *Connection) addWeight(pass int64, w weight) {
	c.weighed = w
	c.client.sum.add(pass, w)
	if c.account != nil {
		c.account.sum.add(pass, w)
	}
}

// rank returns the rank of a connection whose weight, and those of all others, were added.
func (c *Connection) rank() rank {
	r := rank{c.client.sum.weight, c.client.sum.weight, c.weighed}
	if c.account != nil {
		r.client = max(r.client, c.account.sum.weight)
	}
	return r
}
