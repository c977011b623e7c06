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

// lifetime is how long callers use a list of entries.
const lifetime = 500 * time.Millisecond

// caller keeps a list of entries as long as its lifetime says.
type caller struct {
	*system.System
	name  string
	list  []*system.Entry
	until time.Time
	sent  int
	// retries counts the attempts after the first of each request.
	retries []int
	failed  []string
}

// refresh gets a list from the first entry that answers, preferring the one given.
func (c *caller) refresh(first int) {
	if time.Now().Before(c.until) {
		return
	}
	for i := range c.Entries {
		e := c.Entries[(first+i)%len(c.Entries)]
		asked := time.Now()
		a := c.Send(e, system.Request{Method: http.MethodGet, Path: "/v1/entries"})
		var body struct {
			Entries  []struct{ Name string }
			Lifetime int
		}
		if !a.Succeeded() || json.Unmarshal(a.Body, &body) != nil {
			continue
		}
		c.list, c.until = nil, asked.Add(time.Duration(body.Lifetime)*time.Millisecond)
		for _, k := range body.Entries {
			c.list = append(c.list, c.EntryByName(k.Name))
		}
		return
	}
}

// send sends one chat to the entries of the list in turn until it is complete.
func (c *caller) send(first int) {
	c.refresh(first)
	c.sent++
	chat := system.Chat{Model: "draft", RequestID: fmt.Sprint(c.name, "-", c.sent), Prompt: c.name, Stream: c.sent%2 == 0, MaxTokens: 4}
	for i := range c.list {
		got := c.SendChat(c.list[(c.sent+i)%len(c.list)], chat)
		if got.Complete && got.Matches(chat) {
			c.retries = append(c.retries, i)
			return
		}
		c.failed = append(c.failed, fmt.Sprintf("%s: %d %v %s", chat.RequestID, got.Status, got.Err, got.Body))
	}
	c.retries = append(c.retries, len(c.list))
}

// callers lets callers send until the function returned is called.
func callers(s *system.System) (list []*caller, stop func()) {
	var ended atomic.Bool
	var w sync.WaitGroup
	for i := range 6 {
		c := &caller{System: s, name: fmt.Sprint("caller-", i)}
		list = append(list, c)
		w.Go(func() {
			for !ended.Load() {
				c.send(i)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return list, func() {
		ended.Store(true)
		w.Wait()
	}
}

// Guards against a shutdown that cuts a request in progress or refuses a caller
// that holds an address that it may still use.
func TestProofShutdown(t *testing.T) {
	t.Parallel()
	report.Run(t, "G9", "graceful-shutdown", 6, func(t *testing.T, seed uint64) {
		is := is.New(t)
		var trap system.Interceptor
		s := system.Start(t, trap.AddTo(system.Options{
			Seed: seed, Entries: 3, Engines: 4, EntryListLifetime: lifetime, MaxCallTimeout: 30 * time.Second,
		}))
		reached, release := make(chan struct{}), make(chan struct{})
		trap.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			close(reached)
			<-release
			next.ServeHTTP(w, r)
		})
		leaving := s.Entries[seed%3]
		long := system.Chat{Model: "large", RequestID: "long", Prompt: "long", Stream: true}
		done := make(chan system.Completion, 1)
		go func() { done <- s.SendChat(leaving, long) }()
		<-reached
		trap.Set(nil, nil)
		list, stop := callers(s)
		time.Sleep(lifetime)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- leaving.Shutdown(ctx) }()
		s.WaitFor("the entry refuses", func() bool {
			return !s.Send(leaving, system.Request{Method: http.MethodGet, Path: "/v1/models"}).Succeeded()
		})
		time.Sleep(lifetime)
		close(release)
		got := <-done
		is.True(got.Complete && got.Matches(long)) // the request in progress ends well
		is.NoErr(<-ended)                          // and the entry ends after it
		time.Sleep(lifetime)
		stop()
		for _, c := range list {
			is.True(c.sent > 10)
			is.Equal(c.failed, nil) // no request was cut or refused
		}
	})
}

// Guards against a crash that costs a caller more than one retry, or an answer
// that is billed to it twice.
func TestProofCrash(t *testing.T) {
	t.Parallel()
	report.Run(t, "G9", "entry-crashed", 6, func(t *testing.T, seed uint64) {
		is := is.New(t)
		s := system.Start(t, system.Options{Seed: seed, Entries: 3, Engines: 4, EntryListLifetime: lifetime})
		list, stop := callers(s)
		time.Sleep(lifetime)
		s.Entries[seed%3].Kill()
		time.Sleep(3 * lifetime)
		stop()
		sent := 0
		for _, c := range list {
			sent += c.sent
			for _, n := range c.retries {
				is.True(n <= 1) // one retry at most
			}
		}
		is.Equal(len(s.Ledger().Charges), sent) // each request has one charge
	})
}
