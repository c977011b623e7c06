package server

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fill adds the soft state to an answer if the entry holds another version.
func (t *table) fill(reply *wire.RenewReply, held uint64, c *state.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.Soft = held
	if held == t.soft || held != 0 && !t.settled(t.timer.Now()) {
		return
	}
	reply.Soft = t.soft
	reply.Entries = t.list(c)
	reply.Loads = t.loads()
	reply.Tallies = t.sum()
}

// list returns the entries, one record per name: that of the process heard last.
func (t *table) list(c *state.Config) []*wire.Instance {
	latest := map[string]*lease{}
	for p, e := range t.entries {
		if o := latest[p.name]; o == nil || o.newest() < e.newest() {
			latest[p.name] = e
		}
	}
	out := make([]*wire.Instance, 0, len(latest))
	for _, e := range latest {
		out = append(out, e.shown(c))
	}
	slices.SortFunc(out, func(a, b *wire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// shown returns the instance as others are to see it.
func (e *lease) shown(c *state.Config) *wire.Instance {
	i := proto.CloneOf(e.instance)
	i.Draining = i.Draining || c.Draining(i.Name)
	return i
}

func (e *lease) newest() int64 {
	var newest int64
	for _, g := range e.grants {
		newest = max(newest, int64(g.expires))
	}
	return newest
}

func (t *table) loads() []*wire.Heard {
	out := make([]*wire.Heard, 0, len(t.heard))
	for n, h := range t.heard {
		out = append(out, &wire.Heard{Name: n, Incarnation: h.incarnation, Load: h.load})
	}
	slices.SortFunc(out, func(a, b *wire.Heard) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// sum adds up the counters of all entries of this term.
func (t *table) sum() []*wire.Tally {
	total := map[string]*wire.Tally{}
	addTallies(total, slices.Collect(maps.Values(t.past)))
	for _, e := range t.entries {
		addTallies(total, e.tallies)
	}
	out := slices.Collect(maps.Values(total))
	slices.SortFunc(out, func(a, b *wire.Tally) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

func addTallies(total map[string]*wire.Tally, add []*wire.Tally) {
	for _, a := range add {
		s := total[a.Account]
		if s == nil {
			total[a.Account] = proto.CloneOf(a)
			continue
		}
		s.Requests += a.Requests
		s.Refusals += a.Refusals
		for i, n := range a.Waits {
			if i == len(s.Waits) {
				s.Waits = append(s.Waits, 0)
			}
			s.Waits[i] += n
		}
	}
}
