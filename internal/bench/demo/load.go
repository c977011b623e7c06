package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// maxRequestsPerWorker limits the requests of one worker. All workers together must stay below the
// 4,000 charges that the ledger lists individually.
const maxRequestsPerWorker = 150

// worker sends requests of one kind, one after the other, for one account.
type worker struct {
	demo   *demo
	caller *caller.Caller
	name   string
	random *rand.Rand
	// send sends request number n of the worker w and waits for the response.
	send func(ctx context.Context, w *worker, n int)
	stop <-chan struct{}
	done *sync.WaitGroup
}

// run sends requests until the load is stopped. It waits for the response to the last one.
func (w *worker) run(ctx context.Context) error {
	defer w.done.Done()
	for n := range maxRequestsPerWorker {
		select {
		case <-w.stop:
			return nil
		case <-ctx.Done():
			return nil
		default:
		}
		w.send(ctx, w, n)
		if timer.Sleep(ctx, w.demo.options.Timer, time.Duration(80+w.random.IntN(220))*time.Millisecond) != nil {
			return nil
		}
	}
	return nil
}

// load runs the workers of all accounts.
type load struct {
	group *group.Group
	stop  chan struct{}
	done  sync.WaitGroup
}

// startLoad starts the workers of all accounts.
func (d *demo) startLoad(ctx context.Context) (l *load, err error) {
	l = &load{group: group.New(ctx), stop: make(chan struct{})}
	kinds := []struct {
		name  string
		count int
		send  func(ctx context.Context, w *worker, n int)
	}{
		{"stream", 2, sendStreamedChat},
		{"whole", 1, sendChat},
		{"session", 2, sendSessionChat},
		{"booking", 2, sendBooking},
		{"lookup", 1, sendLookup},
	}
	for i, a := range accounts {
		c, err := caller.New(caller.Options{
			Entries: cluster.Addresses(d.cluster.Entries()), Token: d.cluster.Token(a), Timer: d.options.Timer,
			Random:         rand.New(rand.NewPCG(d.options.Seed, uint64(i))),
			AttemptTimeout: 4 * time.Second, RequestTimeout: 12 * time.Second,
		})
		if err != nil {
			return nil, err
		}
		d.callers[a] = c
		for _, k := range kinds {
			for n := range k.count {
				w := &worker{
					demo: d, caller: c, name: fmt.Sprintf("%s-%s-%d", a, k.name, n), send: k.send,
					random: rand.New(rand.NewPCG(d.options.Seed, uint64(100*i+n))), stop: l.stop, done: &l.done,
				}
				l.done.Add(1)
				l.group.Go(w.name, w.run)
			}
		}
	}
	return l, nil
}

// stopAndWait stops the workers and waits for the requests in progress.
func (l *load) stopAndWait() error {
	close(l.stop)
	l.done.Wait()
	return l.group.Stop()
}

// drawModel draws the large model for a quarter of the requests, else the small one.
func (w *worker) drawModel() string {
	if w.random.IntN(4) == 0 {
		return "large"
	}
	return "small"
}

func sendStreamedChat(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{Model: w.drawModel(), Prompt: fmt.Sprintf("draft %d of %s", n, w.name), Stream: true})
}

func sendChat(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{Model: w.drawModel(), Prompt: fmt.Sprintf("summary %d of %s", n, w.name)})
}

// sendSessionChat sends a chat request of a session; 20 requests form a session, half of them streamed.
func sendSessionChat(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{
		Model: "small", Prompt: fmt.Sprintf("turn %d of %s", n, w.name), Stream: n%2 == 0,
		Session: fmt.Sprintf("%s-%d", w.name, n/20),
	})
}

func sendBooking(ctx context.Context, w *worker, n int) {
	w.caller.SendPlain(ctx, caller.PlainRequest{
		Service: "desk", Method: "POST", Path: "/bookings", NonIdempotent: true,
		Body: fmt.Appendf(nil, `{"by":%q,"visit":%d}`, w.name, n),
	})
}

func sendLookup(ctx context.Context, w *worker, n int) {
	w.caller.SendPlain(ctx, caller.PlainRequest{Service: "desk", Method: "GET", Path: fmt.Sprintf("/lookups/%s-%d", w.name, n)})
}
