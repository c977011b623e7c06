package server

import (
	"context"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fakeNode is a group of one replica. The test sets whether it leads.
type fakeNode struct {
	apply func(i replica.Index, command []byte) []byte

	mu         sync.Mutex
	term       uint64
	holdsLease bool
	leader     string
	err        error // returned instead of a result while the node holds the lease
	reads      int   // read barriers
}

func (f *fakeNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holdsLease {
		return nil, replica.ErrNotLeader
	}
	if f.err != nil {
		return nil, f.err
	}
	return f.apply(0, command), nil
}

func (f *fakeNode) ReadBarrier(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if !f.holdsLease {
		return replica.ErrNotLeader
	}
	return f.err
}

func (f *fakeNode) Leader() (string, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.term, f.leader != ""
}

func (f *fakeNode) HoldsLease() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.holdsLease
}

func (f *fakeNode) Status() *wire.GroupStatus { return &wire.GroupStatus{} }

func (f *fakeNode) set(holdsLease bool, term uint64, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdsLease, f.term, f.leader = holdsLease, term, leader
}
