package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	server "wisteriakeel.example/wisteriakeel/internal/control/server"
)

// Control is one control instance.
type Control struct {
	*FaultInjector
	Name    string
	Address string

	system *System
	number int
	folder string
	server *server.Server
	// listener is opened before the server starts.
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// addControl opens the address of an instance, since all must know all addresses
// before the first starts.
func (s *System) addControl(i int) *Control {
	s.test.Helper()
	c := &Control{FaultInjector: newGate(s.ended), Name: fmt.Sprint("control-", i+1), system: s, number: i, folder: s.test.TempDir(), cancel: func() {}}
	l, err := c.listen("127.0.0.1:0")
	s.must(err)
	c.listener, c.Address = l, l.Addr().String()
	return c
}

// reserved returns the listener of the instance.
func (c *Control) reserved(string) (net.Listener, error) { return c.listener, nil }

func (c *Control) start() {
	s := c.system
	s.test.Helper()
	var err error
	c.server, err = server.New(server.Options{
		Instance: c.Name, DataDirectory: c.folder, Address: c.Address, ControlAddresses: s.peers, Groups: 1,
		PeerToken: s.secrets.PeerToken(), Timer: newClock(c.FaultInjector), Log: s.options.Log.Named(c.Name),
		Random: rand.New(rand.NewPCG(s.options.Seed, uint64(c.number))),
		Listen: c.reserved, Dial: c.dialTCP,
	})
	s.must(err)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done = make(chan struct{})
	s.group.Go(c.Name, c.run)
}

// run ends with the instance's own context, so that it can be killed alone. A kill
// fails its connections first; that error must not stop the other instances.
func (c *Control) run(context.Context) error {
	defer close(c.done)
	if err := c.server.Run(c.ctx); err != nil && !c.Killed() {
		return err
	}
	return nil
}

// Kill ends the instance with all its connections. Its directory stays.
func (c *Control) Kill() {
	c.kill()
	c.cancel()
}

// Restart starts a killed instance on its directory.
func (c *Control) Restart() {
	c.system.test.Helper()
	<-c.done
	c.FaultInjector = newGate(c.system.ended)
	c.system.WaitFor("address "+c.Address, func() bool {
		var err error
		c.listener, err = c.listen(c.Address)
		return err == nil
	})
	c.start()
}
