package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/fifo"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
)

// Launcher starts processes that end with this one. The kernel ties the
// parent-death signal to the thread that started the child, so one thread
// starts all of them and lives as long as the launcher.
type Launcher struct {
	folder string
	group  *group.Group
	orders *fifo.Queue[*start]

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// start is one request to the starting thread.
type start struct {
	command *exec.Cmd
	reply   *fifo.Queue[error]
}

// NewLauncher returns a launcher that keeps the logs in folder.
func NewLauncher(folder string) *Launcher {
	l := &Launcher{folder: folder, orders: fifo.New[*start](16)}
	l.group = group.New(context.Background())
	l.group.Go("launcher", l.run)
	return l
}

func (l *Launcher) run(ctx context.Context) error {
	// Never unlocked: the thread ends with this goroutine, and with it the children.
	runtime.LockOSThread()
	for {
		s, err := l.orders.Take(ctx)
		if err != nil {
			return err
		}
		s.reply.Offer(s.command.Start())
	}
}

// Process is one child process.
type Process struct {
	Name string

	command *exec.Cmd
	done    chan struct{}
	// err is how the child ended; it is set before done is closed.
	err error
}

// Start starts a child whose output goes to NAME.log.
func (l *Launcher) Start(name string, args ...string) (p *Process, err error) {
	return l.StartWithEnv(nil, name, args...)
}

// StartWithEnv starts a child with further variables NAME=VALUE in its environment.
func (l *Launcher) StartWithEnv(environment []string, name string, args ...string) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "start %s", name)
		}
	}()
	log, err := os.OpenFile(filepath.Join(l.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(args[0], args[1:]...)
	command.Dir = l.folder
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("launcher is closed")
	}
	s := &start{command: command, reply: fifo.New[error](1)}
	if err = l.orders.Put(context.Background(), s); err != nil {
		return nil, err
	}
	if err, _ = s.reply.Take(context.Background()); err != nil {
		return nil, err
	}
	p = &Process{Name: name, command: command, done: make(chan struct{})}
	l.processes = append(l.processes, p)
	l.group.Go(name, p.run)
	return p, nil
}

// Close kills all children and waits for them.
func (l *Launcher) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, p := range l.processes {
		p.Kill()
	}
	l.mu.Unlock()
	return l.group.Stop()
}

// run waits for the end of the child.
func (p *Process) run(context.Context) error {
	p.err = p.command.Wait()
	close(p.done)
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends the child at once, as a crash would.
func (p *Process) Kill() { _ = p.command.Process.Kill() }

// Signal sends a signal to the child.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Done is closed once the child has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the child ended; nil means that it ended without a failure.
// It may be called once Done is closed.
func (p *Process) Err() error { return p.err }

// Alive tells whether the child still runs.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
