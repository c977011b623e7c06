package disk

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// Load reads the hard state, the log and the metadata of the snapshot. It syncs nothing: what
// it returns may be lost with the power until Recover returns.
func (s *Store) Load() (h replica.HardState, entries []replica.Entry, m replica.SnapshotMeta, err error) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "load %s", s.dir)
		}
	}()
	if s.newGroup != "" {
		return h, nil, m, nil
	}
	names, err := s.files.List(s.dir)
	if err != nil {
		// The groups file lists this group, so its directory must exist.
		return h, nil, m, errors.Mark(err, ErrCorrupt)
	}
	if names, err = s.removeTempFiles(names); err != nil {
		return h, nil, m, markFatal(err)
	}
	if h, err = s.loadHardState(names); err != nil {
		return h, nil, m, err
	}
	if slices.Contains(names, snapshotFile) {
		if s.snapshotMeta, _, err = s.readSnapshot(); err != nil {
			return h, nil, m, err
		}
	}
	if entries, err = s.loadLog(names); err != nil {
		return h, nil, m, err
	}
	if entries, err = s.checkConsistency(h, entries); err != nil {
		return h, nil, m, err
	}
	if h.Term < s.snapshotMeta.Term {
		// The snapshot was saved before the hard state of its term: a new leader may send a
		// snapshot while its term still waits for the disk. In that term a leader has been
		// elected, so this replica gives its vote to nobody else.
		h = replica.HardState{Term: s.snapshotMeta.Term, Vote: s.identity}
		s.hardMu.Lock()
		s.adopted = &h
		s.hardMu.Unlock()
	}
	return h, entries, s.snapshotMeta, nil
}

// removeTempFiles removes temporary files and returns the other names.
func (s *Store) removeTempFiles(names []string) (kept []string, err error) {
	for _, n := range names {
		if !strings.HasSuffix(n, tempSuffix) {
			kept = append(kept, n)
			continue
		}
		if err := s.files.Remove(s.path(n)); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

func (s *Store) loadHardState(names []string) (h replica.HardState, err error) {
	if !slices.Contains(names, hardStateFile) {
		return h, errors.Wrap(ErrCorrupt, "hard state is missing")
	}
	b, err := s.files.ReadFile(s.path(hardStateFile))
	if err != nil {
		return h, markFatal(err)
	}
	payload, err := decodeSingleRecord(b, recordHardState)
	if err != nil {
		return h, errors.Wrap(err, hardStateFile)
	}
	message := &wire.Hard{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return h, errors.Mark(err, ErrCorrupt)
	}
	return replica.HardState{Term: replica.Term(message.GetTerm()), Vote: replica.Identity(message.GetVote())}, nil
}

// loadLog reads all segments and returns the entries of the log.
func (s *Store) loadLog(names []string) (entries []replica.Entry, err error) {
	s.segments = nil
	for _, n := range names {
		var sequence uint64
		if !strings.HasPrefix(n, segmentPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(n, segmentFileFormat, &sequence); err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "invalid name of segment file %s", n)
		}
		if c := len(s.segments); c > 0 && sequence != s.segments[c-1].sequence+1 {
			return nil, errors.Wrapf(ErrCorrupt, "segment before %s is missing", n)
		}
		s.segments = append(s.segments, segment{sequence: sequence})
	}
	for i := range s.segments {
		if entries, err = s.loadSegment(i, entries); err != nil {
			return nil, err
		}
	}
	if len(entries) > 0 {
		s.firstIndex, s.lastIndex = entries[0].Index, entries[len(entries)-1].Index
	}
	return entries, nil
}

// loadSegment applies the records of segment i to the entries of the earlier segments.
func (s *Store) loadSegment(i int, entries []replica.Entry) (_ []replica.Entry, err error) {
	name := s.segmentPath(s.segments[i].sequence)
	b, err := s.files.ReadFile(name)
	if err != nil {
		return nil, markFatal(err)
	}
	last := i == len(s.segments)-1
	valid, err := scanRecords(b, last, func(t recordType, payload []byte) (err error) {
		entries, err = applyRecord(entries, t, payload)
		if n := len(entries); err == nil && n > 0 {
			s.segments[i].highestIndex = max(s.segments[i].highestIndex, entries[n-1].Index)
		}
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if last {
		s.lastSegment = b[:valid]
	}
	return entries, nil
}

// applyRecord applies one record of the log to the entries read so far.
func applyRecord(entries []replica.Entry, t recordType, payload []byte) ([]replica.Entry, error) {
	switch t {
	case recordBatch:
		batch := &wire.Batch{}
		if err := proto.Unmarshal(payload, batch); err != nil {
			return nil, errors.Mark(err, ErrCorrupt)
		}
		for _, e := range replica.EntriesFromWire(batch.GetEntries()) {
			if n := len(entries); n > 0 && e.Index != entries[n-1].Index+1 {
				return nil, errors.Wrapf(ErrCorrupt, "entry %d follows entry %d", e.Index, entries[n-1].Index)
			}
			entries = append(entries, e)
		}
		return entries, nil
	case recordTruncate:
		if len(payload) != 8 {
			return nil, errors.Wrap(ErrCorrupt, "truncation")
		}
		from := replica.Index(binary.LittleEndian.Uint64(payload))
		if len(entries) == 0 || from > entries[len(entries)-1].Index {
			return entries, nil
		}
		return entries[:max(from, entries[0].Index)-entries[0].Index], nil
	}
	return nil, errors.Wrapf(ErrCorrupt, "unexpected record type %d in a log segment", t)
}

// checkConsistency checks the log against hard state and snapshot. A term is always stored
// before the entries that have it, but not always before the snapshot. It truncates a log that
// ends before the snapshot or conflicts with its last entry, which is left behind by a crash
// while a snapshot is installed. Recover stores the truncation.
func (s *Store) checkConsistency(h replica.HardState, entries []replica.Entry) ([]replica.Entry, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	first, last := entries[0], entries[len(entries)-1]
	if h.Term < last.Term {
		return nil, errors.Wrapf(ErrCorrupt, "last entry has term %d, hard state has term %d", last.Term, h.Term)
	}
	if first.Index > s.snapshotMeta.Index+1 {
		return nil, errors.Wrapf(ErrCorrupt, "gap between log and snapshot: log begins at entry %d, snapshot ends at entry %d", first.Index, s.snapshotMeta.Index)
	}
	superseded := last.Index < s.snapshotMeta.Index
	if !superseded && s.snapshotMeta.Index >= first.Index {
		superseded = entries[s.snapshotMeta.Index-first.Index].Term != s.snapshotMeta.Term
	}
	if !superseded {
		return entries, nil
	}
	s.lastSegment = append(slices.Clip(s.lastSegment), truncationRecord(first.Index)...)
	s.dropIndexesFrom(first.Index)
	return nil, nil
}
