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

// forgedAccount is an account name that callers put into the account header. Upstreams must never
// see it, since instances replace the header.
const forgedAccount = "forged"

// callerTimeout is how long a caller waits, longer than the time limit of the route, so that late
// responses are detected.
const callerTimeout = RouteTimeout + 2*time.Second

// caller sends requests one after the other to one instance over a persistent connection, and
// draws an instance again when a request fails.
type caller struct {
	soak     *Soak
	number   int
	random   *rand.Rand
	instance *instance
	client   *http.Client // nil until an instance is chosen
	sent     int          // number of requests
	// until is when a caller ends that keeps to its instance; 0 for one that draws instances and
	// has no end.
	until timer.Instant
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil && (c.until == 0 || c.soak.options.Timer.Now() < c.until) {
		if c.client == nil {
			if c.until == 0 {
				c.instance = c.soak.instances[c.random.IntN(len(c.soak.instances))]
			}
			c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
		}
		if !c.sendRequest(ctx) {
			c.client.CloseIdleConnections()
			c.client = nil
		}
		if timer.Sleep(ctx, c.soak.options.Timer, time.Duration(10+c.random.IntN(60))*time.Millisecond) != nil {
			break
		}
	}
	return nil
}

// nextRequest draws the next request. An empty path means that there is none to send.
func (c *caller) nextRequest(now timer.Instant) (k requestKind, path, key string, revoked bool) {
	current, old := c.soak.documentsAt(now)
	switch n := c.random.IntN(20); {
	case n < 6:
		return kindOnce, OncePath, APIKey, false
	case n < 11:
		return kindRead, ReadPath, APIKey, false
	case n < 17:
		return kindStream, StreamPath, APIKey, false
	case n < 19 || old.APIKey == "":
		// The route must exist, since its document has been in force long enough.
		return kindAdded, current.AddedPath, APIKey, false
	default:
		return kindRead, ReadPath, old.APIKey, true
	}
}

// sendRequest sends one request and checks the response. It returns false if the caller should
// draw an instance again.
func (c *caller) sendRequest(ctx context.Context) (ok bool) {
	rec, names, t := c.soak.recorder, c.soak.options.Dialect.Protocol(), c.soak.options.Timer
	begin := t.Now()
	k, path, key, revoked := c.nextRequest(begin)
	if path == "" {
		return true
	}
	c.sent++
	id := fmt.Sprintf("%x-%d-%d", c.soak.options.Seed, c.number, c.sent)
	rec.recordSent(id, k, revoked)
	method := methodOf(path)
	ctx, cancel := timer.WithTimeout(ctx, t, callerTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.soak.options.Dialect.FrontendAddress(c.instance.ip)+path+"x?q="+id, strings.NewReader(requestBody(method, id)))
	if err != nil {
		rec.violation("request: %v", err)
		return false
	}
	q.Host = Host
	q.Header.Set(names.RequestID, id)
	q.Header.Set(names.Authorization, names.AuthScheme+" "+key)
	q.Header.Set(names.Account, forgedAccount)
	q.Header.Set(names.Deadline, strconv.FormatInt(RouteTimeout.Milliseconds(), 10))
	if method == http.MethodGet {
		q.Body, q.ContentLength = http.NoBody, 0
	}
	served, p := false, c.soak.currentPartition()
	defer func() {
		if !revoked {
			c.soak.countAttempt(p, c.instance, begin, served)
			c.soak.countBrittle(serviceOf(path), begin, served)
		}
	}()
	r, err := c.client.Do(q)
	if err != nil {
		if ctx.Err() == nil {
			rec.recordLost(id, c.instance.name, begin)
		}
		c.checkLatency(id, begin)
		return false
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	c.checkLatency(id, begin)
	switch {
	case r.StatusCode == http.StatusOK:
		if served = c.checkResponse(id, k, r, string(text), err); !served && ctx.Err() == nil {
			rec.recordLost(id, c.instance.name, begin)
		}
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests ||
		r.StatusCode == http.StatusRequestTimeout || r.StatusCode == http.StatusMisdirectedRequest:
		rec.recordRefusal(id, r.StatusCode)
	case r.StatusCode == http.StatusNotFound && k == kindAdded && c.soak.routeInForce(path, begin) && rec.undisturbedSince(begin):
		rec.violation("%s answers 404 on a route that is in force", c.instance.name)
	case r.StatusCode == http.StatusUnauthorized && !revoked:
		rec.violation("%s answers 401 to a key that is in force", c.instance.name)
	default:
		rec.count(fmt.Sprint("status ", r.StatusCode))
	}
	return err == nil && r.StatusCode != http.StatusServiceUnavailable
}

// checkLatency checks that the response arrives in time unless there was a disturbance.
func (c *caller) checkLatency(id string, begin timer.Instant) {
	took := c.soak.options.Timer.Now().Sub(begin)
	if took > RouteTimeout+latencyTolerance && c.soak.recorder.undisturbedSince(begin) {
		c.soak.recorder.violation("%s answers request %s after %s", c.instance.name, id, took)
	}
}

// checkResponse checks a successful response. It returns false if the response was interrupted.
func (c *caller) checkResponse(id string, k requestKind, r *http.Response, text string, err error) bool {
	rec, names := c.soak.recorder, c.soak.options.Dialect.Protocol()
	if got := r.Header.Get(names.Signature); got != "s-"+id {
		rec.violation("request %s is answered with signature %q", id, got)
	}
	if got := r.Header.Get(names.RequestID); got != id {
		rec.violation("request %s gets the answer of %q", id, got)
	}
	want := responseBody(id)
	if k == kindStream {
		want = ""
		for n := 1; n <= eventsPerStream; n++ {
			want += eventText(id, n)
		}
	}
	switch {
	case err == nil && text == want:
		rec.count("answered")
	case err == nil:
		rec.violation("request %s ends as complete after %d of %d bytes", id, len(text), len(want))
	case !strings.HasPrefix(want, text):
		rec.violation("request %s gets other bytes than its upstream sent: %q", id, lastLine(text))
	default:
		return false
	}
	return true
}

// lastLine returns the last line that is not empty.
func lastLine(text string) (last string) {
	for s := bufio.NewScanner(strings.NewReader(text)); s.Scan(); {
		if s.Text() != "" {
			last = s.Text()
		}
	}
	return last
}

// sendUnchecked sends a request that does not belong to the checked load.
func (s *Soak) sendUnchecked(ctx context.Context, q *http.Request, limit time.Duration) (status int, body []byte, err error) {
	ctx, cancel := timer.WithTimeout(ctx, s.options.Timer, limit)
	defer cancel()
	r, err := s.client.Do(q.WithContext(ctx))
	if err != nil {
		return 0, nil, errors.Wrap(err, "no response")
	}
	defer func() { _ = r.Body.Close() }()
	body, err = io.ReadAll(r.Body)
	return r.StatusCode, body, err
}
