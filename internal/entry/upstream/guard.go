package upstream

import (
	"net"
	"sync"
)

// guarded is a connection that runs a check before the first byte of a call is
// written. A check before the call would be older by the time it takes to open
// the connection, and a check while the body is read comes after the header
// was sent.
type guarded struct {
	net.Conn

	mu    sync.Mutex
	check func() error
}

// arm sets the check for the next write. A connection carries one call at a time.
func (g *guarded) arm(check func() error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check = check
}

// Write implements net.Conn.
func (g *guarded) Write(p []byte) (int, error) {
	g.mu.Lock()
	check := g.check
	g.check = nil
	g.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return 0, err
		}
	}
	return g.Conn.Write(p)
}
