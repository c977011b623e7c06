// Package control registers the control role: an instance with this role holds replicas
// of the control state. Unless it is an entry as well, it also serves operators and the
// list of entries for callers.
package control

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/settings"
	"wisteriakeel.example/wisteriakeel/internal/control/server"
	"wisteriakeel.example/wisteriakeel/internal/entry/caller"
	client "wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/operator"
	"wisteriakeel.example/wisteriakeel/internal/kernel/random"
	"wisteriakeel.example/wisteriakeel/internal/kernel/role"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

func init() {
	role.Registry.Register(string(settings.RoleControl), setUp)
}

// DescribeInstance returns the description of this instance that is sent to other processes.
func DescribeInstance(s *settings.Settings) *wire.Instance {
	return &wire.Instance{Name: s.Instance, Address: s.Listen.HTTP, Zone: s.Zone, Region: s.Region}
}

// NewClient returns a client for the control instances. The epoch tells this run of the
// process from earlier runs.
func NewClient(e role.Env, epoch uint64) (*client.Client, error) {
	return client.New(client.Options{
		Addresses: e.Settings.ControlAddresses, PeerToken: e.Credentials.PeerToken(), DataGroups: e.Settings.DataGroups,
		Instance: DescribeInstance(e.Settings), Epoch: epoch, Timer: e.Timer, Random: random.New(),
		Log: e.Log.Named("control"),
	})
}

// ServeOperators registers the operators' API at the HTTP address of the process.
func ServeOperators(e role.Env, c *client.Client) {
	o := operator.New(operator.Options{
		Control: c, Credentials: e.Credentials, Timer: e.Timer, Log: e.Log.Named("operator"), Random: random.New(),
	})
	o.Register(e.Mux)
	e.OnDrain(o.CloseWatches)
}

// setUp is the role.SetupFunc of the control role. If the instance also has the entry role, that role serves
// operators and callers.
func setUp(_ context.Context, e role.Env) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "control role")
		}
	}()
	s := e.Settings
	control, err := server.New(server.Options{
		Instance: s.Instance, DataDirectory: s.DataDirectory, Address: s.Listen.Peer, ControlAddresses: s.ControlAddresses,
		DataGroups: s.DataGroups, PeerToken: e.Credentials.PeerToken(), Timer: e.Timer, Random: random.New(),
		Log: e.Log.Named("replica"),
	})
	if err != nil {
		return err
	}
	e.Group.Go("control", control.Run)
	if s.HasRole(settings.RoleEntry) {
		return nil
	}
	c, err := NewClient(e, rand.Uint64())
	if err != nil {
		return err
	}
	ServeOperators(e, c)
	caller.NewDirectory(c, e.Credentials, DescribeInstance(s), s.Timeouts.EntryListLifetime.Duration()).Register(e.Mux)
	return nil
}
