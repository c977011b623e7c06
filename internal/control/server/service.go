// Package server serves the Control service of a control instance to entries,
// operators' instances and joining replicas.
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
	// LeaseDuration is how long an entry may count on its configuration after a renewal.
	LeaseDuration = 2000 * time.Millisecond
	// MaxPollWait bounds how long a renewal is held back.
	MaxPollWait = 500 * time.Millisecond
	// callLimit bounds the wait for a majority. It is below the client's deadline
	// of 1 s for one attempt, so that the client learns the reason.
	callLimit = 800 * time.Millisecond
	// waitLimit bounds how long a change waits to be in force and a claim to be done.
	waitLimit = 30 * time.Second
	// checkInterval is how often leases and registrations are checked for their end.
	checkInterval = 100 * time.Millisecond
)

// Node is the replica of one group as this package uses it. Its errors are those
// of package replica; any other error of Propose leaves the outcome unknown.
type Node interface {
	// Propose returns the result of the applied command.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns nil once a majority confirmed the leadership after the call
	// began and the state is applied up to that point.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the leader last heard of.
	Leader() (address string, term uint64, known bool)
	// HoldsLease tells whether the node leads with an unexpired leader lease.
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
	// validate may be nil.
	validate Validator
	config   *state.Config
	data     []*state.Data
	nodes    []Node
	table    *table

	mu sync.Mutex
	// confirmed is the term in which a majority confirmed this leader of group 0.
	confirmed uint64
}

// ServiceOptions is what a Service works with.
type ServiceOptions struct {
	Timer timer.Service
	Log   *zap.Logger
	// Address is this instance's own peer address.
	Address string
	// Validate checks documents before they are proposed; nil accepts all.
	Validate Validator
	Config   *state.Config
	Data     []*state.Data
	// Nodes holds the replica of group 0 and then those of the data groups in order.
	Nodes []Node
}

// NewService returns the service of one control instance.
func NewService(p ServiceOptions) *Service {
	return &Service{
		timer: p.Timer, log: p.Log, address: p.Address, validate: p.Validate, config: p.Config,
		data: p.Data, nodes: p.Nodes, table: newTable(p.Timer),
	}
}

// Run ends the leases of silent entries and the registrations of silent
// upstreams while this instance leads group 0.
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

// check does what is due now. An error ends the process: the instance does not
// fit the control group.
func (s *Service) check(ctx context.Context) error {
	if n := s.config.Groups(); n != 0 && n != uint32(len(s.data)) {
		return errors.Newf("setting groups is %d, but the control group was formed with %d", len(s.data), n)
	}
	term, ok := s.nodes[0].HoldsLease()
	if !ok {
		return nil
	}
	s.table.lead(term)
	s.table.prune()
	s.expireUpstreams(ctx)
	if s.config.Groups() == 0 {
		s.form(ctx)
	}
	return nil
}

// form fixes the number of data groups.
func (s *Service) form(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, s.timer, callLimit)
	defer cancel()
	c := &wire.Command{Body: &wire.Command_Form{Form: &wire.FormCommand{Groups: uint32(len(s.data))}}}
	if f := s.propose(ctx, 0, c, &wire.ApplyReply{}); f != nil {
		s.log.Warn("number of groups not fixed", zap.String("cause", f.Text))
	}
}

// reply is the answer to a command that goes through the log.
type reply interface {
	proto.Message
	GetFault() *wire.Fault
}

// propose commits a command in a group and decodes the reply. A returned fault
// says that the group gave no reply.
func (s *Service) propose(ctx context.Context, group uint32, c *wire.Command, r reply) *wire.Fault {
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
		return s.explain(group, err)
	}
	if err := proto.Unmarshal(result, r); err != nil {
		return &wire.Fault{Code: wire.Code_CODE_UNKNOWN, Text: err.Error()}
	}
	return nil
}

// read confirms that the state of the group is current.
func (s *Service) read(ctx context.Context, group uint32) *wire.Fault {
	if _, ok := s.nodes[group].HoldsLease(); !ok {
		return s.redirect(group)
	}
	ctx, cancel := timer.WithTimeout(ctx, s.timer, callLimit)
	defer cancel()
	if err := s.nodes[group].ReadBarrier(ctx); err != nil {
		f := s.explain(group, err)
		if f.Code == wire.Code_CODE_UNKNOWN {
			f.Code = wire.Code_CODE_UNAVAILABLE
		}
		return f
	}
	return nil
}

func (s *Service) explain(group uint32, err error) *wire.Fault {
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

// redirect names the leader. A node that believes to lead without a valid leader
// lease is no leader to send anybody to.
func (s *Service) redirect(group uint32) *wire.Fault {
	address, _, known := s.nodes[group].Leader()
	if _, ok := s.nodes[group].HoldsLease(); ok || !known || address == "" || address == s.address {
		return &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: "no leader is confirmed"}
	}
	return &wire.Fault{Code: wire.Code_CODE_REDIRECT, Text: "not the leader", Leader: address}
}

// lead confirms that this instance leads group 0 and returns its term. The first
// call of a term waits until a majority confirmed it, so that leases are granted
// on the state that the former leader left.
func (s *Service) lead(ctx context.Context) (term uint64, f *wire.Fault) {
	term, ok := s.nodes[0].HoldsLease()
	if !ok {
		return 0, s.redirect(0)
	}
	s.table.lead(term)
	s.mu.Lock()
	confirmed := s.confirmed == term
	s.mu.Unlock()
	if confirmed {
		return term, nil
	}
	if f := s.read(ctx, 0); f != nil {
		return 0, f
	}
	if now, ok := s.nodes[0].HoldsLease(); !ok || now != term {
		return 0, s.redirect(0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = term
	return term, nil
}
