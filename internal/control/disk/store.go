package disk

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

const (
	hardName     = "hard"
	snapshotName = "snapshot"
	segmentName  = "log-%016x"
	// segmentSize is small enough to read a segment whole when it is loaded.
	segmentSize = 8 << 20
)

// Store keeps one group. It implements replica.Store.
type Store struct {
	files   FileSystem
	dir     string
	reserve uint64

	mu       sync.Mutex // the log
	active   File
	segments []segment // ascending; the last is active
	size     int
	first    replica.Index // 0 while the log is empty
	last     replica.Index

	state sync.Mutex // hard state, held for the time of one write
	shots sync.Mutex // snapshots, held for the time of one write
	meta  replica.SnapshotMeta

	failure sync.Mutex
	broken  error
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	highest  replica.Index // the highest index ever written to it
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) segmentPath(sequence uint64) string {
	return s.path(fmt.Sprintf(segmentName, sequence))
}

// failed returns the first failure; nothing is written after one.
func (s *Store) failed() error {
	s.failure.Lock()
	defer s.failure.Unlock()
	return s.broken
}

// fail records a failed write or sync.
func (s *Store) fail(err error) error {
	if err == nil {
		return nil
	}
	s.failure.Lock()
	defer s.failure.Unlock()
	if s.broken == nil {
		s.broken = fatal(err)
	}
	return s.broken
}

// CheckSpace returns ErrFull if storing that many bytes would use the space reserve.
func (s *Store) CheckSpace(bytes int) error {
	free, err := s.files.FreeBytes(s.dir)
	if err != nil {
		return s.fail(err)
	}
	if free < s.reserve+uint64(bytes) {
		return errors.Wrapf(ErrFull, "%d bytes free, %d reserved", free, s.reserve)
	}
	return nil
}

// SaveHardState stores term and vote.
func (s *Store) SaveHardState(h replica.HardState) error {
	s.state.Lock()
	defer s.state.Unlock()
	if err := s.failed(); err != nil {
		return err
	}
	b, err := proto.Marshal(&wire.Hard{Term: uint64(h.Term), Vote: string(h.Vote)})
	if err != nil {
		return s.fail(err)
	}
	return s.fail(WriteFileAtomic(s.files, s.dir, hardName, encode(kindHard, b)))
}

// Append adds entries that follow the last one, with one sync.
func (s *Store) Append(entries []replica.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failed(); err != nil || len(entries) == 0 {
		return err
	}
	if s.last != 0 && entries[0].Index != s.last+1 {
		return s.fail(errors.Newf("entry %d appended after %d", entries[0].Index, s.last))
	}
	b, err := proto.Marshal(&wire.Batch{Entries: replica.EntriesToWire(entries)})
	if err != nil {
		return s.fail(err)
	}
	if len(b) > maxPayload {
		return s.fail(errors.Newf("batch of %d bytes", len(b)))
	}
	if err := s.write(encode(kindBatch, b)); err != nil {
		return s.fail(err)
	}
	if s.first == 0 {
		s.first = entries[0].Index
	}
	s.last = entries[len(entries)-1].Index
	active := &s.segments[len(s.segments)-1]
	active.highest = max(active.highest, s.last)
	return nil
}

// Truncate removes the entries from index from on. It is recorded like an entry, so
// that it needs no more than one write and sync.
func (s *Store) Truncate(from replica.Index) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failed(); err != nil || s.last == 0 || from > s.last {
		return err
	}
	return s.fail(s.truncate(from))
}

func (s *Store) truncate(from replica.Index) error {
	if err := s.write(encode(kindTruncate, binary.LittleEndian.AppendUint64(nil, uint64(from)))); err != nil {
		return err
	}
	s.cut(from)
	return nil
}

// cut follows a truncation in memory.
func (s *Store) cut(from replica.Index) {
	s.last = min(s.last, from-1)
	if s.last < s.first {
		s.first, s.last = 0, 0
	}
}

// write adds a record to the active segment and syncs it.
func (s *Store) write(record []byte) error {
	if s.active == nil || s.size >= segmentSize {
		if err := s.roll(); err != nil {
			return err
		}
	}
	if _, err := s.active.Write(record); err != nil {
		return err
	}
	s.size += len(record)
	return s.active.Sync()
}

// roll starts a new segment. Its name is durable before anything is written to it.
func (s *Store) roll() error {
	next := uint64(1)
	if n := len(s.segments); n > 0 {
		next = s.segments[n-1].sequence + 1
	}
	file, err := s.files.Create(s.segmentPath(next))
	if err != nil {
		return err
	}
	if err := errors.CombineErrors(file.Sync(), s.files.SyncDir(s.dir)); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			return errors.CombineErrors(err, file.Close())
		}
	}
	s.active, s.size = file, 0
	s.segments = append(s.segments, segment{sequence: next})
	return nil
}

// Compact deletes the segments that hold no entry behind upTo, oldest first, so
// that a crash in between leaves no gap.
func (s *Store) Compact(upTo replica.Index) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failed(); err != nil {
		return err
	}
	return s.fail(s.compact(upTo))
}

func (s *Store) compact(upTo replica.Index) error {
	if s.last <= upTo && s.size > 0 {
		if err := s.roll(); err != nil {
			return err
		}
		s.first, s.last = 0, 0
	}
	removed := 0
	for removed < len(s.segments)-1 && s.segments[removed].highest <= upTo {
		if err := s.files.Remove(s.segmentPath(s.segments[removed].sequence)); err != nil {
			return err
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	s.segments = s.segments[removed:]
	return s.files.SyncDir(s.dir)
}

// Close releases the files. What was written before is durable already.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return nil
	}
	err := s.active.Close()
	s.active = nil
	return err
}
