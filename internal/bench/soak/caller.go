package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// forged is a client account that callers claim to be; upstreams must never see it.
const forged = "forged"

// caller sends requests one after the other over connections that stay open, until the
// instance it uses is gone.
type caller struct {
	soak   *Soak
	number int
	random *rand.Rand
	node   *node
	client *http.Client
	sent   int
}

func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.client == nil {
			c.node = c.soak.nodes[c.random.IntN(len(c.soak.nodes))]
			c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
		}
		if !c.call(ctx) {
			c.client.CloseIdleConnections()
			c.client = nil
		}
		if timer.Sleep(ctx, c.soak.options.Timer, time.Duration(10+c.random.IntN(60))*time.Millisecond) != nil {
			break
		}
	}
	return nil
}

// plan draws the next request.
func (c *caller) plan(now timer.Instant) (k kind, path, key string, revoked bool) {
	version, former := c.soak.document(now)
	switch n := c.random.IntN(20); {
	case n < 6:
		return once, OncePath, APIKey, false
	case n < 11:
		return read, ReadPath, APIKey, false
	case n < 17:
		return stream, StreamPath, APIKey, false
	case n < 19 || former.APIKey == "":
		// A route of the document that has been in force long enough must be known.
		return added, version.AddedPath, APIKey, false
	default:
		return read, ReadPath, former.APIKey, true
	}
}

// call sends one request and checks its answer. It returns false if the connection
// is of no use any more.
func (c *caller) call(ctx context.Context) (ok bool) {
	l, names, t := c.soak.ledger, c.soak.options.Dialect.Protocol(), c.soak.options.Timer
	begun := t.Now()
	k, path, key, revoked := c.plan(begun)
	if path == "" {
		return true
	}
	c.sent++
	id := fmt.Sprintf("%x-%d-%d", c.soak.options.Seed, c.number, c.sent)
	l.sent(id, k, revoked)
	m := method(path)
	// The wait is longer than the route's time, so that a late answer is seen.
	ctx, cancel := timer.WithTimeout(ctx, t, RouteTimeout+2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, m, "http://"+c.soak.options.Dialect.FrontendAddress(c.node.ip)+path+"x?q="+id, strings.NewReader(question(m, id)))
	if err != nil {
		l.broken("request: %v", err)
		return false
	}
	q.Host = Host
	q.Header.Set(names.RequestID, id)
	q.Header.Set(names.Authorization, names.AuthScheme+" "+key)
	q.Header.Set(names.Account, forged)
	q.Header.Set(names.Deadline, strconv.FormatInt(RouteTimeout.Milliseconds(), 10))
	if m == http.MethodGet {
		q.Body, q.ContentLength = http.NoBody, 0
	}
	r, err := c.client.Do(q)
	if err != nil {
		if ctx.Err() == nil {
			l.lost(id, c.node.name, begun)
		}
		c.late(id, begun)
		return false
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	c.late(id, begun)
	switch {
	case r.StatusCode == http.StatusOK:
		if !c.whole(id, k, r, string(text), err) && ctx.Err() == nil {
			l.lost(id, c.node.name, begun)
		}
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests ||
		r.StatusCode == http.StatusRequestTimeout || r.StatusCode == http.StatusMisdirectedRequest:
		l.refusedRequest(id, r.StatusCode)
	case r.StatusCode == http.StatusNotFound && k == added && c.soak.inForce(path, begun) && l.calmSince(begun):
		l.broken("%s answers 404 on a route that is in force", c.node.name)
	case r.StatusCode == http.StatusUnauthorized && !revoked:
		l.broken("%s answers 401 to a key that is in force", c.node.name)
	default:
		l.count(fmt.Sprint("status ", r.StatusCode))
	}
	return err == nil && r.StatusCode != http.StatusServiceUnavailable
}

// late checks that the final answer comes in time where nothing was disturbed.
func (c *caller) late(id string, begun timer.Instant) {
	took := c.soak.options.Timer.Now().Sub(begun)
	if took > RouteTimeout+slack && c.soak.ledger.calmSince(begun) {
		c.soak.ledger.broken("%s answers request %s after %s", c.node.name, id, took)
	}
}

// whole checks an answer with success. It returns false for one that broke off.
func (c *caller) whole(id string, k kind, r *http.Response, text string, err error) bool {
	l, names := c.soak.ledger, c.soak.options.Dialect.Protocol()
	if got := r.Header.Get(names.Signature); got != "s-"+id {
		l.broken("request %s is answered with signature %q", id, got)
	}
	if got := r.Header.Get(names.RequestID); got != id {
		l.broken("request %s gets the answer of %q", id, got)
	}
	want := answer(id)
	if k == stream {
		want = ""
		for n := 1; n <= events; n++ {
			want += event(id, n)
		}
	}
	switch {
	case err == nil && text == want:
		l.count("answered")
	case err == nil:
		l.broken("request %s ends as complete after %d of %d bytes", id, len(text), len(want))
	case !strings.HasPrefix(want, text):
		l.broken("request %s gets other bytes than its upstream sent: %q", id, lastLine(text))
	default:
		return false
	}
	return true
}

func lastLine(text string) (last string) {
	for s := bufio.NewScanner(strings.NewReader(text)); s.Scan(); {
		if s.Text() != "" {
			last = s.Text()
		}
	}
	return last
}

// ask sends a request outside the checked traffic.
func (s *Soak) ask(ctx context.Context, q *http.Request, limit time.Duration) (status int, body []byte, err error) {
	ctx, cancel := timer.WithTimeout(ctx, s.options.Timer, limit)
	defer cancel()
	r, err := s.client.Do(q.WithContext(ctx))
	if err != nil {
		return 0, nil, errors.Wrap(err, "no answer")
	}
	defer func() { _ = r.Body.Close() }()
	body, err = io.ReadAll(r.Body)
	return r.StatusCode, body, err
}
