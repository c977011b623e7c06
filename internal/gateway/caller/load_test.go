package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// load sends numbered requests at an interval until the context is done.
type load struct {
	interval time.Duration
	send     func(number int)
	requests sync.WaitGroup
}

// prompts is a load of requests with a prompt, each with another last part and body, as new
// requests have.
func prompts(f *fixture, interval time.Duration, prompt string) *load {
	return &load{interval: interval, send: func(number int) {
		id := prompt + strconv.Itoa(number)
		f.do("POST", "/draft/1", id, "Model", "*", "Request-Id", id, "Prompt", prompt+",own"+strconv.Itoa(number)+":9")
	}}
}

// lookups is a load of different requests that may be repeated.
func lookups(f *fixture, interval time.Duration) *load {
	return &load{interval: interval, send: func(number int) {
		f.do("GET", "/look/"+strconv.Itoa(number), "", "Request-Id", "l"+strconv.Itoa(number))
	}}
}

func (l *load) loop(ctx context.Context) error {
	ticks := timer.NewSystem().Subscribe(l.interval)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.requests.Wait()
			return nil
		case <-ticks.C:
		}
		l.requests.Add(1)
		go (&loadRequest{l, n}).run()
	}
}

// delayedLoad is a load whose first interval begins at an instant.
type delayedLoad struct {
	start time.Time
	*load
}

func (d *delayedLoad) loop(ctx context.Context) error {
	if timer.Sleep(ctx, timer.NewSystem(), time.Until(d.start)) != nil {
		return nil
	}
	return d.load.loop(ctx)
}

// returning counts the requests of callers that come back once after a refusal, as late as they are told
// to but by a third of the time that they have left.
type returning struct {
	*fixture
	since, end time.Time // requests sent from since until end count

	mu           sync.Mutex
	sent, served int
}

// send sends a request until it is served, and once more after a refusal.
func (r *returning) send(number int) {
	start, status := time.Now(), 0
	for try := range 2 {
		left := testTimeout - time.Since(start)
		a := r.do("GET", "/look/"+r.name+"-"+strconv.Itoa(number), "", "Request-Id", r.name+"-"+strconv.Itoa(number)+"-"+strconv.Itoa(try),
			"Deadline", strconv.FormatInt(left.Milliseconds(), 10))
		if status = a.status; status != http.StatusServiceUnavailable {
			break
		}
		pause, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		r.NoErr(err)
		time.Sleep(min(time.Duration(pause*float64(time.Second)), (testTimeout-time.Since(start))/3))
	}
	if start.Before(r.since) || start.After(r.end) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if status == http.StatusOK {
		r.served++
	}
}

type loadRequest struct {
	*load
	number int
}

func (r *loadRequest) run() {
	defer r.requests.Done()
	r.send(r.number)
}
