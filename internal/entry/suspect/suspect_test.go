package suspect

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// recorder is a ControlClient that records the tracker's requests and replies to
// all of them with the same standing.
type recorder struct {
	mu       sync.Mutex
	standing wire.Standing
	requests []string
	// loseTrialReplies makes requests for a trial fail after they were recorded.
	loseTrialReplies bool
}

func (r *recorder) Suspect(_ context.Context, q *wire.SuspectRequest) (*wire.SuspectReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.TrimPrefix(q.Move.String(), "MOVE_")
	reply := &wire.SuspectReply{}
	for _, s := range q.Suspects {
		text += " " + s.Fingerprint
		reply.Standings = append(reply.Standings, r.standing)
	}
	r.requests = append(r.requests, text)
	if r.loseTrialReplies && q.Move == wire.Move_MOVE_TRIAL {
		return nil, context.DeadlineExceeded
	}
	return reply, nil
}

// Guards against suspicion of requests that had not been sent yet, had already
// ended, or ran on an upstream that lost a single connection without crashing.
func TestReportedRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuses bool
		do      func(k *Tracker, u *wire.Upstream)
		want    string
	}{
		{"crash", true, func(k *Tracker, u *wire.Upstream) { breakRun(k, u); startRun(k, u, "b") }, "CRASH a"},
		{"crash reports all runs in flight", true, func(k *Tracker, u *wire.Upstream) { startRun(k, u, "b"); breakRun(k, u) }, "CRASH a b"},
		{"broken connection without a crash", false, func(k *Tracker, u *wire.Upstream) { startRun(k, u, "b"); breakRun(k, u) }, "BREAK a"},
		{"other run not sent yet", true, func(k *Tracker, u *wire.Upstream) { k.Begin("b", "hill", u); breakRun(k, u) }, "CRASH a"},
		{"other run completed before the crash", true, func(k *Tracker, u *wire.Upstream) {
			_ = startRun(k, u, "b").Complete(context.Background())
			breakRun(k, u)
		}, "CRASH a"},
		{"other run on another incarnation", true, func(k *Tracker, u *wire.Upstream) {
			startRun(k, &wire.Upstream{Name: u.Name, Incarnation: 2}, "b")
			breakRun(k, u)
		}, "CRASH a"},
		{"other run completes after the crash report", true, func(k *Tracker, u *wire.Upstream) {
			r := startRun(k, u, "b")
			breakRun(k, u)
			_ = r.Complete(context.Background())
		}, "CRASH a b, CLEAR b"},
		{"trial ended", true, func(k *Tracker, u *wire.Upstream) {
			r, _, _, _ := k.RequestTrial(context.Background(), "b", "hill", u)
			_ = r.End(context.Background())
		}, "TRIAL b, END b"},
		{"reply to the trial request lost", true, func(k *Tracker, u *wire.Upstream) {
			k.options.Control.(*recorder).loseTrialReplies = true
			r, _, _, _ := k.RequestTrial(context.Background(), "b", "hill", u)
			_ = r.End(context.Background())
		}, "TRIAL b, END b"},
		{"abandoned", true, func(k *Tracker, u *wire.Upstream) { _ = startRun(k, u, "b").Abandon(context.Background()) }, "CRASH b"},
		{"abandoned without a crash", false, func(k *Tracker, u *wire.Upstream) { _ = startRun(k, u, "b").Abandon(context.Background()) }, ""},
		{"broken before it was sent", true, func(k *Tracker, u *wire.Upstream) {
			_, _ = k.Begin("b", "hill", u).ReportBrokenConnection(context.Background())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, r := timer.NewManual(), &recorder{standing: wire.Standing_STANDING_GRANTED}
			k := New(Options{Timer: timer.AutoAdvancing{Manual: m}, Control: r, RefusesConnections: func(context.Context, string) bool { return c.refuses }})
			c.do(k, &wire.Upstream{Name: "w1", Incarnation: 1})
			is.Equal(strings.Join(r.requests, ", "), c.want)
		})
	}
}

// Guards against an unreported crash by a request whose caller left before a busy
// upstream ran it: its connection was closed already, so no broken connection is seen.
func TestAbandonedLateCrash(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  string
	}{
		{0, "CRASH b"}, {200 * time.Millisecond, "CRASH b"}, {900 * time.Millisecond, "CRASH b"}, {time.Minute, ""},
	} {
		t.Run(c.after.String(), func(t *testing.T) {
			is := is.New(t)
			m, r := timer.NewManual(), &recorder{standing: wire.Standing_STANDING_SUSPECTED}
			down := m.Now().Add(c.after)
			k := New(Options{Timer: timer.AutoAdvancing{Manual: m}, Control: r, RefusesConnections: func(context.Context, string) bool { return m.Now() >= down }})
			_ = startRun(k, &wire.Upstream{Name: "w1", Incarnation: 1}, "b").Abandon(context.Background())
			is.Equal(strings.Join(r.requests, ", "), c.want)
		})
	}
}

// blockingRecorder is a recorder that holds crash reports back until release is closed.
type blockingRecorder struct {
	recorder
	received, release chan struct{}
}

func (s *blockingRecorder) Suspect(ctx context.Context, q *wire.SuspectRequest) (*wire.SuspectReply, error) {
	if q.Move == wire.Move_MOVE_CRASH {
		close(s.received)
		<-s.release
	}
	return s.recorder.Suspect(ctx, q)
}

// Guards against a completed request that stays suspected because its clearance
// reaches group 0 before the crash report that includes it.
func TestClearanceAfterReport(t *testing.T) {
	is := is.New(t)
	s := &blockingRecorder{recorder: recorder{standing: wire.Standing_STANDING_SUSPECTED}, received: make(chan struct{}), release: make(chan struct{})}
	k := New(Options{Timer: timer.AutoAdvancing{Manual: timer.NewManual()}, Control: s, RefusesConnections: func(context.Context, string) bool { return true }})
	u := &wire.Upstream{Name: "w1", Incarnation: 1}
	completed := startRun(k, u, "b")
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); breakRun(k, u) }()
	<-s.received
	go func() { defer group.Done(); _ = completed.Complete(context.Background()) }()
	time.Sleep(50 * time.Millisecond) // enough for a clearance that wrongly doesn't wait
	close(s.release)
	group.Wait()
	is.Equal(strings.Join(s.requests, ", "), "CRASH a b, CLEAR b")
}

// startRun starts a run of the request with the fingerprint f and marks it as sent.
func startRun(k *Tracker, u *wire.Upstream, f Fingerprint) *Run {
	r := k.Begin(f, "hill", u)
	r.MarkSent()
	return r
}

// breakRun runs the request "a" and reports that its connection broke.
func breakRun(k *Tracker, u *wire.Upstream) {
	_, _ = startRun(k, u, "a").ReportBrokenConnection(context.Background())
}

func fields(text string) (f map[string]json.RawMessage) {
	_ = json.Unmarshal([]byte(text), &f)
	return f
}

// Guards against resends with a new fingerprint and different requests with the same one.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	first := ChatFingerprint("hill", fields(`{"model":"m","messages":[{"role":"user"}],"stream":true,"user":"x"}`))
	for _, c := range []struct {
		account, text string
		same          bool
	}{
		{"hill", `{ "messages": [{"role":"user"}], "model":"m"}`, true},
		{"hill", `{"model":"m","messages":[{"role":"user"}],"metadata":{"try":2}}`, true},
		{"hill", `{"model":"m","messages":[{"role":"us er"}]}`, false},
		{"dale", `{"model":"m","messages":[{"role":"user"}]}`, false},
		{"hill", `{"model":"m","messages":[{"role":"system"}]}`, false},
		{"hill", `{"model":"m","messages":[{"role":"user"}],"max_tokens":3}`, false},
	} {
		is.Equal(ChatFingerprint(c.account, fields(c.text)) == first, c.same)
	}
	is.True(PlainFingerprint("a", []byte("b"), []byte("c")) != PlainFingerprint("a", []byte("bc")))
}

// BenchmarkRequest measures the overhead for a request with a 4 KiB prompt that is not suspected.
func BenchmarkRequest(b *testing.B) {
	f := fields(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 800) + `"}]}`)
	k := New(Options{})
	u := &wire.Upstream{Name: "w1", Incarnation: 1}
	b.ReportAllocs()
	for b.Loop() {
		r := k.Begin(ChatFingerprint("hill", f), "hill", u)
		r.MarkSent()
		_ = r.Complete(context.Background())
	}
}
