package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a group that stays too small, keeps voters that cannot return, or
// loses its majority while it is repaired.
func TestNext(t *testing.T) {
	voter := func(id, at string) replica.Member {
		return replica.Member{Identity: replica.Identity(id), Address: replica.Address(at), Voter: true}
	}
	learner := func(id, at string) replica.Member {
		return replica.Member{Identity: replica.Identity(id), Address: replica.Address(at)}
	}
	long := map[replica.Identity]time.Duration{"b": time.Minute, "c": time.Minute}
	for _, c := range []struct {
		name    string
		members []replica.Member
		live    map[replica.Identity]replica.Address
		quiet   map[replica.Identity]time.Duration
		action  Action
		who     replica.Identity
	}{
		{"alone", []replica.Member{voter("a", "1")}, map[replica.Identity]replica.Address{"a": "1"}, nil, NoChange, ""},
		{"second appears", []replica.Member{voter("a", "1")}, map[replica.Identity]replica.Address{"a": "1", "b": "2"}, nil, Add, "b"},
		{
			"two stay one vote",
			[]replica.Member{voter("a", "1"), learner("b", "2")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			nil, NoChange, "",
		},
		{
			"three vote",
			[]replica.Member{voter("a", "1"), learner("b", "2"), learner("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "c": "3"},
			nil, Promote, "b",
		},
		{
			"frozen voter without a spare stays",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2"},
			long, NoChange, "",
		},
		{
			"wiped voter: its successor is promoted first",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			nil, Promote, "d",
		},
		{
			"wiped voter is removed after that",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "3")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "3"},
			nil, Remove, "c",
		},
		{
			"replaced at another address",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), learner("d", "4")},
			map[replica.Identity]replica.Address{"a": "1", "b": "2", "d": "4"},
			long, Promote, "d",
		},
		{
			"two of five lost, no spare",
			[]replica.Member{voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "4"), voter("e", "5")},
			map[replica.Identity]replica.Address{"a": "1", "d": "4", "e": "5"},
			long, NoChange, "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NextChange("a", c.members, c.live, c.quiet)
			is.Equal(s.Action, c.action)
			is.Equal(s.Member.Identity, c.who)
		})
	}
}
