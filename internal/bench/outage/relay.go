package outage

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// maxSegment is the most that arrives at once, about the payload of an Ethernet frame.
	maxSegment = 1400
	// queuedSegments is how many segments of a direction may be on their way.
	queuedSegments = 64
	// minRetransmission is when TCP sends a lost segment again, openRetransmission the same for the
	// first packet of a connection. Both double with every further loss (RFC 6298).
	minRetransmission  = 200 * time.Millisecond
	openRetransmission = time.Second
	// maxFirstContact limits how much longer the first connection to a host takes.
	maxFirstContact = 800 * time.Millisecond
)

// quality is how well links carry bytes. The zero value is a link without losses and delay.
type quality struct {
	loss  int           // segments in 1000
	delay time.Duration // the longest of any pair of instances
}

// drawDelay returns the time that a segment takes, with retransmissions that begin with the given one.
func (q quality) drawDelay(random *rand.Rand, share float64, retransmission time.Duration) time.Duration {
	d := time.Duration(share * float64(q.delay))
	for ; random.IntN(1000) < q.loss; retransmission *= 2 {
		d += retransmission
	}
	return d
}

// hash returns a number for an address.
func hash(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// delayShare returns which part of the longest delay the link to a host has, the same in both
// directions.
func (n *Network) delayShare(seed uint64, peer string) float64 {
	return rand.New(rand.NewPCG(seed, hash(n.self)+hash(peer))).Float64()
}

// newRandom returns a generator for a new connection.
func (n *Network) newRandom() *rand.Rand {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opened++
	return rand.New(rand.NewPCG(n.links.seed^hash(n.self), n.opened))
}

// awaitHandshake waits for as long as the packets that open a connection take.
func (n *Network) awaitHandshake(ctx context.Context, peer string) error {
	random := n.newRandom()
	n.mu.Lock()
	ls, met := n.links, n.met[peer]
	if ls.quality != (quality{}) {
		n.met[peer] = true
	}
	n.mu.Unlock()
	if ls.quality == (quality{}) {
		return nil
	}
	share := n.delayShare(ls.seed, peer)
	wait := ls.quality.drawDelay(random, share, openRetransmission) + ls.quality.drawDelay(random, share, openRetransmission)
	if !met {
		wait += time.Duration(random.Int64N(int64(maxFirstContact)))
	}
	return timer.Sleep(ctx, n.timer, wait)
}

// relay passes the bytes of a connection on in small pieces, as late as its link does.
type relay struct {
	network *Network
	near    net.Conn // to the instance
	far     *net.TCPConn
	// abandoned is set when the peer does not learn that the instance has closed the connection.
	abandoned atomic.Bool
}

// relay returns a connection to the same peer through a relay.
func (n *Network) relay(far *net.TCPConn, peer string) net.Conn {
	conn, near := net.Pipe()
	rl := &relay{network: n, near: near, far: far}
	share := n.delayShare(n.current().seed, peer)
	n.mu.Lock()
	n.relays[rl] = true
	n.mu.Unlock()
	for _, s := range []*stream{{from: near, to: far}, {from: far, to: near}} {
		s.relay, s.share, s.random, s.segments = rl, share, n.newRandom(), make(chan segment, queuedSegments)
		go s.run()
		w := &streamWriter{s}
		go w.run()
	}
	return conn
}

func (rl *relay) close() {
	rl.network.mu.Lock()
	delete(rl.network.relays, rl)
	rl.network.mu.Unlock()
	_ = rl.near.Close()
	if !rl.abandoned.Load() {
		_ = rl.far.Close()
	}
}

// halfClose ends one direction of the connection: the peer sees the end of the input and may answer
// what it has read, or the instance sees the end and the peer keeps the connection.
func (rl *relay) halfClose(near bool) {
	if near {
		rl.abandoned.Store(true)
		_ = rl.near.Close()
	} else {
		_ = rl.far.CloseWrite()
	}
}

// halfCloseAll ends one direction of every open connection.
func (n *Network) halfCloseAll() {
	random := n.newRandom()
	n.mu.Lock()
	defer n.mu.Unlock()
	for rl := range n.relays {
		rl.halfClose(random.IntN(2) == 0)
	}
}

// segment is a piece of a stream, and when it arrives.
type segment struct {
	data []byte
	due  timer.Instant
}

// stream is one direction of a relay. A segment that is late delays all that follow.
type stream struct {
	relay    *relay
	from, to net.Conn
	share    float64 // of the longest delay
	random   *rand.Rand
	segments chan segment
}

// run reads segments until the end of the stream.
func (s *stream) run() {
	defer close(s.segments)
	n, b, due := s.relay.network, make([]byte, maxSegment), timer.Instant(0)
	for {
		length, err := s.from.Read(b[:1+s.random.IntN(maxSegment)])
		if length > 0 {
			delay := n.current().quality.drawDelay(s.random, s.share, minRetransmission)
			due = max(due, n.timer.Now().Add(delay))
			s.segments <- segment{slices.Clone(b[:length]), due}
		}
		if err != nil {
			return
		}
	}
}

// streamWriter writes the segments of a stream when they arrive.
type streamWriter struct{ *stream }

func (w *streamWriter) run() {
	defer w.relay.close()
	t, failed := w.relay.network.timer, false
	for g := range w.segments {
		if failed {
			continue
		}
		if wait := g.due.Sub(t.Now()); wait > 0 {
			_ = timer.Sleep(context.Background(), t, wait)
		}
		if _, err := w.to.Write(g.data); err != nil {
			failed = true
			w.relay.close()
		}
	}
}
