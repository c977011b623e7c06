package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its answer.
type attempt struct {
	at, answeredAt float64
	id             string
	subject        string // what it is about; a retry is about the same
	path           string
	key            string
	machine        string
	status         int // 0 without a complete answer
	signature      string
	retryAfter     time.Duration
}

// client sends requests to the machines and keeps its connections.
type client struct {
	*play
	http     *http.Client
	counter  atomic.Int64
	prefix   string
	mu       sync.Mutex
	attempts []*attempt
}

func newClient(p *play) *client {
	return &client{play: p, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, prefix: fmt.Sprintf("%06x", rand.IntN(1<<24))}
}

// send makes one attempt at a machine.
func (c *client) send(m *machine, method, path, key, subject, body string) *attempt {
	a := &attempt{id: c.prefix + strconv.FormatInt(c.counter.Add(1), 10), subject: subject, path: path, key: key, machine: m.name, at: c.seconds()}
	const limit = 1500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit+100*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+m.frontend()+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	q.Host = host
	q.Header.Set(headerID, a.id)
	q.Header.Set(headerDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	r, err := c.http.Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	a.answeredAt = c.seconds()
	if err == nil {
		a.status, a.signature = r.StatusCode, r.Header.Get(headerSignature)
		if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// all returns a copy of the attempts.
func (c *client) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// anyMachine returns a machine at random.
func (c *client) anyMachine() *machine { return c.cluster.machines[rand.IntN(len(c.cluster.machines))] }

// traffic sends requests at a steady rate until stop is closed, and waits for their answers. Each is made by
// request with its number.
func traffic(perSecond float64, stop <-chan struct{}, request func(n int)) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticks := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
			pending.Add(1)
			go func() {
				defer pending.Done()
				request(n)
			}()
		}
	}
}

// listAttempts writes the attempts of a list into the record.
func (c *client) listAttempts(all []*attempt, most int) {
	for i, a := range all {
		if i == most {
			c.log("client: and %d more", len(all)-most)
			return
		}
		c.log("client: attempt %s (%s, %s) sent at %.3f s to %s, answered at %.3f s with %d, signature %q", a.id, a.subject, a.path, a.at, a.machine, a.answeredAt, a.status, a.signature)
	}
}

// statuses counts the answers by status.
func statuses(all []*attempt) map[int]int {
	out := map[int]int{}
	for _, a := range all {
		out[a.status]++
	}
	return out
}
