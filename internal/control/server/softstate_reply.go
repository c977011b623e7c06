package server

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// addTo adds the soft state to a reply if the entry holds another version. In the first
// lease period of a term, entries keep what the former leader sent them.
func (s *softState) addTo(reply *wire.RenewReply, held uint64, c *state.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Soft = held
	if held == s.version || held != 0 && !s.formerLeasesExpired(s.timer.Now()) {
		return
	}
	reply.Soft = s.version
	reply.Entries = s.listEntries(c)
	reply.Loads = s.listLoads()
	reply.Tallies = s.sumTallies()
}

// listEntries returns one instance per entry name: that of the process whose lease ends last.
func (s *softState) listEntries(c *state.Config) []*wire.Instance {
	latest := map[string]*lease{}
	for p, e := range s.entries {
		if o := latest[p.name]; o == nil || o.latestExpiry() < e.latestExpiry() {
			latest[p.name] = e
		}
	}
	out := make([]*wire.Instance, 0, len(latest))
	for _, e := range latest {
		out = append(out, e.visibleInstance(c))
	}
	slices.SortFunc(out, func(a, b *wire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// visibleInstance returns the instance as it is shown to other entries. It is draining if
// either the instance says so or the configuration does.
func (e *lease) visibleInstance(c *state.Config) *wire.Instance {
	i := proto.CloneOf(e.instance)
	i.Draining = i.Draining || c.Draining(i.Name)
	return i
}

// latestExpiry returns the end of the grant that expires last.
func (e *lease) latestExpiry() int64 {
	var latest int64
	for _, g := range e.grants {
		latest = max(latest, int64(g.expires))
	}
	return latest
}

// listLoads returns the last load of each upstream.
func (s *softState) listLoads() []*wire.Heard {
	out := make([]*wire.Heard, 0, len(s.upstreams))
	for n, h := range s.upstreams {
		out = append(out, &wire.Heard{Name: n, Incarnation: h.incarnation, Load: h.load})
	}
	slices.SortFunc(out, func(a, b *wire.Heard) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// sumTallies adds up the counters of all entries of this term, expired ones included.
func (s *softState) sumTallies() []*wire.Tally {
	total := map[string]*wire.Tally{}
	addTallies(total, slices.Collect(maps.Values(s.expiredTallies)))
	for _, e := range s.expired {
		addTallies(total, e.tallies)
	}
	for _, e := range s.entries {
		addTallies(total, e.tallies)
	}
	out := slices.Collect(maps.Values(total))
	slices.SortFunc(out, func(a, b *wire.Tally) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// addTallies adds counters to the total of their account.
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
