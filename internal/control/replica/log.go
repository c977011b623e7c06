package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// entryOverhead is added to the data of an entry when sizes are bounded.
const entryOverhead = 32

// journal is the part of the log that is held in memory, and the memberships
// that it contains. The entry at base is known by its term only.
type journal struct {
	base     Index
	baseTerm Term
	entries  []Entry
	configs  []config // ascending; the first is the one valid at base or before
}

// config is a membership and the index of the entry that holds it.
type config struct {
	index   Index
	members []Member
}

// newJournal builds the journal from what a store loaded.
func newJournal(entries []Entry, m SnapshotMeta) (j *journal, err error) {
	j = &journal{base: m.Index, baseTerm: m.Term, configs: []config{{index: m.Index, members: m.Members}}}
	if len(entries) == 0 {
		return j, nil
	}
	if first := entries[0]; first.Index <= m.Index {
		// The term before the first kept entry is not known, so that entry becomes the base.
		j.base, j.baseTerm = first.Index, first.Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index != j.last()+1 {
			return nil, errors.Newf("entry %d follows entry %d", e.Index, j.last())
		}
		if err := j.append(e); err != nil {
			return nil, err
		}
	}
	return j, nil
}

func (j *journal) last() Index { return j.base + Index(len(j.entries)) }

func (j *journal) lastTerm() Term {
	t, _ := j.term(j.last())
	return t
}

// term returns the term of the entry at i, if it is known.
func (j *journal) term(i Index) (Term, bool) {
	switch {
	case i == j.base:
		return j.baseTerm, true
	case i < j.base || i > j.last():
		return 0, false
	}
	return j.entries[i-j.base-1].Term, true
}

// slice returns entries from index from up to index to, at least one and no
// more than limit bytes. The result is never written to again.
func (j *journal) slice(from, to Index, limit int) []Entry {
	to = min(to, j.last())
	if from <= j.base || from > to {
		return nil
	}
	start, end, size := int(from-j.base-1), int(from-j.base-1), 0
	for end < int(to-j.base) {
		size += len(j.entries[end].Data) + entryOverhead
		if end > start && size > limit {
			break
		}
		end++
	}
	return j.entries[start:end:end]
}

// append adds entries. A membership takes effect as soon as it is appended.
func (j *journal) append(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind == wire.Kind_KIND_MEMBERS && e.Index > j.configs[len(j.configs)-1].index {
			members, err := decodeMembers(e.Data)
			if err != nil {
				return errors.Wrapf(err, "entry %d", e.Index)
			}
			j.configs = append(j.configs, config{index: e.Index, members: members})
		}
		j.entries = append(j.entries, e)
	}
	return nil
}

// truncate removes the entries from index from on, with their memberships.
func (j *journal) truncate(from Index) {
	n := int(from - j.base - 1)
	// The capacity is cut so that senders may go on reading the removed part.
	j.entries = j.entries[:n:n]
	for len(j.configs) > 1 && j.configs[len(j.configs)-1].index >= from {
		j.configs = j.configs[:len(j.configs)-1]
	}
}

// compact forgets the entries up to and including upTo.
func (j *journal) compact(upTo Index) {
	t, ok := j.term(upTo)
	if !ok || upTo <= j.base {
		return
	}
	j.entries = slices.Clone(j.entries[upTo-j.base:])
	j.base, j.baseTerm = upTo, t
	for len(j.configs) > 1 && j.configs[1].index <= upTo {
		j.configs = j.configs[1:]
	}
}

// reset replaces the whole journal by a snapshot.
func (j *journal) reset(m SnapshotMeta) {
	*j = journal{base: m.Index, baseTerm: m.Term, configs: []config{{index: m.Index, members: m.Members}}}
}

func (j *journal) config() config { return j.configs[len(j.configs)-1] }

// formed tells whether the journal knows any membership.
func (j *journal) formed() bool { return len(j.config().members) > 0 }

func find(members []Member, i Identity) (Member, bool) {
	for _, m := range members {
		if m.Identity == i {
			return m, true
		}
	}
	return Member{}, false
}

func voter(members []Member, i Identity) bool {
	m, ok := find(members, i)
	return ok && m.Voter
}

func encodeMembers(members []Member) ([]byte, error) {
	return proto.Marshal(&wire.Members{Members: MembersToWire(members)})
}

func decodeMembers(data []byte) ([]Member, error) {
	m := &wire.Members{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	return MembersFromWire(m.GetMembers()), nil
}
