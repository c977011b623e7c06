package memory

import (
	"context"
	"net/netip"
)

// slackShare is by how much, 1 in slackShare, the bound on connections may be exceeded until those that were
// told to end have done so.
const slackShare = 16

// Open accounts for a new connection. close closes it and must not block. At the bound another connection is
// closed; ok is false if none can be.
func (b *Budget) Open(address netip.Addr, closeConn func()) (c *Connection, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit := b.options.Connections; limit > 0 && len(b.open) >= limit {
		victim := b.mostConnected()
		if victim == nil || len(b.open) >= limit+limit/slackShare {
			b.refusals++
			return nil, false
		}
		b.evict(victim)
	}
	owner := b.clients[address]
	if owner == nil {
		owner = &client{}
		b.clients[address] = owner
	}
	owner.connections++
	c = &Connection{budget: b, address: address, close: closeConn, client: owner, progressAt: b.options.Timer.Now()}
	b.open[c] = struct{}{}
	return c, true
}

// Close records that the connection is closed. What its request holds is given back when that ends.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.open[c]; !ok {
		return
	}
	delete(b.open, c)
	if c.client.connections--; c.client.connections == 0 {
		delete(b.clients, c.address)
	}
	if c.request == nil {
		b.releaseAll(c)
	}
}

// Abort closes the connection. A request that begins on it all the same is refused.
func (c *Connection) Abort() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	c.evicted = true
	c.budget.mu.Unlock()
	c.close()
	c.Close()
}

// mostConnected returns a connection of the client with the most of them: one without a request, or else one
// whose body is read, that has been without progress longest. It returns nil if there is none. b.mu
// must be held.
func (b *Budget) mostConnected() (out *Connection) {
	most := 0
	for _, o := range b.clients {
		most = max(most, o.connections)
	}
	outPhase := Idle
	for c := range b.open {
		phase := Phase(c.phase.Load())
		if c.client.connections < most || c.evicted || phase > Reading {
			continue
		}
		if out == nil || phase < outPhase || (phase == outPhase && c.progressAt.Before(out.progressAt)) {
			out, outPhase = c, phase
		}
	}
	return out
}

// Held returns how much the connection holds of a kind.
func (c *Connection) Held(k Kind) Bytes {
	if c == nil {
		return 0
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.byKind[k]
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// WithConnection returns a context of the requests on a connection.
func WithConnection(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// FromContext returns the connection of a request; nil if it is not accounted for.
func FromContext(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}
