package disk

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// snapshotRecordBytes is the maximum payload of the records that a snapshot is split into.
const snapshotRecordBytes = 1 << 20

// SaveSnapshot replaces the stored snapshot, unless that one is at least as recent.
func (s *Store) SaveSnapshot(m replica.SnapshotMeta, snapshot []byte) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if err := s.priorError(); err != nil || m.Index <= s.snapshotMeta.Index {
		return err
	}
	if err := s.CheckSpace(len(snapshot)); err != nil {
		return err
	}
	meta, err := proto.Marshal(&wire.Meta{
		Index: uint64(m.Index), Term: uint64(m.Term),
		Members: replica.MembersToWire(m.Members), Size: uint64(len(snapshot)),
	})
	if err != nil {
		return s.setError(err)
	}
	parts := [][]byte{encodeRecord(recordSnapshotMeta, meta)}
	for rest := snapshot; len(rest) > 0; {
		n := min(len(rest), snapshotRecordBytes)
		parts = append(parts, encodeRecord(recordSnapshotData, rest[:n]))
		rest = rest[n:]
	}
	if err := WriteFileAtomic(s.files, s.dir, snapshotFile, parts...); err != nil {
		return s.setError(err)
	}
	s.snapshotMeta = m
	return nil
}

// ReadSnapshot returns the stored snapshot, or index 0 if there is none.
func (s *Store) ReadSnapshot() (m replica.SnapshotMeta, snapshot []byte, err error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if s.snapshotMeta.Index == 0 {
		return m, nil, nil
	}
	return s.readSnapshot()
}

func (s *Store) readSnapshot() (m replica.SnapshotMeta, snapshot []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, snapshotFile)
		}
	}()
	b, err := s.files.ReadFile(s.path(snapshotFile))
	if err != nil {
		return m, nil, markFatal(err)
	}
	meta := &wire.Meta{}
	_, err = scanRecords(b, false, func(t recordType, payload []byte) error {
		switch {
		case t == recordSnapshotMeta && m.Index == 0:
			if err := proto.Unmarshal(payload, meta); err != nil {
				return errors.Mark(err, ErrCorrupt)
			}
			m.Index, m.Term = replica.Index(meta.GetIndex()), replica.Term(meta.GetTerm())
			m.Members = replica.MembersFromWire(meta.GetMembers())
			snapshot = make([]byte, 0, len(b))
		case t == recordSnapshotData && m.Index > 0:
			snapshot = append(snapshot, payload...)
		default:
			return errors.Wrapf(ErrCorrupt, "unexpected record type %d", t)
		}
		return nil
	})
	if err == nil && (m.Index == 0 || uint64(len(snapshot)) != meta.GetSize()) {
		err = errors.Wrapf(ErrCorrupt, "snapshot has %d bytes instead of %d", len(snapshot), meta.GetSize())
	}
	return m, snapshot, err
}
