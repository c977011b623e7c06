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

// perWorker bounds the requests of one worker. All workers together must stay
// below the 4,000 charges that the ledger shows one by one.
const perWorker = 150

// worker sends one kind of request after the other for one account.
type worker struct {
	demo   *demo
	caller *caller.Caller
	name   string
	random *rand.Rand
	send   func(ctx context.Context, w *worker, n int)
	stop   <-chan struct{}
	done   *sync.WaitGroup
}

// run sends requests until the load is stopped; the last one still ends.
func (w *worker) run(ctx context.Context) error {
	defer w.done.Done()
	for n := range perWorker {
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

// load is the workers of all accounts.
type load struct {
	group *group.Group
	stop  chan struct{}
	done  sync.WaitGroup
}

// startLoad starts the workers.
func (d *demo) startLoad(ctx context.Context) (l *load, err error) {
	l = &load{group: group.New(ctx), stop: make(chan struct{})}
	kinds := []struct {
		name  string
		count int
		send  func(ctx context.Context, w *worker, n int)
	}{
		{"stream", 2, stream},
		{"whole", 1, whole},
		{"session", 2, session},
		{"booking", 2, booking},
		{"lookup", 1, lookup},
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

// end stops the workers and waits for the requests in progress.
func (l *load) end() error {
	close(l.stop)
	l.done.Wait()
	return l.group.Stop()
}

func (w *worker) model() string {
	if w.random.IntN(4) == 0 {
		return "large"
	}
	return "small"
}

func stream(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{Model: w.model(), Prompt: fmt.Sprintf("draft %d of %s", n, w.name), Stream: true})
}

func whole(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{Model: w.model(), Prompt: fmt.Sprintf("summary %d of %s", n, w.name)})
}

// session sends 20 requests per session, half of them streamed.
func session(ctx context.Context, w *worker, n int) {
	w.caller.SendChat(ctx, caller.ChatRequest{
		Model: "small", Prompt: fmt.Sprintf("turn %d of %s", n, w.name), Stream: n%2 == 0,
		Session: fmt.Sprintf("%s-%d", w.name, n/20),
	})
}

func booking(ctx context.Context, w *worker, n int) {
	w.caller.SendPlain(ctx, caller.PlainRequest{
		Service: "desk", Method: "POST", Path: "/bookings", NonIdempotent: true,
		Body: fmt.Appendf(nil, `{"by":%q,"visit":%d}`, w.name, n),
	})
}

func lookup(ctx context.Context, w *worker, n int) {
	w.caller.SendPlain(ctx, caller.PlainRequest{Service: "desk", Method: "GET", Path: fmt.Sprintf("/lookups/%s-%d", w.name, n)})
}
