// Package server implements the Control service of a control instance. Its callers are
// entries, instances that serve operators, and joining replicas.
package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// LeaseDuration is how long an entry may use its configuration after a renewal.
	LeaseDuration = 2000 * time.Millisecond
	// MaxPollWait bounds how long the reply to a renewal is held back.
	MaxPollWait = 500 * time.Millisecond
	// quorumTimeout bounds the wait for a majority. It is shorter than the client's timeout
	// of 1 s per attempt, so that the client receives the reason of the failure.
	quorumTimeout = 800 * time.Millisecond
	// maxWait bounds the wait for a change to be in force and for a claim to be finished.
	maxWait = 30 * time.Second
	// checkInterval is the time between two checks for expired leases and registrations.
	checkInterval = 100 * time.Millisecond
)

// Node is the local replica of one group. It returns the errors of package replica; any
// other error of Propose means that the outcome is unknown.
type Node interface {
	// Propose returns the result of the applied command.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns nil once a majority has confirmed the leadership after the call
	// began and everything committed by then is applied.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the last known leader.
	Leader() (address string, term uint64, known bool)
	// HoldsLease reports whether the node leads and its leader lease has not expired.
	HoldsLease() (term uint64, ok bool)
	Status() *wire.GroupStatus
}

// Validator checks the text of a document of a service.
type Validator func(service string, text []byte) error

// Service implements the calls of the Control service except Identify and Join.
type Service struct {
	timer   timer.Service
	log     *zap.Logger
	address string
	// validate checks documents before they are proposed; nil accepts all.
	validate Validator
	config   *state.Config
	data     []*state.Data // data[g-1] is the state of data group g
	nodes    []Node        // by group; nodes[0] is that of the configuration
	soft     *softState

	mu sync.Mutex
	// confirmedTerm is the latest term in which a majority confirmed this instance as the
	// leader of group 0.
	confirmedTerm uint64
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Timer timer.Service
	Log   *zap.Logger
	// Address is this instance's own peer address.
	Address string
	// Validate checks documents before they are proposed; nil accepts all.
	Validate Validator
	Config   *state.Config
	// Data holds the states of the data groups in order.
	Data []*state.Data
	// Nodes holds the replica of group 0 and then those of the data groups in order.
	Nodes []Node
}

// NewService returns the service of one control instance.
func NewService(o ServiceOptions) *Service {
	return &Service{
		timer: o.Timer, log: o.Log, address: o.Address, validate: o.Validate, config: o.Config,
		data: o.Data, nodes: o.Nodes, soft: newSoftState(o.Timer),
	}
}

// Run removes entries with expired leases and deregisters silent upstreams while this
// instance leads group 0.
func (s *Service) Run(ctx context.Context) error {
	ticks := s.timer.Subscribe(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			if err := s.check(ctx); err != nil {
				return err
			}
		}
	}
}

// check runs one round of Run. An error ends the process: the number of data groups in the
// settings is not that of the control group.
func (s *Service) check(ctx context.Context) error {
	if n := s.config.DataGroups(); n != 0 && n != uint32(len(s.data)) {
		return errors.Newf("setting groups is %d, but the control group was bootstrapped with %d", len(s.data), n)
	}
	term, ok := s.nodes[0].HoldsLease()
	if !ok {
		return nil
	}
	s.soft.beginTerm(term)
	s.soft.removeExpired()
	s.expireUpstreams(ctx)
	if s.config.DataGroups() == 0 {
		s.recordGroupCount(ctx)
	}
	return nil
}

// recordGroupCount commits the number of data groups, which never changes afterwards.
func (s *Service) recordGroupCount(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, s.timer, quorumTimeout)
	defer cancel()
	c := &wire.Command{Body: &wire.Command_Form{Form: &wire.FormCommand{Groups: uint32(len(s.data))}}}
	if f := s.propose(ctx, 0, c, &wire.ApplyReply{}); f != nil {
		s.log.Warn("number of data groups not recorded", zap.String("cause", f.Text))
	}
}

// commandReply is the result of a command that is replicated through the log.
type commandReply interface {
	proto.Message
	GetFault() *wire.Fault
}

// propose commits a command in a group and decodes its reply into r. A returned fault
// means that there is no reply; a fault in the reply is left to the caller.
func (s *Service) propose(ctx context.Context, group uint32, c *wire.Command, r commandReply) *wire.Fault {
	n := s.nodes[group]
	if _, ok := n.HoldsLease(); !ok {
		return s.redirect(group)
	}
	c.Instant = s.timer.Wall().UnixMilli()
	command, err := proto.Marshal(c)
	if err != nil {
		return &wire.Fault{Code: wire.Code_CODE_INVALID, Text: err.Error()}
	}
	result, err := n.Propose(ctx, command)
	if err != nil {
		return s.faultOf(group, err)
	}
	if err := proto.Unmarshal(result, r); err != nil {
		return &wire.Fault{Code: wire.Code_CODE_UNKNOWN, Text: err.Error()}
	}
	return nil
}

// readBarrier confirms that the local state of the group is current.
func (s *Service) readBarrier(ctx context.Context, group uint32) *wire.Fault {
	if _, ok := s.nodes[group].HoldsLease(); !ok {
		return s.redirect(group)
	}
	ctx, cancel := timer.WithTimeout(ctx, s.timer, quorumTimeout)
	defer cancel()
	if err := s.nodes[group].ReadBarrier(ctx); err != nil {
		f := s.faultOf(group, err)
		if f.Code == wire.Code_CODE_UNKNOWN {
			f.Code = wire.Code_CODE_UNAVAILABLE
		}
		return f
	}
	return nil
}

// faultOf maps an error of a node to the fault of a reply.
func (s *Service) faultOf(group uint32, err error) *wire.Fault {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return s.redirect(group)
	case errors.Is(err, replica.ErrBusy):
		return &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: err.Error()}
	case errors.Is(err, replica.ErrStorageFull):
		return &wire.Fault{Code: wire.Code_CODE_FULL, Text: err.Error()}
	case errors.Is(err, replica.ErrTooLarge):
		return &wire.Fault{Code: wire.Code_CODE_INVALID, Text: err.Error()}
	}
	return &wire.Fault{Code: wire.Code_CODE_UNKNOWN, Text: err.Error()}
}

// redirect returns a fault with the address of the leader. If the node itself is the last
// known leader but has no valid leader lease, there is no leader to redirect to.
func (s *Service) redirect(group uint32) *wire.Fault {
	address, _, known := s.nodes[group].Leader()
	if _, ok := s.nodes[group].HoldsLease(); ok || !known || address == "" || address == s.address {
		return &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: "no leader is confirmed"}
	}
	return &wire.Fault{Code: wire.Code_CODE_REDIRECT, Text: "not the leader", Leader: address}
}

// confirmLeadership confirms that this instance leads group 0 and returns the term. The
// first call of a term waits for a read barrier, so that leases are granted only once the
// state of the former leader is applied.
func (s *Service) confirmLeadership(ctx context.Context) (term uint64, f *wire.Fault) {
	term, ok := s.nodes[0].HoldsLease()
	if !ok {
		return 0, s.redirect(0)
	}
	s.soft.beginTerm(term)
	s.mu.Lock()
	confirmed := s.confirmedTerm == term
	s.mu.Unlock()
	if confirmed {
		return term, nil
	}
	if f := s.readBarrier(ctx, 0); f != nil {
		return 0, f
	}
	if current, ok := s.nodes[0].HoldsLease(); !ok || current != term {
		return 0, s.redirect(0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedTerm = term
	return term, nil
}
