package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// entryOverhead is the size in bytes assumed for an entry in addition to its data.
const entryOverhead = 32

// raftLog is the part of the log that is held in memory, with the memberships that it
// contains. Of the entry at baseIndex only the term is known.
type raftLog struct {
	baseIndex   Index
	baseTerm    Term
	entries     []Entry
	memberships []membership // by ascending index; the first is the snapshot's or the one in effect at baseIndex
}

// membership is the set of members in effect from the entry at index on.
type membership struct {
	index   Index
	members []Member
}

// newRaftLog builds the log from the entries and the snapshot that a store loaded.
func newRaftLog(entries []Entry, m SnapshotMeta) (l *raftLog, err error) {
	l = &raftLog{baseIndex: m.Index, baseTerm: m.Term, memberships: []membership{{index: m.Index, members: m.Members}}}
	if len(entries) == 0 {
		return l, nil
	}
	if first := entries[0]; first.Index <= m.Index {
		// The term of the entry before the first one is unknown, so the first becomes the base.
		l.baseIndex, l.baseTerm = first.Index, first.Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			return nil, errors.Newf("entry %d follows entry %d in the stored log", e.Index, l.lastIndex())
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *raftLog) lastIndex() Index { return l.baseIndex + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term {
	t, _ := l.termAt(l.lastIndex())
	return t
}

// termAt returns the term of the entry at index i, if it is known.
func (l *raftLog) termAt(i Index) (Term, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns the entries from index from to index to, both included. It returns at least
// one entry if there is any, and stops before limit bytes are exceeded. The returned
// entries are not modified later.
func (l *raftLog) slice(from, to Index, limit int) []Entry {
	to = min(to, l.lastIndex())
	if from <= l.baseIndex || from > to {
		return nil
	}
	start, end, size := int(from-l.baseIndex-1), int(from-l.baseIndex-1), 0
	for end < int(to-l.baseIndex) {
		size += len(l.entries[end].Data) + entryOverhead
		if end > start && size > limit {
			break
		}
		end++
	}
	return l.entries[start:end:end]
}

// append adds entries. A membership takes effect as soon as it is appended, before it is
// committed.
func (l *raftLog) append(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind == wire.Kind_KIND_MEMBERS && e.Index > l.memberships[len(l.memberships)-1].index {
			members, err := decodeMembers(e.Data)
			if err != nil {
				return errors.Wrapf(err, "entry %d", e.Index)
			}
			l.memberships = append(l.memberships, membership{index: e.Index, members: members})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate removes the entries from index from on, and the memberships in them.
func (l *raftLog) truncate(from Index) {
	kept := int(from - l.baseIndex - 1)
	// With the capacity reduced, append doesn't overwrite removed entries that senders
	// may still be reading.
	l.entries = l.entries[:kept:kept]
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact drops the entries up to and including upTo.
func (l *raftLog) compact(upTo Index) {
	t, ok := l.termAt(upTo)
	if !ok || upTo <= l.baseIndex {
		return
	}
	l.entries = slices.Clone(l.entries[upTo-l.baseIndex:])
	l.baseIndex, l.baseTerm = upTo, t
	for len(l.memberships) > 1 && l.memberships[1].index <= upTo {
		l.memberships = l.memberships[1:]
	}
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(m SnapshotMeta) {
	*l = raftLog{baseIndex: m.Index, baseTerm: m.Term, memberships: []membership{{index: m.Index, members: m.Members}}}
}

func (l *raftLog) latestMembership() membership { return l.memberships[len(l.memberships)-1] }

// hasMembers reports whether the log contains a membership, that is, whether this replica
// belongs to a group.
func (l *raftLog) hasMembers() bool { return len(l.latestMembership().members) > 0 }

func findMember(members []Member, i Identity) (Member, bool) {
	for _, m := range members {
		if m.Identity == i {
			return m, true
		}
	}
	return Member{}, false
}

func isVoter(members []Member, i Identity) bool {
	m, ok := findMember(members, i)
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
