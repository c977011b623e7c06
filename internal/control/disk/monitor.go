package disk

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// slowSync is how long a sync may take without a warning. Elections, repairs and changes wait
	// for several syncs, and have seconds.
	slowSync = 250 * time.Millisecond
	// hungSync is how long a sync may go on before a warning that it has not ended.
	hungSync = 2 * time.Second
	// warningInterval bounds the warnings about slow syncs.
	warningInterval = time.Second
)

// monitored is a file system that logs syncs that take long.
type monitored struct {
	FileSystem
	timer timer.Service
	log   *zap.Logger

	mu       sync.Mutex
	warnedAt timer.Instant // when the last warning was logged; 0 if none was
	skipped  int           // slow syncs since the last warning
}

// Monitor returns a file system that makes all operations on f and logs syncs that take long.
func Monitor(f FileSystem, t timer.Service, log *zap.Logger) FileSystem {
	return &monitored{FileSystem: f, timer: t, log: log}
}

// Create creates a file, or truncates it if it exists.
func (m *monitored) Create(name string) (File, error) { return m.watch(name, m.FileSystem.Create) }

// OpenAppend opens an existing file for appending.
func (m *monitored) OpenAppend(name string) (File, error) {
	return m.watch(name, m.FileSystem.OpenAppend)
}

func (m *monitored) watch(name string, open func(name string) (File, error)) (File, error) {
	file, err := open(name)
	if err != nil {
		return nil, err
	}
	return &monitoredFile{File: file, name: name, monitored: m}, nil
}

// SyncDir makes creations, renames and removals in a directory durable.
func (m *monitored) SyncDir(dir string) error {
	return m.sync(dir, func() error { return m.FileSystem.SyncDir(dir) })
}

// sync makes a sync and logs if it takes long.
func (m *monitored) sync(name string, run func() error) error {
	start := m.timer.Now()
	stop := m.timer.AfterFunc(hungSync, func() { m.log.Warn("sync has not ended", zap.String("name", name)) })
	err := run()
	stop()
	if took := m.timer.Now().Sub(start); took >= slowSync {
		m.warn(name, took)
	}
	return err
}

// warn logs a slow sync, or counts it if a warning was logged lately.
func (m *monitored) warn(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if m.warnedAt != 0 && now.Sub(m.warnedAt) < warningInterval {
		m.skipped++
		return
	}
	m.log.Warn("slow sync", zap.String("name", name), zap.Duration("took", took), zap.Int("others", m.skipped))
	m.warnedAt, m.skipped = now, 0
}

// monitoredFile is an open file of a monitored file system.
type monitoredFile struct {
	File
	name      string
	monitored *monitored
}

// Sync makes everything written to the file durable.
func (f *monitoredFile) Sync() error { return f.monitored.sync(f.name, f.File.Sync) }
