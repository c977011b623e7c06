package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a group that stays too small, keeps voters that are lost for good, or
// loses its majority because a voter is removed before its replacement votes.
func TestNextChange(t *testing.T) {
	voter := func(id, address string) replica.Member {
		return replica.Member{Identity: replica.Identity(id), Address: replica.Address(address), Voter: true}
	}
	learner := func(id, address string) replica.Member {
		return replica.Member{Identity: replica.Identity(id), Address: replica.Address(address)}
	}
	unreachableForMinute := map[replica.Identity]time.Duration{"b": time.Minute, "c": time.Minute}
	for _, c := range []struct {
		name        string
		members     []replica.Member
		live        map[replica.Identity]replica.Address
		unreachable map[replica.Identity]time.Duration
		action      Action
		member      replica.Identity
	}{
		{"single instance", []replica.Member{voter("a", "1")}, map[replica.Identity]replica.Address{"a": "1"}, nil, NoChange, ""},
		{"second instance is added", []replica.Member{voter("a", "1")}, map[replica.Identity]replica.Address{"a": "1", "b": "2"}, nil, Add, "b"},
		{
			"two instances keep one voter",
			[]replica.Member{voter("a", "1"), learner("b", "2")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			nil, NoChange, "",
		},
		{
			"three instances get three voters",
			[]replica.Member{voter("a", "1"), learner("b", "2"), learner("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "c": "3"},
			nil, Promote, "b",
		},
		{
			"unreachable voter stays without a learner",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			unreachableForMinute, NoChange, "",
		},
		{
			"voter with a wiped disk: its new identity is promoted first",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			nil, Promote, "d",
		},
		{
			"voter with a wiped disk: its old identity is removed next",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			nil, Remove, "c",
		},
		{
			"unreachable voter is replaced by a learner at another address",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "4"},
			unreachableForMinute, Promote, "d",
		},
		{
			"two of five voters unreachable, no learner",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "4"), voter("e", "5")},
			map[replica.Identity]replica.Address{"a": "1", "d": "4", "e": "5"},
			unreachableForMinute, NoChange, "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			change := NextChange("a", c.members, c.live, c.unreachable)
			is.Equal(change.Action, c.action)
			is.Equal(change.Member.Identity, c.member)
		})
	}
}
