package outage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// SlowSyncVariable is the environment variable of an instance with a slow disk.
const SlowSyncVariable = "BENCH_SLOW_SYNC"

const (
	// longSyncs is how many syncs there are for each one that lasts longSyncFactor times as long.
	longSyncs      = 20
	longSyncFactor = 3
)

// SlowSyncs describes the syncs of a slow disk.
type SlowSyncs struct {
	// Time is the longest time of a usual sync, the shortest is half of it; syncs are not slowed down
	// if it is 0. From is when syncs become slow.
	Time, From time.Duration
	Seed       uint64
}

// variable returns the environment variable for a process that starts after a time.
func (s SlowSyncs) variable(after time.Duration) string {
	return fmt.Sprintf("%s=%d %d %d", SlowSyncVariable, int64(s.Time), int64(max(s.From-after, 0)), s.Seed)
}

// slowSyncs returns what the environment of this process asks for.
func slowSyncs() (s SlowSyncs, err error) {
	text := os.Getenv(SlowSyncVariable)
	if text == "" {
		return s, nil
	}
	_, err = fmt.Sscan(text, &s.Time, &s.From, &s.Seed)
	return s, errors.Wrap(err, SlowSyncVariable)
}

// slowFiles is a file system whose syncs last long.
type slowFiles struct {
	disk.FileSystem
	time  time.Duration
	from  timer.Instant
	timer timer.Service

	mu     sync.Mutex
	random *rand.Rand
}

// SlowFiles returns a file system that makes all operations on f and whose syncs last as s describes.
func SlowFiles(f disk.FileSystem, s SlowSyncs, t timer.Service) disk.FileSystem {
	return &slowFiles{FileSystem: f, time: s.Time, from: t.Now().Add(s.From), timer: t, random: rand.New(rand.NewPCG(s.Seed, 5))}
}

// Create creates a file, or truncates it if it exists.
func (s *slowFiles) Create(name string) (disk.File, error) { return s.open(name, s.FileSystem.Create) }

// OpenAppend opens an existing file for appending.
func (s *slowFiles) OpenAppend(name string) (disk.File, error) {
	return s.open(name, s.FileSystem.OpenAppend)
}

func (s *slowFiles) open(name string, open func(name string) (disk.File, error)) (disk.File, error) {
	f, err := open(name)
	if err != nil {
		return nil, err
	}
	return &slowFile{File: f, files: s}, nil
}

// SyncDir makes creations, renames and removals in a directory durable.
func (s *slowFiles) SyncDir(dir string) error {
	if err := s.wait(); err != nil {
		return err
	}
	return s.FileSystem.SyncDir(dir)
}

// wait waits for the time that a sync lasts.
func (s *slowFiles) wait() error {
	if s.timer.Now().Before(s.from) {
		return nil
	}
	return timer.Sleep(context.Background(), s.timer, s.draw())
}

// draw draws how long a sync lasts.
func (s *slowFiles) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(longSyncs) == 0 {
		return longSyncFactor * s.time
	}
	return s.time/2 + time.Duration(s.random.Int64N(int64(s.time/2)+1))
}

// slowFile is an open file of a file system with slow syncs.
type slowFile struct {
	disk.File
	files *slowFiles
}

// Sync makes everything written to the file durable.
func (f *slowFile) Sync() error {
	if err := f.files.wait(); err != nil {
		return err
	}
	return f.File.Sync()
}
