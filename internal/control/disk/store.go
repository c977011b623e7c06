package disk

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

const (
	hardStateFile     = "hard"
	snapshotFile      = "snapshot"
	segmentPrefix     = "log-"
	segmentFileFormat = segmentPrefix + "%016x" // formats the sequence number of a segment
	// maxSegmentBytes is the size at which a new segment is started. It is small enough
	// to read a whole segment into memory when the log is loaded.
	maxSegmentBytes = 8 << 20
)

// Store holds the log, hard state and snapshot of one group. It implements replica.Store.
type Store struct {
	directory    *Directory
	files        FileSystem
	dir          string
	identity     replica.Identity
	reserveBytes uint64
	segmentBytes int // size at which a new segment is started; maxSegmentBytes unless SetSegmentBytes was called

	newGroup  string // name of the group if Recover is to create it
	recovered bool   // Recover has succeeded; guarded by logMu

	logMu       sync.Mutex    // guards the log
	active      File          // the last segment, open for appending; nil while there is none
	segments    []segment     // ascending; the last is active
	activeBytes int           // size of the last segment
	firstIndex  replica.Index // 0 while the log is empty
	lastIndex   replica.Index
	lastSegment []byte // content that Load found in the last segment, until Recover has rewritten it

	hardMu       mutex              // held while the hard state is written
	hardExists   atomic.Bool        // of a new group, a hard state has been written
	adopted      *replica.HardState // hard state that Load derived and Recover stores; nil if there is none
	snapshotMu   sync.Mutex         // guards snapshotMeta; held while the snapshot is read or written
	snapshotMeta replica.SnapshotMeta

	errorMu    sync.Mutex // guards firstError
	firstError error      // error of the first failed operation
}

// segment is one file of the log.
type segment struct {
	sequence     uint64        // number in the file name, one more than that of the segment before
	highestIndex replica.Index // the highest index ever written to it
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) segmentPath(sequence uint64) string {
	return s.path(fmt.Sprintf(segmentFileFormat, sequence))
}

// priorError returns the error of the first failed operation. Nothing is written after
// a failure.
func (s *Store) priorError() error {
	s.errorMu.Lock()
	defer s.errorMu.Unlock()
	return s.firstError
}

// setError stores the error of a failed operation, unless one is stored already, and
// returns the stored one. It returns nil if err is nil.
func (s *Store) setError(err error) error {
	if err == nil {
		return nil
	}
	s.errorMu.Lock()
	defer s.errorMu.Unlock()
	if s.firstError == nil {
		s.firstError = markFatal(err)
	}
	return s.firstError
}

// checkRecovered returns the error of the first failed operation, or an error if the log may not
// be changed yet.
func (s *Store) checkRecovered() error {
	if err := s.priorError(); err != nil || s.recovered {
		return err
	}
	return s.setError(errors.New("the log is changed before its recovery"))
}

// CheckSpace returns ErrStorageFull if storing that many bytes would use the reserve, or if its call was
// interrupted: nothing was written, so that is no failure of the disk.
func (s *Store) CheckSpace(bytes int) error {
	free, err := s.files.FreeBytes(s.dir)
	if errors.Is(err, syscall.EINTR) {
		return errors.Mark(errors.Wrap(err, "free space"), ErrStorageFull)
	}
	if err != nil {
		return s.setError(err)
	}
	if free < s.reserveBytes+uint64(bytes) {
		return errors.Wrapf(ErrStorageFull, "%d bytes free, %d reserved", free, s.reserveBytes)
	}
	return nil
}

// SaveHardState stores term and vote.
func (s *Store) SaveHardState(h replica.HardState) error {
	s.hardMu.Lock()
	defer s.hardMu.Unlock()
	if err := s.priorError(); err != nil {
		return err
	}
	record, err := hardStateRecord(h)
	if err != nil {
		return s.setError(err)
	}
	s.adopted = nil // h is newer
	if err := WriteFileAtomic(s.files, s.dir, hardStateFile, record); err != nil {
		return s.setError(err)
	}
	s.hardExists.Store(true)
	return nil
}

func hardStateRecord(h replica.HardState) ([]byte, error) {
	b, err := proto.Marshal(&wire.Hard{Term: uint64(h.Term), Vote: string(h.Vote)})
	return encodeRecord(recordHardState, b), err
}

// Append adds entries that follow the last one, with a single write and sync.
func (s *Store) Append(entries []replica.Entry) error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if err := s.checkRecovered(); err != nil || len(entries) == 0 {
		return err
	}
	if s.lastIndex != 0 && entries[0].Index != s.lastIndex+1 {
		return s.setError(errors.Newf("entry %d appended after %d", entries[0].Index, s.lastIndex))
	}
	b, err := proto.Marshal(&wire.Batch{Entries: replica.EntriesToWire(entries)})
	if err != nil {
		return s.setError(err)
	}
	if len(b) > maxPayloadBytes {
		return s.setError(errors.Newf("batch of %d bytes exceeds the maximum size of a record", len(b)))
	}
	if err := s.appendRecord(encodeRecord(recordBatch, b)); err != nil {
		return s.setError(err)
	}
	if s.firstIndex == 0 {
		s.firstIndex = entries[0].Index
	}
	s.lastIndex = entries[len(entries)-1].Index
	active := &s.segments[len(s.segments)-1]
	active.highestIndex = max(active.highestIndex, s.lastIndex)
	return nil
}

// Truncate removes all entries with index from or higher. It appends a truncation
// record to the log, which needs a single write and sync.
func (s *Store) Truncate(from replica.Index) error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if err := s.checkRecovered(); err != nil || s.lastIndex == 0 || from > s.lastIndex {
		return err
	}
	if err := s.appendRecord(truncationRecord(from)); err != nil {
		return s.setError(err)
	}
	s.dropIndexesFrom(from)
	return nil
}

func truncationRecord(from replica.Index) []byte {
	return encodeRecord(recordTruncate, binary.LittleEndian.AppendUint64(nil, uint64(from)))
}

// dropIndexesFrom updates firstIndex and lastIndex after a truncation.
func (s *Store) dropIndexesFrom(from replica.Index) {
	s.lastIndex = min(s.lastIndex, from-1)
	if s.lastIndex < s.firstIndex {
		s.firstIndex, s.lastIndex = 0, 0
	}
}

// appendRecord appends a record to the active segment and syncs it. It starts a new segment if
// there is none or it is full, and syncs its name at the same time: until both are durable the
// segment is the last one, whose content may be cut off.
func (s *Store) appendRecord(record []byte) error {
	started := s.active == nil || s.activeBytes >= s.segmentBytes
	if started {
		if err := s.createSegment(); err != nil {
			return err
		}
	}
	if _, err := s.active.Write(record); err != nil {
		return err
	}
	s.activeBytes += len(record)
	if started {
		return s.syncNewSegment()
	}
	return s.active.Sync()
}

// syncNewSegment makes name and content of the active segment durable.
func (s *Store) syncNewSegment() error {
	return s.directory.inParallel(s.active.Sync, func() error { return s.files.SyncDir(s.dir) })
}

// createSegment creates a new active segment, which is not synced.
func (s *Store) createSegment() error {
	next := uint64(1)
	if n := len(s.segments); n > 0 {
		next = s.segments[n-1].sequence + 1
	}
	file, err := s.files.Create(s.segmentPath(next))
	if err != nil {
		return err
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			return errors.CombineErrors(err, file.Close())
		}
	}
	s.active, s.activeBytes = file, 0
	s.segments = append(s.segments, segment{sequence: next})
	return nil
}

// Compact deletes the segments whose entries all have an index of at most upTo. It
// starts with the oldest and syncs each removal, so that a crash leaves no gap in the log.
func (s *Store) Compact(upTo replica.Index) error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if err := s.checkRecovered(); err != nil {
		return err
	}
	return s.setError(s.removeSegments(upTo))
}

// removeSegments deletes segments for Compact. If all entries may be deleted, it starts a
// new segment first, since the active one is never deleted.
func (s *Store) removeSegments(upTo replica.Index) error {
	removeAll := s.lastIndex <= upTo && s.activeBytes > 0
	if removeAll {
		if err := s.createSegment(); err != nil {
			return err
		}
		if err := s.syncNewSegment(); err != nil {
			return err
		}
	}
	for len(s.segments) > 1 && s.segments[0].highestIndex <= upTo {
		if err := s.files.Remove(s.segmentPath(s.segments[0].sequence)); err != nil {
			return err
		}
		// Of several removals that are not synced, a loss of power may keep any.
		if err := s.files.SyncDir(s.dir); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	// A segment is kept if it held higher entries before a truncation. Then the log still begins
	// before upTo, and a later reset has to truncate it.
	if removeAll && len(s.segments) == 1 {
		s.firstIndex, s.lastIndex = 0, 0
	}
	return nil
}

// Close closes the active segment. Everything written before is already durable.
func (s *Store) Close() error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if s.active == nil {
		return nil
	}
	err := s.active.Close()
	s.active = nil
	return err
}
