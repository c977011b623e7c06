package leave

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// entryListLifetime is how long callers may use a list of entries.
const entryListLifetime = 500 * time.Millisecond

// caller is a client that uses a list of entries until it expires.
type caller struct {
	*system.System
	name    string
	targets []*system.Entry
	expires time.Time
	sent    int
	// retries holds the number of attempts after the first for each request.
	retries []int
	// failures describes each attempt that did not complete a request.
	failures []string
}

// refreshTargets replaces an expired list by that of the first entry that answers, starting
// at the given index.
func (c *caller) refreshTargets(first int) {
	if time.Now().Before(c.expires) {
		return
	}
	for i := range c.Entries {
		e := c.Entries[(first+i)%len(c.Entries)]
		requested := time.Now()
		a := c.Send(e, system.Request{Method: http.MethodGet, Path: "/v1/entries"})
		var body struct {
			Entries  []struct{ Name string }
			Lifetime int
		}
		if !a.Succeeded() || json.Unmarshal(a.Body, &body) != nil {
			continue
		}
		c.targets, c.expires = nil, requested.Add(time.Duration(body.Lifetime)*time.Millisecond)
		for _, entry := range body.Entries {
			c.targets = append(c.targets, c.EntryByName(entry.Name))
		}
		return
	}
}

// send sends one chat to the entries of the list in turn until one completes it. An expired
// list is requested from the entry with the given index first.
func (c *caller) send(first int) {
	c.refreshTargets(first)
	c.sent++
	chat := system.Chat{Model: "draft", RequestID: fmt.Sprint(c.name, "-", c.sent), Prompt: c.name, Stream: c.sent%2 == 0, MaxTokens: 4}
	for i := range c.targets {
		got := c.SendChat(c.targets[(c.sent+i)%len(c.targets)], chat)
		if got.Complete && got.Matches(chat) {
			c.retries = append(c.retries, i)
			return
		}
		c.failures = append(c.failures, fmt.Sprintf("%s: %d %v %s", chat.RequestID, got.Status, got.Err, got.Body))
	}
	c.retries = append(c.retries, len(c.targets))
}

// startCallers starts callers that send requests until stop is called.
func startCallers(s *system.System) (callers []*caller, stop func()) {
	var ended atomic.Bool
	var wg sync.WaitGroup
	for i := range 6 {
		c := &caller{System: s, name: fmt.Sprint("caller-", i)}
		callers = append(callers, c)
		wg.Go(func() {
			for !ended.Load() {
				c.send(i)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return callers, func() {
		ended.Store(true)
		wg.Wait()
	}
}

// Guards against a shutdown that interrupts a request in progress or rejects a caller whose
// list of entries has not expired.
func TestProofShutdown(t *testing.T) {
	t.Parallel()
	report.Run(t, "G9", "graceful-shutdown", 6, func(t *testing.T, seed uint64) {
		is := is.New(t)
		var interceptor system.Interceptor
		s := system.Start(t, interceptor.AddTo(system.Options{
			Seed: seed, Entries: 3, Engines: 4, EntryListLifetime: entryListLifetime, MaxRequestTimeout: 30 * time.Second,
		}))
		reached, release := make(chan struct{}), make(chan struct{})
		interceptor.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			close(reached)
			<-release
			next.ServeHTTP(w, r)
		})
		leaving := s.Entries[seed%3]
		long := system.Chat{Model: "large", RequestID: "long", Prompt: "long", Stream: true}
		done := make(chan system.Completion, 1)
		go func() { done <- s.SendChat(leaving, long) }()
		<-reached
		interceptor.Set(nil, nil)
		callers, stop := startCallers(s)
		time.Sleep(entryListLifetime)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		shutdown := make(chan error, 1)
		go func() { shutdown <- leaving.Shutdown(ctx) }()
		s.WaitFor("the entry to reject requests", func() bool {
			return !s.Send(leaving, system.Request{Method: http.MethodGet, Path: "/v1/models"}).Succeeded()
		})
		time.Sleep(entryListLifetime)
		close(release)
		got := <-done
		is.True(got.Complete && got.Matches(long)) // the request in progress completes
		is.NoErr(<-shutdown)                       // and the entry stops after it
		time.Sleep(entryListLifetime)
		stop()
		for _, c := range callers {
			is.True(c.sent > 10)
			is.Equal(c.failures, nil) // no request was interrupted or rejected
		}
	})
}

// Guards against a crash of an entry that costs a caller more than one retry, and against a
// second charge for a request that was retried.
func TestProofCrash(t *testing.T) {
	t.Parallel()
	report.Run(t, "G9", "entry-crashed", 6, func(t *testing.T, seed uint64) {
		is := is.New(t)
		s := system.Start(t, system.Options{Seed: seed, Entries: 3, Engines: 4, EntryListLifetime: entryListLifetime})
		callers, stop := startCallers(s)
		time.Sleep(entryListLifetime)
		s.Entries[seed%3].Kill()
		time.Sleep(3 * entryListLifetime)
		stop()
		sent := 0
		for _, c := range callers {
			sent += c.sent
			for _, retries := range c.retries {
				is.True(retries <= 1) // at most one retry
			}
		}
		is.Equal(len(s.Ledger().Charges), sent) // each request is charged once
	})
}
