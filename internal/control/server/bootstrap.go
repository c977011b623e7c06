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
	// minBootstrapPause and maxBootstrapPause bound the random pause between two rounds of
	// identifying the other instances.
	minBootstrapPause = 50 * time.Millisecond
	maxBootstrapPause = 150 * time.Millisecond
)

// bootstrapper makes an instance with an empty data directory a member of the control
// group: it takes part in the bootstrap of a new group, or joins an existing one.
type bootstrapper struct {
	timer      timer.Service
	random     *rand.Rand
	log        *zap.Logger
	identity   string
	address    string
	addresses  []string
	dataGroups uint32 // number of data groups in the settings
	identify   func(ctx context.Context, address string) (*wire.IdentifyReply, error)
	join       func(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinReply, error)
	// bootstrap stores the first members and bootstraps all groups with them.
	bootstrap func(members []*wire.Founder) error
	// appliedIndexes returns the last applied index of each group.
	appliedIndexes func() []uint64
	// recordJoined stores that this instance is a voter of all groups.
	recordJoined func() error

	// votingGroups holds the groups in which this instance is a voter.
	votingGroups map[uint32]bool
}

// run returns once this instance is a member of the control group.
func (b *bootstrapper) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "bootstrap the control group")
		}
	}()
	b.votingGroups = map[uint32]bool{}
	for {
		done, err := b.step(ctx)
		if done || err != nil {
			return err
		}
		pause := minBootstrapPause + time.Duration(b.random.Int64N(int64(maxBootstrapPause-minBootstrapPause)))
		if err := timer.Sleep(ctx, b.timer, pause); err != nil {
			return nil
		}
	}
}

// step identifies all control instances once. It then joins or bootstraps the control
// group as far as their replies allow. done is true once this instance is a member.
func (b *bootstrapper) step(ctx context.Context) (done bool, err error) {
	replies, err := b.identifyPeers(ctx)
	if err != nil {
		return false, err
	}
	var memberAddresses []string
	for _, a := range b.addresses {
		r := replies[a]
		if r == nil || !r.Formed {
			continue
		}
		memberAddresses = append(memberAddresses, a)
		if slices.ContainsFunc(r.Members, b.isSelf) {
			return true, b.bootstrap(r.Members)
		}
	}
	if len(memberAddresses) > 0 {
		return b.requestJoin(ctx, memberAddresses)
	}
	// Only the instance with the lowest address chooses the first members. If each
	// instance chose them, a disk lost in between could lead to two different groups.
	if b.address != slices.Min(b.addresses) || len(replies) < len(b.addresses)-1 {
		return false, nil
	}
	members := []*wire.Founder{{Identity: b.identity, Address: b.address}}
	for a, r := range replies {
		members = append(members, &wire.Founder{Identity: r.Identity, Address: a})
	}
	slices.SortFunc(members, func(a, b *wire.Founder) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return true, b.bootstrap(members)
}

// isSelf reports whether the first member is this instance.
func (b *bootstrapper) isSelf(m *wire.Founder) bool {
	return m.Identity == b.identity && m.Address == b.address
}

// identifyPeers asks the other instances for their identities and returns their replies by
// address. It returns an error if an instance has another number of data groups, since the
// settings of the two then differ.
func (b *bootstrapper) identifyPeers(ctx context.Context) (map[string]*wire.IdentifyReply, error) {
	replies := map[string]*wire.IdentifyReply{}
	for _, a := range b.addresses {
		if a == b.address {
			continue
		}
		r, err := b.identify(ctx, a)
		if err != nil || r.Identity == "" {
			b.log.Debug("control instance did not answer", zap.String("address", a), zap.Error(err))
			continue
		}
		if r.Groups != b.dataGroups {
			return nil, errors.Newf("setting groups: control instance %s uses %d, this instance uses %d", a, r.Groups, b.dataGroups)
		}
		replies[a] = r
	}
	return replies, nil
}

// requestJoin asks the members of the control group to add this instance. Each of them
// changes only the groups that it leads. done is true once this instance is a voter of all
// groups.
func (b *bootstrapper) requestJoin(ctx context.Context, memberAddresses []string) (done bool, err error) {
	for _, a := range memberAddresses {
		r, err := b.join(ctx, a, &wire.JoinRequest{Identity: b.identity, Address: b.address, Applied: b.appliedIndexes()})
		if err != nil {
			b.log.Debug("join request failed", zap.String("address", a), zap.Error(err))
			continue
		}
		if r.Fault.GetCode() == wire.Code_CODE_INVALID {
			return false, errors.Newf("control instance %s refused the join request: %s", a, r.Fault.Text)
		}
		for _, g := range r.Voting {
			b.votingGroups[g] = true
		}
	}
	if len(b.votingGroups) < int(b.dataGroups)+1 {
		return false, nil
	}
	b.log.Info("joined the control group", zap.String("identity", b.identity))
	return true, b.recordJoined()
}
