package outage

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Environment variables of an instance that runs with a Network.
const (
	// LinksVariable names the file with the state of the network, AddressVariable holds the IP
	// address of the instance.
	LinksVariable   = "BENCH_LINKS"
	AddressVariable = "BENCH_ADDRESS"
)

const (
	// linksInterval is how often an instance reads the state of the network.
	linksInterval = 20 * time.Millisecond
	// ackTimeout is when TCP gives up a connection with unacknowledged bytes, as in fleet/peer.
	ackTimeout = 1500 * time.Millisecond
	// anyHost stands for all addresses in a link.
	anyHost = "*"
)

// link is one direction between two IP addresses.
type link struct{ from, to string }

// links is the state of the network between all instances.
type links struct {
	// Connections of an earlier generation are silent.
	generation int
	// acks makes connections fail as TCP does: ackTimeout after bytes were lost, or once a host is
	// back that no longer knows them. Otherwise they are silent for good.
	acks    bool
	blocked map[link]bool
	quality quality
	// halfCloses counts how often one direction of all open connections has ended.
	halfCloses int
	seed       uint64
}

// blocks reports whether bytes from one address to another are lost.
func (ls *links) blocks(from, to string) bool {
	return ls.blocked[link{from, to}] || ls.blocked[link{from, anyHost}] || ls.blocked[link{anyHost, to}]
}

// write replaces the file at path by the state.
func (ls *links) write(path string) error {
	var b strings.Builder
	fmt.Fprintln(&b, ls.generation, ls.acks, ls.quality.loss, int64(ls.quality.delay), ls.halfCloses, ls.seed)
	for l := range ls.blocked {
		fmt.Fprintln(&b, l.from, l.to)
	}
	return replaceFile(path, b.String())
}

// replaceFile replaces a file that others read meanwhile.
func replaceFile(path, text string) error {
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// parseLinks is the inverse of links.write.
func parseLinks(text string) (ls *links, err error) {
	ls = &links{blocked: map[link]bool{}}
	first, rest, _ := strings.Cut(text, "\n")
	if _, err := fmt.Sscan(first, &ls.generation, &ls.acks, &ls.quality.loss, &ls.quality.delay, &ls.halfCloses, &ls.seed); err != nil {
		return nil, errors.Wrap(err, "state of the network")
	}
	for line := range strings.Lines(rest) {
		from, to, _ := strings.Cut(strings.TrimSpace(line), " ")
		ls.blocked[link{from, to}] = true
	}
	return ls, nil
}

// Network opens the connections of one instance to others and loses bytes on them.
type Network struct {
	self  string
	path  string
	timer timer.Service

	mu    sync.Mutex
	text  string
	links *links
	// opened counts the connections and what else draws numbers of its own. met are the hosts that
	// were dialed since the quality of the links changed.
	opened uint64
	met    map[string]bool
	relays map[*relay]bool
}

// NewNetwork returns the network of the instance that the environment describes.
func NewNetwork(t timer.Service) (n *Network, err error) {
	n = &Network{self: os.Getenv(AddressVariable), path: os.Getenv(LinksVariable), timer: t, relays: map[*relay]bool{}}
	return n, n.read()
}

// Run follows the state of the network until the context is done.
func (n *Network) Run(ctx context.Context) error {
	for timer.Sleep(ctx, n.timer, linksInterval) == nil {
		if err := n.read(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) read() error {
	text, err := os.ReadFile(n.path)
	if err != nil {
		return err
	}
	halfClose, err := n.update(string(text))
	if halfClose {
		n.halfCloseAll()
	}
	return err
}

// update applies the state of the network, and reports whether open connections are half-closed.
func (n *Network) update(text string) (halfClose bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if text == n.text {
		return false, nil
	}
	ls, err := parseLinks(text)
	if err != nil {
		return false, err
	}
	if n.links == nil || n.links.quality != ls.quality {
		n.met = map[string]bool{}
	}
	halfClose = n.links != nil && n.links.halfCloses != ls.halfCloses
	n.text, n.links = text, ls
	return halfClose, nil
}

func (n *Network) current() *links {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links
}

// Dial opens a connection to another instance. It hangs while the network is cut between them.
func (n *Network) Dial(ctx context.Context, to string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	ls := n.current()
	if host != n.self && (ls.blocks(n.self, host) || ls.blocks(host, n.self)) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if host != n.self {
		if err := n.awaitHandshake(ctx, host); err != nil {
			return nil, err
		}
	}
	c, err := tcp.NewDialer(ackTimeout).DialContext(ctx, "tcp", to)
	if err != nil || host == n.self {
		return c, err
	}
	return &conn{Conn: n.relay(c.(*net.TCPConn), host), network: n, peer: host, generation: ls.generation, closed: make(chan struct{})}, nil
}

// conn is a connection that loses bytes while the network is cut. The direction that has lost
// bytes loses all that follow.
type conn struct {
	net.Conn
	network    *Network
	peer       string
	generation int
	closeOnce  sync.Once
	closed     chan struct{}

	mu          sync.Mutex
	lostOut     bool
	lostIn      bool
	unconfirmed bool // a write waits for ackTimeout
	ended       bool // by the peer, unnoticed
	failed      bool
}

// loses reports whether bytes in a direction are lost now, and keeps it so.
func (c *conn) loses(lost *bool, from, to string) bool {
	ls := c.network.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	*lost = *lost || ls.generation != c.generation || ls.blocks(from, to)
	return *lost
}

// Write accepts bytes that are lost.
func (c *conn) Write(b []byte) (int, error) {
	out := c.loses(&c.lostOut, c.network.self, c.peer)
	ls := c.network.current()
	if ls.acks && (out || ls.blocks(c.peer, c.network.self)) {
		c.awaitAck()
	}
	if ls.acks && c.isReset(ls) {
		c.fail()
		return 0, syscall.ECONNRESET
	}
	if out {
		return len(b), c.failure(nil)
	}
	n, err := c.Conn.Write(b)
	return n, c.failure(err)
}

// isReset reports whether the host of the peer, which no longer knows the connection, answers now.
func (c *conn) isReset(ls *links) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && ls.generation == c.generation && !ls.blocks(c.network.self, c.peer) && !ls.blocks(c.peer, c.network.self)
}

// awaitAck lets the connection fail after ackTimeout.
func (c *conn) awaitAck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unconfirmed {
		c.unconfirmed = true
		c.network.timer.AfterFunc(ackTimeout, c.fail)
	}
}

func (c *conn) fail() {
	c.mu.Lock()
	c.failed = true
	c.mu.Unlock()
	_ = c.Close()
}

// failure returns the error of a connection that TCP has given up, else err.
func (c *conn) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return syscall.ETIMEDOUT
	}
	return err
}

// Read returns no bytes that were lost. The end of a silent connection is lost too.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.loses(&c.lostIn, c.peer, c.network.self) || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, c.failure(err)
		}
		if err != nil {
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			<-c.closed
			return 0, c.failure(net.ErrClosed)
		}
	}
}

// Close closes the connection and ends a Read that waits.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
