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

// Launcher starts child processes that are killed when this process ends. The kernel
// sends the parent-death signal when the thread that started the child exits, so a
// single thread starts all children and lives as long as the launcher.
type Launcher struct {
	directory string
	group     *group.Group
	requests  *fifo.Queue[*startRequest]

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// startRequest asks the launcher's thread to start a command.
type startRequest struct {
	command *exec.Cmd
	reply   *fifo.Queue[error]
}

// NewLauncher returns a launcher that writes logs to directory, which is also the working
// directory of the children.
func NewLauncher(directory string) *Launcher {
	l := &Launcher{directory: directory, requests: fifo.New[*startRequest](16)}
	l.group = group.New(context.Background())
	l.group.Go("launcher", l.startProcesses)
	return l
}

// startProcesses starts the requested commands, all from one thread.
func (l *Launcher) startProcesses(ctx context.Context) error {
	// Never unlocked: the thread exits with this goroutine, which kills the children.
	runtime.LockOSThread()
	for {
		request, err := l.requests.Take(ctx)
		if err != nil {
			return err
		}
		request.reply.Offer(request.command.Start())
	}
}

// Process is a child process.
type Process struct {
	Name string

	command *exec.Cmd
	done    chan struct{}
	// err is the result of waiting for the child; it is set before done is closed.
	err error
}

// Start starts a child process that writes its output to NAME.log.
func (l *Launcher) Start(name string, args ...string) (p *Process, err error) {
	return l.StartWithEnv(nil, name, args...)
}

// StartWithEnv is like Start, with additional environment variables of the form NAME=VALUE.
func (l *Launcher) StartWithEnv(environment []string, name string, args ...string) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "start %s", name)
		}
	}()
	log, err := os.OpenFile(filepath.Join(l.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(args[0], args[1:]...)
	command.Dir = l.directory
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("launcher is closed")
	}
	request := &startRequest{command: command, reply: fifo.New[error](1)}
	if err = l.requests.Put(context.Background(), request); err != nil {
		return nil, err
	}
	if err, _ = request.reply.Take(context.Background()); err != nil {
		return nil, err
	}
	p = &Process{Name: name, command: command, done: make(chan struct{})}
	l.processes = append(l.processes, p)
	l.group.Go(name, p.wait)
	return p, nil
}

// Close kills all children and waits for them to exit.
func (l *Launcher) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, p := range l.processes {
		p.Kill()
	}
	l.mu.Unlock()
	return l.group.Stop()
}

// wait waits for the child to exit.
func (p *Process) wait(context.Context) error {
	p.err = p.command.Wait()
	close(p.done)
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill kills the child with SIGKILL, as in a crash.
func (p *Process) Kill() { _ = p.command.Process.Kill() }

// Signal sends a signal to the child.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Done returns a channel that is closed once the child has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns nil if the child exited with status 0. It may only be called after Done is
// closed.
func (p *Process) Err() error { return p.err }

// Alive reports whether the child is running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
