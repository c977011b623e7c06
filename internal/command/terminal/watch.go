package terminal

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name:  "watch",
		short: "Follow accepted revisions and those in force",
		long:  "Prints a line whenever a revision is accepted or comes into force, until it is interrupted or the revision of --until is in force. It connects again when an instance goes away.",
		factory: func(out io.Writer) flags.Commander {
			return &watchCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

// streamIdleTimeout ends a stream on which nothing arrives. Instances send a comment every 5 s.
const streamIdleTimeout = 12 * time.Second

type watchCommand struct {
	remoteCommand
	Until uint64 `long:"until" value-name:"REV" description:"end once this revision is in force"`
}

// Execute prints the events until it is interrupted or reaches the revision of --until. It
// fails once nothing has been received from any address for the timeout of the command.
func (c *watchCommand) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	w := &watcher{watchCommand: c, client: cl, lastReceived: cl.timer.Now()}
	for ctx.Err() == nil && !w.done {
		err = w.readStream(ctx)
		if err != nil && cl.timer.Now().Sub(w.lastReceived) > time.Duration(c.Timeout)*time.Millisecond {
			return withExitCode(ExitUnavailable, err)
		}
		cl.current = (cl.current + 1) % len(cl.addresses)
		if !w.done && timer.Sleep(ctx, cl.timer, retryDelay) != nil {
			break
		}
	}
	return w.fatalErr
}

// watcher reads the event streams of the addresses one after the other.
type watcher struct {
	*watchCommand
	client       *client
	lastReceived timer.Instant // of any line of a stream
	lastLine     string        // printed last
	done         bool
	fatalErr     error // ends the command; set together with done
}

// readStream reads the event stream of one instance until it ends.
func (w *watcher) readStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := w.client.timer.AfterFunc(streamIdleTimeout, cancel)
	defer func() { stop() }()
	r, err := w.client.send(ctx, request{
		method: http.MethodGet, path: "/v1/operator/watch", header: map[string]string{"Accept": "text/event-stream"},
	})
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return w.handleErrorStatus(r)
	}
	lines := bufio.NewScanner(r.Body)
	var event string // the type of the current event
	for !w.done && lines.Scan() {
		// Each line restarts the idle timeout.
		stop()
		stop = w.client.timer.AfterFunc(streamIdleTimeout, cancel)
		w.lastReceived = w.client.timer.Now()
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && event == "revision" {
			if err = w.printRevision(data); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(lines.Err(), "watch")
}

// handleErrorStatus returns the error of a response other than 200. It ends the command
// unless another instance or a later attempt may succeed.
func (w *watcher) handleErrorStatus(r *http.Response) error {
	body, _ := io.ReadAll(r.Body)
	a := &reply{status: r.StatusCode, header: r.Header, body: body}
	if !a.retryable() {
		w.done, w.fatalErr = true, a.asError()
	}
	return a.asError()
}

// printRevision prints an event. A new stream begins with the current state, so an event
// equal to the last one printed is skipped.
func (w *watcher) printRevision(data string) error {
	var e struct {
		Revision uint64 `json:"revision"`
		InForce  uint64 `json:"inforce"`
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return errors.Wrap(err, "read the event")
	}
	w.done = w.Until > 0 && e.InForce >= w.Until
	line := data
	if !w.JSON {
		line = fmt.Sprintf("revision %d, in force %d", e.Revision, e.InForce)
	}
	if line == w.lastLine {
		return nil
	}
	w.lastLine = line
	return w.printLine(line)
}
