package terminal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// attemptTimeout bounds one request, so that a silent instance leaves time to
	// ask the next; it is above the 2.4 s that an election may take.
	attemptTimeout = 3 * time.Second
	// roundPause is waited after all addresses have failed.
	roundPause = 200 * time.Millisecond
)

// remote holds the options of every command that talks to an instance.
type remote struct {
	Address []string       `long:"address" value-name:"URL" default:"http://127.0.0.1:8080" description:"address of an instance; may be repeated, the next is tried when one cannot be reached"`
	Token   flags.Filename `long:"token-file" value-name:"FILE" required:"true" description:"file that holds the credential"`
	JSON    bool           `long:"json" description:"print JSON"`
	Timeout uint32         `long:"timeout" value-name:"MS" default:"10000" description:"time in milliseconds after which the command gives up"`

	out io.Writer
}

// request is one request to whichever instance answers.
type request struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// wait is the time that the instance may hold the answer back.
	wait time.Duration
}

// reply is the answer to a request.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// client sends requests to the addresses in turn.
type client struct {
	addresses []string
	token     string
	timer     timer.Service
	http      *http.Client
	// next is the index of the address that is tried first.
	next int
}

func (r *remote) client() (c *client, err error) {
	token, err := os.ReadFile(string(r.Token))
	if err != nil {
		return nil, exit(ExitUsage, errors.Wrap(err, "read the credential"))
	}
	for _, a := range r.Address {
		if !strings.HasPrefix(a, "http://") {
			return nil, exit(ExitUsage, errors.Newf("address %q: expected http://IP:PORT", a))
		}
	}
	return &client{
		addresses: r.Address, token: strings.TrimSpace(string(token)), timer: timer.NewSystem(),
		http: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

// call sends a request within the timeout of the command. Every request of the
// commands may be sent again: reads change nothing, drains are idempotent and a
// change carries its id. The last error tells whether it may have taken effect.
func (r *remote) call(q request) (a *reply, err error) {
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := timer.WithTimeout(context.Background(), c.timer, time.Duration(r.Timeout)*time.Millisecond+q.wait)
	defer cancel()
	return c.call(ctx, q)
}

func (c *client) call(ctx context.Context, q request) (a *reply, err error) {
	maybe := false
	for tried := 1; ctx.Err() == nil; tried++ {
		a, failure := c.attempt(ctx, q)
		if failure == nil && !a.again() && (!a.foreign() || tried >= len(c.addresses)) {
			return a, a.err()
		}
		maybe = maybe || q.method != http.MethodGet && a.maybe(failure)
		if failure == nil {
			failure = a.err()
		}
		if err == nil || ctx.Err() == nil {
			err = failure
		}
		c.next = (c.next + 1) % len(c.addresses)
		if tried%len(c.addresses) == 0 && timer.Sleep(ctx, c.timer, roundPause) != nil {
			break
		}
	}
	if maybe {
		err = errors.Wrap(err, "the outcome is unknown")
	}
	return nil, exit(ExitUnavailable, err)
}

// attempt sends the request to one address.
func (c *client) attempt(ctx context.Context, q request) (a *reply, err error) {
	ctx, cancel := timer.WithTimeout(ctx, c.timer, attemptTimeout+q.wait)
	defer cancel()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			err = errors.Newf("%s: no answer in time", c.addresses[c.next])
		}
	}()
	r, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: the answer broke off", c.addresses[c.next])
	}
	return &reply{status: r.StatusCode, header: r.Header, body: body}, nil
}

func (c *client) send(ctx context.Context, q request) (r *http.Response, err error) {
	h, err := http.NewRequestWithContext(ctx, q.method, strings.TrimRight(c.addresses[c.next], "/")+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	h.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range q.header {
		h.Header.Set(name, value)
	}
	if h.Header.Get("Accept") == "" {
		h.Header.Set("Wisteriakeel-Timeout", strconv.FormatInt((attemptTimeout+q.wait).Milliseconds(), 10))
	}
	return c.http.Do(h)
}

// again tells whether another instance or a later attempt may succeed.
func (a *reply) again() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout
}

// foreign tells whether the instance does not serve the path at all: it has not
// the role for it, and another address may.
func (a *reply) foreign() bool {
	return a.status == http.StatusNotFound && a.header.Get("Wisteriakeel-Outcome") == ""
}

// maybe tells whether the request may have taken effect. Only a connection that
// was never made and a refusal that says so rule it out.
func (a *reply) maybe(failure error) bool {
	if failure == nil {
		return a.header.Get("Wisteriakeel-Outcome") != "not run"
	}
	var dial *net.OpError
	return !errors.As(failure, &dial) || dial.Op != "dial"
}

// err returns the error that the status stands for, with its exit code.
func (a *reply) err() error {
	if a.status == http.StatusOK {
		return nil
	}
	var b struct {
		Error struct {
			Message  string            `json:"message"`
			Outcome  string            `json:"outcome"`
			Revision uint64            `json:"revision"`
			Problems []problem.Problem `json:"problems"`
		} `json:"error"`
	}
	if json.Unmarshal(a.body, &b) != nil || b.Error.Message == "" {
		return errors.Newf("status %d: %.200s", a.status, a.body)
	}
	if len(b.Error.Problems) > 0 {
		return &problem.Error{Problems: b.Error.Problems}
	}
	err := errors.Newf("%s (%s)", b.Error.Message, b.Error.Outcome)
	switch a.status {
	case http.StatusConflict:
		return exit(ExitConflict, errors.Newf("%s; the current revision is %d", b.Error.Message, b.Error.Revision))
	case http.StatusUnprocessableEntity:
		return exit(ExitUsage, err)
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInsufficientStorage:
		return exit(ExitUnavailable, err)
	}
	return err
}

// get sends a GET request and prints the answer: as it is with --json, else by show.
func (r *remote) get(path string, show func(body []byte) error) error {
	a, err := r.call(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if r.JSON {
		return r.print(string(bytes.TrimSpace(a.body)))
	}
	return show(a.body)
}

func (r *remote) print(line string) error {
	_, err := fmt.Fprintln(r.out, line)
	return err
}
