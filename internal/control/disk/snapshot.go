package disk

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// dataSize is the size of the records that a snapshot is split into.
const dataSize = 1 << 20

// SaveSnapshot replaces the stored snapshot, unless that one is as new already.
func (s *Store) SaveSnapshot(m replica.SnapshotMeta, snapshot []byte) error {
	s.shots.Lock()
	defer s.shots.Unlock()
	if err := s.failed(); err != nil || m.Index <= s.meta.Index {
		return err
	}
	if err := s.CheckSpace(len(snapshot)); err != nil {
		return err
	}
	head, err := proto.Marshal(&wire.Meta{
		Index: uint64(m.Index), Term: uint64(m.Term),
		Members: replica.MembersToWire(m.Members), Size: uint64(len(snapshot)),
	})
	if err != nil {
		return s.fail(err)
	}
	parts := [][]byte{encode(kindMeta, head)}
	for rest := snapshot; len(rest) > 0; {
		n := min(len(rest), dataSize)
		parts = append(parts, encode(kindData, rest[:n]))
		rest = rest[n:]
	}
	if err := WriteFileAtomic(s.files, s.dir, snapshotName, parts...); err != nil {
		return s.fail(err)
	}
	s.meta = m
	return nil
}

// ReadSnapshot returns the stored snapshot; its index is 0 if there is none.
func (s *Store) ReadSnapshot() (m replica.SnapshotMeta, snapshot []byte, err error) {
	s.shots.Lock()
	defer s.shots.Unlock()
	if s.meta.Index == 0 {
		return m, nil, nil
	}
	return s.readSnapshot()
}

func (s *Store) readSnapshot() (m replica.SnapshotMeta, snapshot []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, snapshotName)
		}
	}()
	b, err := s.files.ReadFile(s.path(snapshotName))
	if err != nil {
		return m, nil, fatal(err)
	}
	head := &wire.Meta{}
	_, err = scan(b, false, func(k kind, payload []byte) error {
		switch {
		case k == kindMeta && m.Index == 0:
			if err := proto.Unmarshal(payload, head); err != nil {
				return errors.Mark(err, ErrCorrupt)
			}
			m.Index, m.Term = replica.Index(head.GetIndex()), replica.Term(head.GetTerm())
			m.Members = replica.MembersFromWire(head.GetMembers())
			snapshot = make([]byte, 0, len(b))
		case k == kindData && m.Index > 0:
			snapshot = append(snapshot, payload...)
		default:
			return errors.Wrapf(ErrCorrupt, "record type %d", k)
		}
		return nil
	})
	if err == nil && (m.Index == 0 || uint64(len(snapshot)) != head.GetSize()) {
		err = errors.Wrapf(ErrCorrupt, "%d bytes instead of %d", len(snapshot), head.GetSize())
	}
	return m, snapshot, err
}
