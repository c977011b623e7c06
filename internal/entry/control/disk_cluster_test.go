package control

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/server"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// diskCluster is a control group of three instances with data directories on disk and
// loopback addresses.
type diskCluster struct {
	t         *testing.T
	directory string // holds one data directory per address
	addresses []string
	running   map[string]*group.Group // by address
	// reserved holds open listeners until the first start, so that no other process takes a port.
	reserved map[string]net.Listener
}

func newDiskCluster(t *testing.T) *diskCluster {
	dc := &diskCluster{t: t, directory: t.TempDir(), running: map[string]*group.Group{}, reserved: map[string]net.Listener{}}
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		dc.addresses = append(dc.addresses, l.Addr().String())
		dc.reserved[l.Addr().String()] = l
	}
	t.Cleanup(func() {
		for _, l := range dc.reserved {
			_ = l.Close() // of an instance that was never started
		}
		for _, a := range dc.addresses {
			dc.stop(a)
		}
	})
	return dc
}

func (dc *diskCluster) path(address string) string { return filepath.Join(dc.directory, address) }

// listen returns the reserved listener of an address at the first start, and opens one after that.
func (dc *diskCluster) listen(address string) (net.Listener, error) {
	if l := dc.reserved[address]; l != nil {
		delete(dc.reserved, address)
		return l, nil
	}
	return net.Listen("tcp", address)
}

func (dc *diskCluster) start(addresses ...string) {
	dc.t.Helper()
	for _, a := range addresses {
		s, err := server.New(server.Options{
			Instance: a, DataDirectory: dc.path(a), Address: a, ControlAddresses: dc.addresses, DataGroups: 2, PeerToken: "secret",
			Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(uint64(len(a)), rand.Uint64())), ReserveBytes: 1, Listen: dc.listen,
		})
		if err != nil {
			dc.t.Fatal(err)
		}
		dc.running[a] = group.New(context.Background())
		dc.running[a].Go("server", s.Run)
	}
}

func (dc *diskCluster) stop(address string) {
	if g := dc.running[address]; g != nil {
		delete(dc.running, address)
		if err := g.Stop(); err != nil {
			dc.t.Error(err)
		}
	}
}

func (dc *diskCluster) client(is *is.I, token string) *Client {
	c, err := New(Options{
		Addresses: dc.addresses, PeerToken: token, DataGroups: 2, Instance: &wire.Instance{Name: "e1"}, Epoch: rand.Uint64(),
		Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	is.NoErr(err)
	return c
}

// waitForVoters waits until each group has exactly n voters and no member with the identity
// in without.
func (dc *diskCluster) waitForVoters(is *is.I, c *Client, n int, without string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		r, err := c.Status(ctx, &wire.StatusRequest{})
		is.NoErr(err)
		full := len(r.Groups) == 3
		for _, g := range r.Groups {
			voters := 0
			for _, m := range g.Replicas {
				full = full && m.Identity != without
				if m.Voter {
					voters++
				}
			}
			full = full && voters == n
		}
		if full {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (dc *diskCluster) identity(is *is.I, c *Client, address string) string {
	r, err := c.Status(context.Background(), &wire.StatusRequest{})
	is.NoErr(err)
	for _, m := range r.Groups[0].Replicas {
		if m.Address == address {
			return m.Identity
		}
	}
	return ""
}

// Guards against a control group that loses a change, a receipt or a charge when its
// instances restart, when one loses its disk, or when another one stops right after the
// lost disk was replaced.
func TestGroupSurvivesLostDisk(t *testing.T) {
	is := is.New(t)
	dc := newDiskCluster(t)
	dc.start(dc.addresses...)
	c := dc.client(is, "secret")
	run := group.New(context.Background())
	run.Go("client", c.Run)
	defer func() { is.NoErr(run.Stop()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	change := &wire.ApplyRequest{Service: "pool", Change: "first", Text: documentText(0), Wait: 5000}
	r, err := c.Apply(ctx, change)
	is.NoErr(err)
	is.True(r.Inforce)
	_, err = c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Service: "pool", Request: "r", Amount: 7})
	is.NoErr(err)

	for _, a := range dc.addresses { // restart all, one after the other
		dc.stop(a)
		dc.start(a)
		service := strings.ReplaceAll(a, ":", "-")
		_, err = c.Apply(ctx, &wire.ApplyRequest{Service: service, Text: plainDocument(service)})
		is.NoErr(err)
	}
	dc.waitForVoters(is, c, 3, "")
	lost := dc.identity(is, c, dc.addresses[0])
	dc.stop(dc.addresses[0])
	is.NoErr(os.RemoveAll(dc.path(dc.addresses[0])))
	dc.start(dc.addresses[0])
	dc.waitForVoters(is, c, 3, lost)
	dc.stop(dc.addresses[1]) // the majority now needs the instance with the new disk
	change.Wait = 0
	r, err = c.Apply(ctx, change)
	is.NoErr(err)
	is.True(r.Repeated)
	is.Equal(r.Revision, uint64(1))
	charge, err := c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Service: "pool", Request: "r", Amount: 7})
	is.NoErr(err)
	is.True(charge.Repeated)
	l, err := c.Ledger(ctx, &wire.LedgerRequest{})
	is.NoErr(err)
	is.Equal(l.Totals[0].Amount, uint64(7))
}

// Guards against calls that are served without the peer token, and against a rejected token
// that is reported as an unknown outcome.
func TestWrongToken(t *testing.T) {
	is := is.New(t)
	dc := newDiskCluster(t)
	dc.start(dc.addresses...)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := dc.client(is, "secret").Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: "r"})
	is.NoErr(err)
	// The outcome is unknown until an instance has answered, which may take long beside other tests.
	short, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err = dc.client(is, "wrong").Charge(short, &wire.ChargeRequest{Account: "acme", Request: "q"})
	is.True(errors.Is(err, ErrUnavailable))
}
