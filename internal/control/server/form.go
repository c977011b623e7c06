package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// formLeast and formMost bound the pause between two looks at the others.
	formLeast = 50 * time.Millisecond
	formMost  = 150 * time.Millisecond
)

// formation brings an instance with an empty disk into the control group: it takes
// part in the first formation, or joins a group that exists.
type formation struct {
	timer     timer.Service
	random    *rand.Rand
	log       *zap.Logger
	identity  string
	address   string
	addresses []string
	groups    uint32
	identify  func(ctx context.Context, address string) (*wire.IdentifyReply, error)
	join      func(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinReply, error)
	// establish records the first members and bootstraps all groups with them.
	establish func(members []*wire.Founder) error
	// applied returns the last applied index of each group.
	applied func() []uint64
	// joined records that all groups hold this instance as a voter.
	joined func() error

	voting map[uint32]bool
}

// run returns once this instance belongs to the control group.
func (f *formation) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "forming the control group")
		}
	}()
	f.voting = map[uint32]bool{}
	for {
		done, err := f.step(ctx)
		if done || err != nil {
			return err
		}
		pause := formLeast + time.Duration(f.random.Int64N(int64(formMost-formLeast)))
		if err := timer.Sleep(ctx, f.timer, pause); err != nil {
			return nil
		}
	}
}

// step looks at all control instances once and acts on what they say.
func (f *formation) step(ctx context.Context) (done bool, err error) {
	seen, err := f.look(ctx)
	if err != nil {
		return false, err
	}
	var formed []string
	for _, a := range f.addresses {
		r := seen[a]
		if r == nil || !r.Formed {
			continue
		}
		formed = append(formed, a)
		if slices.ContainsFunc(r.Members, f.self) {
			return true, f.establish(r.Members)
		}
	}
	if len(formed) > 0 {
		return f.enter(ctx, formed)
	}
	// One instance alone decides who the first members are. If each decided by
	// itself, a disk that is lost in between would give two different groups.
	if f.address != slices.Min(f.addresses) || len(seen) < len(f.addresses)-1 {
		return false, nil
	}
	members := []*wire.Founder{{Identity: f.identity, Address: f.address}}
	for a, r := range seen {
		members = append(members, &wire.Founder{Identity: r.Identity, Address: a})
	}
	slices.SortFunc(members, func(a, b *wire.Founder) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return true, f.establish(members)
}

func (f *formation) self(m *wire.Founder) bool {
	return m.Identity == f.identity && m.Address == f.address
}

// look asks the other instances who they are. An instance whose number of groups
// differs is an error of the settings.
func (f *formation) look(ctx context.Context) (map[string]*wire.IdentifyReply, error) {
	seen := map[string]*wire.IdentifyReply{}
	for _, a := range f.addresses {
		if a == f.address {
			continue
		}
		r, err := f.identify(ctx, a)
		if err != nil || r.Identity == "" {
			f.log.Debug("control instance does not answer", zap.String("address", a), zap.Error(err))
			continue
		}
		if r.Groups != f.groups {
			return nil, errors.Newf("setting groups: %s has %d, this instance %d", a, r.Groups, f.groups)
		}
		seen[a] = r
	}
	return seen, nil
}

// enter asks the formed instances to take this one in. Each acts for the groups
// that it leads.
func (f *formation) enter(ctx context.Context, formed []string) (done bool, err error) {
	for _, a := range formed {
		r, err := f.join(ctx, a, &wire.JoinRequest{Identity: f.identity, Address: f.address, Applied: f.applied()})
		if err != nil {
			f.log.Debug("join not answered", zap.String("address", a), zap.Error(err))
			continue
		}
		if r.Fault.GetCode() == wire.Code_CODE_INVALID {
			return false, errors.Newf("%s refused: %s", a, r.Fault.Text)
		}
		for _, g := range r.Voting {
			f.voting[g] = true
		}
	}
	if len(f.voting) < int(f.groups)+1 {
		return false, nil
	}
	f.log.Info("joined the control group", zap.String("identity", f.identity))
	return true, f.joined()
}
