package soak

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// instance is an instance under test, which runs as a process of its own.
type instance struct {
	soak          *Soak
	name          string
	ip            string
	zone          string
	dataDirectory string // of the replica of the control group; empty if the instance has none

	mu       sync.Mutex
	process  *cluster.Process
	stops    int  // how often the process was killed or terminated
	reserved bool // for a fault in progress
	// reservationChanged is when reserved was last set or cleared.
	reservationChanged timer.Instant
}

// reserve reserves the instance for one fault. It returns false if it is reserved already.
func (i *instance) reserve() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reserved {
		return false
	}
	i.reserved, i.reservationChanged = true, i.soak.options.Timer.Now()
	return true
}

// release ends the reservation.
func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reserved, i.reservationChanged = false, i.soak.options.Timer.Now()
}

// start writes the settings file and starts the process. initial is set when the whole deployment
// starts for the first time.
func (i *instance) start(initial bool) (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", i.name) }()
	path := filepath.Join(i.soak.directory, i.name+".settings")
	if i.dataDirectory != "" {
		if err := os.MkdirAll(i.dataDirectory, 0o700); err != nil {
			return err
		}
	}
	d := i.soak.options.Dialect
	text := d.SettingsFile(Settings{
		Name: i.name, IP: i.ip, Zone: i.zone, SeedAddresses: i.soak.seedAddresses, InitialStart: initial, Losses: 1, DataDirectory: i.dataDirectory, GracePeriod: GracePeriod, RevocationDelay: RevocationDelay,
	})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p, err := i.soak.launcher.StartWithEnv([]string{d.EnvironmentVariable(path)}, i.name, i.soak.options.Binary, "gateway")
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = p
	return nil
}

// currentProcess returns the process that was started last.
func (i *instance) currentProcess() *cluster.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// kill kills the process and waits until it has ended.
func (i *instance) kill() {
	p := i.currentProcess()
	i.countStop()
	p.Kill()
	<-p.Done()
}

// terminate sends SIGTERM to the process. It returns an error if the process fails or does not end
// within the grace period.
func (i *instance) terminate(t timer.Service) error {
	p := i.currentProcess()
	i.countStop()
	p.Signal(syscall.SIGTERM)
	expired := make(chan struct{})
	defer t.AfterFunc(GracePeriod+time.Second, func() { close(expired) })()
	select {
	case <-p.Done():
		return errors.Wrap(p.Err(), "end after SIGTERM")
	case <-expired:
		p.Kill()
		<-p.Done()
		return errors.Newf("still running %s after SIGTERM", GracePeriod+time.Second)
	}
}

// countStop counts a kill or termination.
func (i *instance) countStop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stops++
}

// exitedUnexpectedly reports whether the process has ended although no fault is in progress on it.
func (i *instance) exitedUnexpectedly() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.reserved && !i.process.Alive()
}
