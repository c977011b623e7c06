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
	// attemptTimeout limits one attempt, so that an instance that does not respond leaves
	// time to try the next. It exceeds the 2.4 s that a leader election may take.
	attemptTimeout = 3 * time.Second
	// retryDelay is the pause before the addresses are tried again, once all have failed,
	// and before a watch connects again.
	retryDelay = 200 * time.Millisecond
)

// remoteCommand holds the options shared by all commands that send requests to an instance.
type remoteCommand struct {
	Address []string       `long:"address" value-name:"URL" default:"http://127.0.0.1:8080" description:"address of an instance; may be repeated, the next is tried when one cannot be reached"`
	Token   flags.Filename `long:"token-file" value-name:"FILE" required:"true" description:"file that holds the credential"`
	JSON    bool           `long:"json" description:"print JSON"`
	Timeout uint32         `long:"timeout" value-name:"MS" default:"10000" description:"time in milliseconds after which the command gives up"`

	out io.Writer
}

// request is a request that may be sent to any of the addresses.
type request struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// serverWait is how long the instance may delay its response on purpose; it is added
	// to the timeouts.
	serverWait time.Duration
}

// reply is the response of an instance.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// client sends requests to the addresses in turn until one of them succeeds.
type client struct {
	addresses []string
	token     string
	timer     timer.Service
	http      *http.Client
	// current is the index of the address that the next attempt uses.
	current int
}

// client returns a client with the credential and addresses given by the options.
func (r *remoteCommand) client() (c *client, err error) {
	token, err := os.ReadFile(string(r.Token))
	if err != nil {
		return nil, withExitCode(ExitUsage, errors.Wrap(err, "read the credential"))
	}
	for _, a := range r.Address {
		if !strings.HasPrefix(a, "http://") {
			return nil, withExitCode(ExitUsage, errors.Newf("address %q: expected http://IP:PORT", a))
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

// call sends a request within the timeout of the command. All requests of the commands
// can be retried safely: reads have no effect, draining an instance and lifting a
// quarantine are idempotent, and a change of a document carries an id that identifies
// repeats. The error states whether the request may have taken effect.
func (r *remoteCommand) call(q request) (a *reply, err error) {
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := timer.WithTimeout(context.Background(), c.timer, time.Duration(r.Timeout)*time.Millisecond+q.serverWait)
	defer cancel()
	return c.call(ctx, q)
}

// call tries the addresses in turn until one returns a final response or ctx is done.
func (c *client) call(ctx context.Context, q request) (a *reply, err error) {
	outcomeUnknown := false
	for attempts := 1; ctx.Err() == nil; attempts++ {
		a, attemptErr := c.attempt(ctx, q)
		if attemptErr == nil && !a.retryable() && (!a.notServed() || attempts >= len(c.addresses)) {
			return a, a.asError()
		}
		outcomeUnknown = outcomeUnknown || q.method != http.MethodGet && a.mayHaveTakenEffect(attemptErr)
		if attemptErr == nil {
			attemptErr = a.asError()
		}
		// If the timeout of the command cut this attempt short, the previous error is kept,
		// since it says more.
		if err == nil || ctx.Err() == nil {
			err = attemptErr
		}
		c.current = (c.current + 1) % len(c.addresses)
		if attempts%len(c.addresses) == 0 && timer.Sleep(ctx, c.timer, retryDelay) != nil {
			break
		}
	}
	if outcomeUnknown {
		err = errors.Wrap(err, "the outcome is unknown")
	}
	return nil, withExitCode(ExitUnavailable, err)
}

// attempt sends the request to the current address.
func (c *client) attempt(ctx context.Context, q request) (a *reply, err error) {
	ctx, cancel := timer.WithTimeout(ctx, c.timer, attemptTimeout+q.serverWait)
	defer cancel()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			err = errors.Newf("%s: no answer in time", c.addresses[c.current])
		}
	}()
	r, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: the answer broke off", c.addresses[c.current])
	}
	return &reply{status: r.StatusCode, header: r.Header, body: body}, nil
}

// send sends the request to the current address; the caller closes the body of the response.
func (c *client) send(ctx context.Context, q request) (r *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, q.method, strings.TrimRight(c.addresses[c.current], "/")+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	if req.Header.Get("Accept") == "" {
		req.Header.Set("Wisteriakeel-Timeout", strconv.FormatInt((attemptTimeout+q.serverWait).Milliseconds(), 10))
	}
	return c.http.Do(req)
}

// retryable reports whether another instance or a later attempt may succeed.
func (a *reply) retryable() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout
}

// notServed reports whether the instance does not serve the path at all, because it does
// not have the role for it. An instance at another address may have that role.
func (a *reply) notServed() bool {
	return a.status == http.StatusNotFound && a.header.Get("Wisteriakeel-Outcome") == ""
}

// mayHaveTakenEffect reports whether the request may have taken effect, given the error of
// the attempt. It cannot have if the connection was not established or if the response
// says that it did not run. If err is not nil, a may be nil.
func (a *reply) mayHaveTakenEffect(err error) bool {
	if err == nil {
		return a.header.Get("Wisteriakeel-Outcome") != "not run"
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}

// asError returns the error described by the response, with its exit code; nil for status 200.
func (a *reply) asError() error {
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
		return withExitCode(ExitConflict, errors.Newf("%s; the current revision is %d", b.Error.Message, b.Error.Revision))
	case http.StatusUnprocessableEntity:
		return withExitCode(ExitUsage, err)
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInsufficientStorage:
		return withExitCode(ExitUnavailable, err)
	}
	return err
}

// get sends a GET request. It prints the body of the response unchanged with --json, or
// else passes it to show.
func (r *remoteCommand) get(path string, show func(body []byte) error) error {
	a, err := r.call(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if r.JSON {
		return r.printLine(string(bytes.TrimSpace(a.body)))
	}
	return show(a.body)
}

func (r *remoteCommand) printLine(line string) error {
	_, err := fmt.Fprintln(r.out, line)
	return err
}
