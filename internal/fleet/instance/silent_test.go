package instance

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/peer"
)

// silentNetwork connects instances over TCP and loses all that is sent to or from lost hosts.
type silentNetwork struct {
	mu   sync.Mutex
	lost map[string]chan struct{} // closed when the host is lost
}

func (n *silentNetwork) host(address string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost[address] == nil {
		n.lost[address] = make(chan struct{})
	}
	return n.lost[address]
}

func (n *silentNetwork) lose(address peer.Address) { close(n.host(string(address))) }

// dialFrom returns the function with which an instance dials.
func (n *silentNetwork) dialFrom(from peer.Address) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		near, far := n.host(string(from)), n.host(to)
		select {
		case <-near:
		case <-far:
		default:
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", to)
			if err != nil {
				return nil, err
			}
			return &silentConn{Conn: c, near: near, far: far, closed: make(chan struct{})}, nil
		}
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
}

// silentConn is a connection that delivers nothing once one of its hosts is lost.
type silentConn struct {
	net.Conn
	near, far, closed chan struct{}
	once              sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.near:
	case <-c.far:
	default:
		return false
	}
	return true
}

// Read returns what arrived before a host was lost, and waits for ever then.
func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses the bytes once a host is lost.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against instances that refuse because they do not find the next leader before their
// lease on the layout ends, when the hosts of the leader and of another replica are lost and
// answer nothing.
func TestLostHosts(t *testing.T) {
	for _, c := range []struct {
		name              string
		disks, size, lost int
	}{
		{"one of three", 3, 9, 1},
		{"two of eight", 8, 20, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &silentNetwork{lost: map[string]chan struct{}{}}
			d := newDeployment(t, c.disks, c.size, func(o *Options) { o.DialPeer = n.dialFrom(o.PeerAddress) })
			d.proposeLayout(c.size-1, 3)
			d.eventually("layout 3 everywhere", d.layoutConfirmed(3))
			d.eventually("all members", func() bool {
				l := d.leader()
				return l >= 0 && d.voterCount() >= min(c.disks, 7) && len(d.running[l].instance.replica.Members()) == c.disks
			})
			time.Sleep(time.Second)
			lost := map[int]bool{d.leader(): true}
			for i := 0; len(lost) < c.lost; i++ {
				lost[i] = true
			}
			for i := range lost {
				n.lose(d.options[i].PeerAddress)
			}
			start, former := time.Now(), d.terms()
			found := map[int]time.Duration{}
			for time.Since(start) < recoveryTime && len(found)+len(lost) < c.size {
				time.Sleep(10 * time.Millisecond)
				for i, term := range d.terms() {
					v := d.running[i].instance.View
					if found[i] == 0 && !lost[i] && term != former[i] {
						found[i] = time.Since(start)
					}
					if !lost[i] && !v.LayoutConfirmed(v.Layout()) {
						t.Errorf("instance %d refuses %v after the loss", i, time.Since(start))
						lost[i] = true
					}
				}
			}
			t.Log("next leader answered after", found)
			d.Equal(len(found)+len(lost), c.size)
		})
	}
}

// recoveryTime is how long after the loss of hosts requests may be refused.
const recoveryTime = 12 * time.Second

// terms returns the terms in which leaders answered the instances last.
func (d *deployment) terms() (out []uint64) {
	for _, r := range d.running {
		term, _ := r.instance.View.SyncPosition()
		out = append(out, term)
	}
	return out
}

// Guards against a learner that keeps to a lost leader, and names it to others, since it can't
// campaign: its disk was wiped right before the host of the leader is lost.
func TestLearnerOfLostLeader(t *testing.T) {
	n := &silentNetwork{lost: map[string]chan struct{}{}}
	d := newDeployment(t, 5, 6, func(o *Options) { o.DialPeer = n.dialFrom(o.PeerAddress) })
	d.proposeLayout(5, 3)
	d.eventually("layout 3 everywhere", d.layoutConfirmed(3))
	d.eventually("all members", func() bool { return d.voterCount() == 5 })
	leader := d.leader()
	wiped := (leader + 1) % 5
	d.stop(wiped)
	d.NoErr(os.RemoveAll(d.options[wiped].DataDirectory))
	d.start(wiped)
	d.eventually("the wiped replica knows the leader", func() bool {
		return d.running[wiped].instance.replica.Leader() == string(d.options[leader].PeerAddress)
	})
	former := d.terms()[leader]
	n.lose(d.options[leader].PeerAddress)
	start := time.Now()
	for d.terms()[wiped] == former || d.terms()[wiped] == 0 {
		if time.Since(start) > recoveryTime {
			d.Fatal("the learner does not find the next leader")
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Log("next leader answered the learner after", time.Since(start))
}
