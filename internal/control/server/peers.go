package server

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// peers calls the Control service of other control instances while this one forms
// or joins. The calls are rare, so that each has a connection of its own.
type peers struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, address string) (net.Conn, error)
}

func (p *peers) identify(ctx context.Context, address string) (r *wire.IdentifyReply, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCControlClient) error {
		r, err = c.Identify(ctx, &wire.IdentifyRequest{})
		return err
	})
	return r, err
}

func (p *peers) join(ctx context.Context, address string, q *wire.JoinRequest) (r *wire.JoinReply, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCControlClient) error {
		r, err = c.Join(ctx, q)
		return err
	})
	return r, err
}

func (p *peers) call(ctx context.Context, address string, f func(context.Context, wire.DRPCControlClient) error) error {
	ctx, cancel := timer.WithTimeout(ctx, p.timer, peerLimit)
	defer cancel()
	n, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(n)
	defer func() { _ = conn.Close() }()
	return f(replica.WithPeerToken(ctx, p.token), wire.NewDRPCControlClient(conn))
}

// memberState keeps the record that this instance belongs to the control group.
type memberState struct {
	files     disk.FileSystem
	directory string

	mu     sync.Mutex
	record *record
}

// get returns nil while this instance belongs to no group.
func (s *memberState) get() *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// set makes the record durable before others see it.
func (s *memberState) set(r *record) error {
	if err := r.save(s.files, s.directory); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = r
	return nil
}
