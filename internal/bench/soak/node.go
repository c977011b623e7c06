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

// node is one instance: the real program as a process of its own.
type node struct {
	soak   *Soak
	name   string
	ip     string
	zone   string
	folder string // of the replica, empty without a disk

	mu      sync.Mutex
	process *cluster.Process
	ends    int // how often it was asked or made to end
	busy    bool
}

// take reserves the node for one fault; release ends that.
func (n *node) take() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// start starts the process.
func (n *node) start(first bool) (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", n.name) }()
	path := filepath.Join(n.soak.folder, n.name+".settings")
	if n.folder != "" {
		if err := os.MkdirAll(n.folder, 0o700); err != nil {
			return err
		}
	}
	d := n.soak.options.Dialect
	text := d.SettingsFile(Settings{
		Name: n.name, IP: n.ip, Zone: n.zone, SeedAddresses: n.soak.seeds, InitialStart: first, DataDirectory: n.folder, GracePeriod: grace, RevocationDelay: revoke,
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

func (n *node) current() *cluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// kill ends the process at once and waits for that.
func (n *node) kill() {
	p := n.current()
	n.ended()
	p.Kill()
	<-p.Done()
}

// terminate asks the process to end, and tells whether it does so in time and cleanly.
func (n *node) terminate(t timer.Service) error {
	p := n.current()
	n.ended()
	p.Signal(syscall.SIGTERM)
	late := make(chan struct{})
	defer t.AfterFunc(grace+time.Second, func() { close(late) })()
	select {
	case <-p.Done():
		return errors.Wrap(p.Err(), "end after SIGTERM")
	case <-late:
		p.Kill()
		<-p.Done()
		return errors.Newf("still running %s after SIGTERM", grace+time.Second)
	}
}

func (n *node) ended() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends++
}

// alone tells whether the process has ended by itself.
func (n *node) alone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.busy && !n.process.Alive()
}
