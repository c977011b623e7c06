package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"wisteriakeel.example/wisteriakeel/internal/control/server"
)

// Control is a control instance.
type Control struct {
	*FaultInjector
	Name    string
	Address string

	system        *System
	index         int
	dataDirectory string
	server        *server.Server
	// listener is opened before the server starts, see addControl.
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// addControl creates an instance and opens its address. Every instance must know the
// addresses of all others before the first one starts.
func (s *System) addControl(i int) *Control {
	s.test.Helper()
	c := &Control{FaultInjector: newFaultInjector(s.done), Name: fmt.Sprint("control-", i+1), system: s, index: i, dataDirectory: s.test.TempDir(), cancel: func() {}}
	l, err := c.listen("127.0.0.1:0")
	s.requireNoError(err)
	c.listener, c.Address = l, l.Addr().String()
	return c
}

// reservedListener returns the listener that is already open, whatever the address.
func (c *Control) reservedListener(string) (net.Listener, error) { return c.listener, nil }

func (c *Control) start() {
	s := c.system
	s.test.Helper()
	var err error
	c.server, err = server.New(server.Options{
		Instance: c.Name, DataDirectory: c.dataDirectory, Address: c.Address, ControlAddresses: s.controlAddresses, DataGroups: 1,
		PeerToken: s.secrets.PeerToken(), Timer: newClock(c.FaultInjector), Log: s.options.Log.Named(c.Name),
		Random: rand.New(rand.NewPCG(s.options.Seed, uint64(c.index))),
		Listen: c.reservedListener, Dial: c.dialTCP,
	})
	s.requireNoError(err)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done = make(chan struct{})
	s.group.Go(c.Name, c.run)
}

// run runs the server until the instance's own context ends, so that the instance can be
// killed alone. A kill closes its connections first; the resulting error must not stop
// the other instances.
func (c *Control) run(context.Context) error {
	defer close(c.done)
	if err := c.server.Run(c.ctx); err != nil && !c.Killed() {
		return err
	}
	return nil
}

// Kill stops the instance and closes all its connections. Its data directory is kept.
func (c *Control) Kill() {
	c.kill()
	c.cancel()
}

// Restart starts a killed instance with its data directory and address.
func (c *Control) Restart() {
	c.system.test.Helper()
	<-c.done
	c.FaultInjector = newFaultInjector(c.system.done)
	c.system.WaitFor("address "+c.Address, func() bool {
		var err error
		c.listener, err = c.listen(c.Address)
		return err == nil
	})
	c.start()
}
