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

// node is one instance, which runs as a process of its own.
type node struct {
	soak          *Soak
	name          string
	ip            string
	zone          string
	dataDirectory string // of the replica of the control group; empty if the instance has none

	mu       sync.Mutex
	process  *cluster.Process
	stops    int  // how often the process was killed or terminated
	reserved bool // for a fault
}

// reserve reserves the node for one fault. It returns false if the node is reserved already.
func (n *node) reserve() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reserved {
		return false
	}
	n.reserved = true
	return true
}

// release ends the reservation.
func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reserved = false
}

// start writes the settings file and starts the process. initial is set when the whole deployment
// starts for the first time.
func (n *node) start(initial bool) (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", n.name) }()
	path := filepath.Join(n.soak.directory, n.name+".settings")
	if n.dataDirectory != "" {
		if err := os.MkdirAll(n.dataDirectory, 0o700); err != nil {
			return err
		}
	}
	d := n.soak.options.Dialect
	text := d.SettingsFile(Settings{
		Name: n.name, IP: n.ip, Zone: n.zone, SeedAddresses: n.soak.seedAddresses, InitialStart: initial, DataDirectory: n.dataDirectory, GracePeriod: gracePeriod, RevocationDelay: revocationDelay,
	})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p, err := n.soak.launcher.StartWithEnv([]string{d.EnvironmentVariable(path)}, n.name, n.soak.options.Binary, "gateway")
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	return nil
}

// currentProcess returns the process that was started last.
func (n *node) currentProcess() *cluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// kill kills the process and waits until it has ended.
func (n *node) kill() {
	p := n.currentProcess()
	n.countStop()
	p.Kill()
	<-p.Done()
}

// terminate sends SIGTERM to the process. It returns an error if the process fails or does not end
// within the grace period.
func (n *node) terminate(t timer.Service) error {
	p := n.currentProcess()
	n.countStop()
	p.Signal(syscall.SIGTERM)
	expired := make(chan struct{})
	defer t.AfterFunc(gracePeriod+time.Second, func() { close(expired) })()
	select {
	case <-p.Done():
		return errors.Wrap(p.Err(), "end after SIGTERM")
	case <-expired:
		p.Kill()
		<-p.Done()
		return errors.Newf("still running %s after SIGTERM", gracePeriod+time.Second)
	}
}

// countStop counts a kill or termination.
func (n *node) countStop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops++
}

// exitedUnexpectedly reports whether the process has ended although no fault is in progress on it.
func (n *node) exitedUnexpectedly() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.reserved && !n.process.Alive()
}
