package consensus

import (
	"slices"
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
	inContact := map[replica.Identity]time.Duration{"b": time.Minute, "c": time.Minute, "d": time.Minute, "e": time.Minute}
	restarted := map[replica.Identity]time.Duration{"d": minContact / 2}
	caughtUp := map[replica.Identity]bool{"b": true, "c": true, "d": true, "e": true}
	for _, c := range []struct {
		name        string
		members     []replica.Member
		live        map[replica.Identity]replica.Address
		contact     map[replica.Identity]time.Duration
		unreachable map[replica.Identity]time.Duration
		caughtUp    map[replica.Identity]bool
		action      Action
		member      replica.Identity
	}{
		{"single instance", []replica.Member{voter("a", "1")}, map[replica.Identity]replica.Address{"a": "1"}, inContact, nil, caughtUp, NoChange, ""},
		{
			"second instance is added",
			[]replica.Member{voter("a", "1")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			inContact, nil, caughtUp, Add, "b",
		},
		{
			"two instances keep one voter",
			[]replica.Member{voter("a", "1"), learner("b", "2")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			inContact, nil, caughtUp, NoChange, "",
		},
		{
			"three instances get three voters",
			[]replica.Member{voter("a", "1"), learner("b", "2"), learner("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "c": "3"},
			inContact, nil, caughtUp, Promote, "b",
		},
		{
			"unreachable voter stays without a learner",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			inContact, unreachableForMinute, caughtUp, NoChange, "",
		},
		{
			"voter with a wiped disk: its old identity is removed first",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			inContact, nil, caughtUp, Remove, "c",
		},
		{
			"voter with a wiped disk: its old identity is removed as the new one is added",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			inContact, nil, caughtUp, Replace, "d",
		},
		{
			"voter with a wiped disk: its new identity is promoted next, without delay",
			[]replica.Member{voter("a", "1"), voter("b", "2"), learner("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			restarted, nil, caughtUp, Promote, "d",
		},
		{
			"a learner that does not have the log is not promoted, another one is",
			[]replica.Member{voter("a", "1"), voter("b", "2"), learner("d", "3"), learner("e", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3", "e": "4"},
			inContact, nil,
			map[replica.Identity]bool{"e": true},
			Promote, "e",
		},
		{
			"learner with a wiped disk is replaced",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "c": "3", "e": "4"},
			inContact, nil, caughtUp, Replace, "e",
		},
		{
			"unreachable voter is replaced by a learner at another address",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "4"},
			inContact, unreachableForMinute, caughtUp, Promote, "d",
		},
		{
			"unreachable voter is not replaced by a learner that restarts again and again",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "4"},
			restarted, unreachableForMinute, caughtUp, NoChange, "",
		},
		{
			"unreachable voter is removed once a learner has replaced it",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "4"},
			inContact,
			map[replica.Identity]time.Duration{"c": time.Minute},
			caughtUp, Remove, "c",
		},
		{
			"two of five voters unreachable, no learner",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "4"), voter("e", "5")},
			map[replica.Identity]replica.Address{"a": "1", "d": "4", "e": "5"},
			inContact, unreachableForMinute, caughtUp, NoChange, "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			change := NextChange(Observation{
				Self: "a", Members: c.members, Live: c.live, Contact: c.contact, Unreachable: c.unreachable, CaughtUp: c.caughtUp,
			})
			is.Equal(change.Action, c.action)
			is.Equal(change.Member.Identity, c.member)
			if change.Action == Replace {
				at := slices.IndexFunc(c.members, func(m replica.Member) bool { return m.Identity == change.Lost })
				is.Equal(c.members[at].Address, change.Member.Address)
				is.True(!change.Member.Voter)
			}
		})
	}
}
