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
			return &watchCommand{remote: remote{out: out}}
		},
	})
}

// silenceTimeout ends a stream that brings nothing; instances send a comment every 5 s.
const silenceTimeout = 12 * time.Second

type watchCommand struct {
	remote
	Until uint64 `long:"until" value-name:"REV" description:"end once this revision is in force"`
}

// Execute follows the events until it is interrupted. It fails when no address
// has answered for the timeout.
func (c *watchCommand) Execute([]string) error {
	l, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := &follower{watchCommand: c, client: l, seen: l.timer.Now()}
	for ctx.Err() == nil && !f.done {
		err = f.follow(ctx)
		if err != nil && l.timer.Now().Sub(f.seen) > time.Duration(c.Timeout)*time.Millisecond {
			return exit(ExitUnavailable, err)
		}
		l.next = (l.next + 1) % len(l.addresses)
		if !f.done && timer.Sleep(ctx, l.timer, roundPause) != nil {
			break
		}
	}
	return f.refused
}

// follower reads one stream after the other.
type follower struct {
	*watchCommand
	client  *client
	seen    timer.Instant
	last    string
	done    bool
	refused error
}

// follow reads the stream of one instance to its end.
func (f *follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := f.client.timer.AfterFunc(silenceTimeout, cancel)
	defer func() { stop() }()
	r, err := f.client.send(ctx, request{
		method: http.MethodGet, path: "/v1/operator/watch", header: map[string]string{"Accept": "text/event-stream"},
	})
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return f.refuse(r)
	}
	lines := bufio.NewScanner(r.Body)
	var event string
	for !f.done && lines.Scan() {
		stop()
		stop = f.client.timer.AfterFunc(silenceTimeout, cancel)
		f.seen = f.client.timer.Now()
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && event == "revision" {
			if err = f.event(data); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(lines.Err(), "watch")
}

// refuse ends the command unless another instance or a later attempt may help.
func (f *follower) refuse(r *http.Response) error {
	body, _ := io.ReadAll(r.Body)
	a := &reply{status: r.StatusCode, header: r.Header, body: body}
	if !a.again() {
		f.done, f.refused = true, a.err()
	}
	return a.err()
}

// event prints a change; a stream after a reconnection begins with what is known.
func (f *follower) event(data string) error {
	var e struct {
		Revision uint64 `json:"revision"`
		InForce  uint64 `json:"inforce"`
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return errors.Wrap(err, "read the event")
	}
	f.done = f.Until > 0 && e.InForce >= f.Until
	line := data
	if !f.JSON {
		line = fmt.Sprintf("revision %d, in force %d", e.Revision, e.InForce)
	}
	if line == f.last {
		return nil
	}
	f.last = line
	return f.print(line)
}
