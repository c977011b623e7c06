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

// peerClient calls the Control service of other control instances during bootstrap and
// join. The calls are rare, so each opens its own connection.
type peerClient struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, address string) (net.Conn, error)
}

func (p *peerClient) identify(ctx context.Context, address string) (r *wire.IdentifyReply, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCControlClient) error {
		r, err = c.Identify(ctx, &wire.IdentifyRequest{})
		return err
	})
	return r, err
}

func (p *peerClient) join(ctx context.Context, address string, q *wire.JoinRequest) (r *wire.JoinReply, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCControlClient) error {
		r, err = c.Join(ctx, q)
		return err
	})
	return r, err
}

func (p *peerClient) call(ctx context.Context, address string, f func(context.Context, wire.DRPCControlClient) error) error {
	ctx, cancel := timer.WithTimeout(ctx, p.timer, peerCallTimeout)
	defer cancel()
	n, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(n)
	defer func() { _ = conn.Close() }()
	return f(replica.WithPeerToken(ctx, p.token), wire.NewDRPCControlClient(conn))
}

// membershipStore holds the stored membership of this instance in the control group.
type membershipStore struct {
	files     disk.FileSystem
	directory string

	mu     sync.Mutex
	record *membershipRecord
}

// get returns nil if this instance is not a member of a control group.
func (s *membershipStore) get() *membershipRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// set makes the record durable before get returns it.
func (s *membershipStore) set(r *membershipRecord) error {
	if err := r.save(s.files, s.directory); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = r
	return nil
}
