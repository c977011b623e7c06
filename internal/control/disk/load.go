package disk

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// Load reads everything that is stored. A torn tail is removed.
func (s *Store) Load() (h replica.HardState, entries []replica.Entry, m replica.SnapshotMeta, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shots.Lock()
	defer s.shots.Unlock()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "load %s", s.dir)
		}
	}()
	names, err := s.files.List(s.dir)
	if err != nil {
		// The list of groups names this directory, so it is not new.
		return h, nil, m, errors.Mark(err, ErrCorrupt)
	}
	if names, err = s.clean(names); err != nil {
		return h, nil, m, fatal(err)
	}
	if h, err = s.loadHard(names); err != nil {
		return h, nil, m, err
	}
	if slices.Contains(names, snapshotName) {
		if s.meta, _, err = s.readSnapshot(); err != nil {
			return h, nil, m, err
		}
	}
	if entries, err = s.loadLog(names); err != nil {
		return h, nil, m, err
	}
	entries, err = s.reconcile(h, entries)
	return h, entries, s.meta, err
}

// clean removes temporary files. It also makes durable what is found: the former process
// may have ended after a rename and before the sync of the directory.
func (s *Store) clean(names []string) (kept []string, err error) {
	for _, n := range names {
		if !strings.HasSuffix(n, temporarySuffix) {
			kept = append(kept, n)
			continue
		}
		if err := s.files.Remove(s.path(n)); err != nil {
			return nil, err
		}
	}
	return kept, s.files.SyncDir(s.dir)
}

func (s *Store) loadHard(names []string) (h replica.HardState, err error) {
	if !slices.Contains(names, hardName) {
		return h, errors.Wrap(ErrCorrupt, "no hard state")
	}
	b, err := s.files.ReadFile(s.path(hardName))
	if err != nil {
		return h, fatal(err)
	}
	payload, err := single(b, kindHard)
	if err != nil {
		return h, errors.Wrap(err, hardName)
	}
	message := &wire.Hard{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return h, errors.Mark(err, ErrCorrupt)
	}
	return replica.HardState{Term: replica.Term(message.GetTerm()), Vote: replica.Identity(message.GetVote())}, nil
}

func (s *Store) loadLog(names []string) (entries []replica.Entry, err error) {
	s.segments = nil
	for _, n := range names {
		var sequence uint64
		if !strings.HasPrefix(n, "log-") {
			continue
		}
		if _, err := fmt.Sscanf(n, segmentName, &sequence); err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "file %s", n)
		}
		if c := len(s.segments); c > 0 && sequence != s.segments[c-1].sequence+1 {
			return nil, errors.Wrapf(ErrCorrupt, "segment missing before %s", n)
		}
		s.segments = append(s.segments, segment{sequence: sequence})
	}
	for i := range s.segments {
		if entries, err = s.loadSegment(i, entries); err != nil {
			return nil, err
		}
	}
	if len(entries) > 0 {
		s.first, s.last = entries[0].Index, entries[len(entries)-1].Index
	}
	return entries, nil
}

func (s *Store) loadSegment(i int, entries []replica.Entry) (_ []replica.Entry, err error) {
	name := s.segmentPath(s.segments[i].sequence)
	b, err := s.files.ReadFile(name)
	if err != nil {
		return nil, fatal(err)
	}
	last := i == len(s.segments)-1
	valid, err := scan(b, last, func(k kind, payload []byte) (err error) {
		entries, err = replay(entries, k, payload)
		if n := len(entries); err == nil && n > 0 {
			s.segments[i].highest = max(s.segments[i].highest, entries[n-1].Index)
		}
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if last {
		return entries, fatal(s.reopen(name, b[:valid]))
	}
	return entries, nil
}

// reopen continues the last segment, without a torn tail. The file is written anew: the
// former process may have ended between a write and its sync, or after a failed sync,
// behind which a further sync of the same pages succeeds without storing them.
func (s *Store) reopen(name string, valid []byte) error {
	if err := WriteFileAtomic(s.files, s.dir, filepath.Base(name), valid); err != nil {
		return err
	}
	file, err := s.files.OpenAppend(name)
	if err != nil {
		return err
	}
	s.active, s.size = file, len(valid)
	return nil
}

// replay applies one record to the entries read so far.
func replay(entries []replica.Entry, k kind, payload []byte) ([]replica.Entry, error) {
	switch k {
	case kindBatch:
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
	case kindTruncate:
		if len(payload) != 8 {
			return nil, errors.Wrap(ErrCorrupt, "truncation")
		}
		from := replica.Index(binary.LittleEndian.Uint64(payload))
		if len(entries) == 0 || from > entries[len(entries)-1].Index {
			return entries, nil
		}
		return entries[:max(from, entries[0].Index)-entries[0].Index], nil
	}
	return nil, errors.Wrapf(ErrCorrupt, "record type %d in a log", k)
}

// reconcile checks hard state, log and snapshot against each other. A log that an
// installed snapshot has overtaken is dropped.
func (s *Store) reconcile(h replica.HardState, entries []replica.Entry) ([]replica.Entry, error) {
	if h.Term < s.meta.Term {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot of term %d, hard state of term %d", s.meta.Term, h.Term)
	}
	if len(entries) == 0 {
		return nil, nil
	}
	first, last := entries[0], entries[len(entries)-1]
	if h.Term < last.Term {
		return nil, errors.Wrapf(ErrCorrupt, "entry of term %d, hard state of term %d", last.Term, h.Term)
	}
	if first.Index > s.meta.Index+1 {
		return nil, errors.Wrapf(ErrCorrupt, "log begins at %d, snapshot ends at %d", first.Index, s.meta.Index)
	}
	overtaken := last.Index < s.meta.Index
	if !overtaken && s.meta.Index >= first.Index {
		overtaken = entries[s.meta.Index-first.Index].Term != s.meta.Term
	}
	if !overtaken {
		return entries, nil
	}
	return nil, s.fail(s.truncate(first.Index))
}
