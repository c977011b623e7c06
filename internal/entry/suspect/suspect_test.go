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

// recorder keeps the requests of a tracker and answers all with one standing.
type recorder struct {
	mu       sync.Mutex
	standing wire.Standing
	seen     []string
	// lost makes the answers to requests for a trial get lost.
	lost bool
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
	r.seen = append(r.seen, text)
	if r.lost && q.Move == wire.Move_MOVE_TRIAL {
		return nil, context.DeadlineExceeded
	}
	return reply, nil
}

// Guards against blame for requests that had not been sent, had ended, or ran
// beside a connection that broke alone.
func TestReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuses bool
		do      func(k *Tracker, u *wire.Upstream)
		want    string
	}{
		{"crash", true, func(k *Tracker, u *wire.Upstream) { broke(k, u); sent(k, u, "b") }, "CRASH a"},
		{"all in flight", true, func(k *Tracker, u *wire.Upstream) { sent(k, u, "b"); broke(k, u) }, "CRASH a b"},
		{"connection alone", false, func(k *Tracker, u *wire.Upstream) { sent(k, u, "b"); broke(k, u) }, "BREAK a"},
		{"not sent yet", true, func(k *Tracker, u *wire.Upstream) { k.Begin("b", "hill", u); broke(k, u) }, "CRASH a"},
		{"ended before", true, func(k *Tracker, u *wire.Upstream) { _ = sent(k, u, "b").Complete(context.Background()); broke(k, u) }, "CRASH a"},
		{"other incarnation", true, func(k *Tracker, u *wire.Upstream) {
			sent(k, &wire.Upstream{Name: u.Name, Incarnation: 2}, "b")
			broke(k, u)
		}, "CRASH a"},
		{"finished after all", true, func(k *Tracker, u *wire.Upstream) {
			r := sent(k, u, "b")
			broke(k, u)
			_ = r.Complete(context.Background())
		}, "CRASH a b, CLEAR b"},
		{"trial ended", true, func(k *Tracker, u *wire.Upstream) {
			r, _, _, _ := k.RequestTrial(context.Background(), "b", "hill", u)
			_ = r.End(context.Background())
		}, "TRIAL b, END b"},
		{"answer to the trial lost", true, func(k *Tracker, u *wire.Upstream) {
			k.options.Control.(*recorder).lost = true
			r, _, _, _ := k.RequestTrial(context.Background(), "b", "hill", u)
			_ = r.End(context.Background())
		}, "TRIAL b, END b"},
		{"abandoned", true, func(k *Tracker, u *wire.Upstream) { _ = sent(k, u, "b").Abandon(context.Background()) }, "CRASH b"},
		{"abandoned, no crash", false, func(k *Tracker, u *wire.Upstream) { _ = sent(k, u, "b").Abandon(context.Background()) }, ""},
		{"never sent", true, func(k *Tracker, u *wire.Upstream) {
			_, _ = k.Begin("b", "hill", u).ReportBrokenConnection(context.Background())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, r := timer.NewManual(), &recorder{standing: wire.Standing_STANDING_GRANTED}
			k := New(Options{Timer: timer.AutoAdvancing{Manual: m}, Control: r, RefusesConnections: func(context.Context, string) bool { return c.refuses }})
			c.do(k, &wire.Upstream{Name: "w1", Incarnation: 1})
			is.Equal(strings.Join(r.seen, ", "), c.want)
		})
	}
}

// Guards against the crash by a request whose caller has left before a busy upstream
// runs it: no connection breaks that would be reported.
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
			_ = sent(k, &wire.Upstream{Name: "w1", Incarnation: 1}, "b").Abandon(context.Background())
			is.Equal(strings.Join(r.seen, ", "), c.want)
		})
	}
}

// slow is a reporter whose crash reports wait until they are let through.
type slow struct {
	recorder
	asked, through chan struct{}
}

func (s *slow) Suspect(ctx context.Context, q *wire.SuspectRequest) (*wire.SuspectReply, error) {
	if q.Move == wire.Move_MOVE_CRASH {
		close(s.asked)
		<-s.through
	}
	return s.recorder.Suspect(ctx, q)
}

// Guards against a suspicion that stays: the clearance of a request that was answered
// reaches group 0 before the report that names it.
func TestClearanceAfterReport(t *testing.T) {
	is := is.New(t)
	s := &slow{recorder: recorder{standing: wire.Standing_STANDING_SUSPECTED}, asked: make(chan struct{}), through: make(chan struct{})}
	k := New(Options{Timer: timer.AutoAdvancing{Manual: timer.NewManual()}, Control: s, RefusesConnections: func(context.Context, string) bool { return true }})
	u := &wire.Upstream{Name: "w1", Incarnation: 1}
	answered := sent(k, u, "b")
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); broke(k, u) }()
	<-s.asked
	go func() { defer group.Done(); _ = answered.Complete(context.Background()) }()
	time.Sleep(50 * time.Millisecond) // time for a clearance that does not wait
	close(s.through)
	group.Wait()
	is.Equal(strings.Join(s.seen, ", "), "CRASH a b, CLEAR b")
}

func sent(k *Tracker, u *wire.Upstream, f Fingerprint) *Run {
	r := k.Begin(f, "hill", u)
	r.MarkSent()
	return r
}

func broke(k *Tracker, u *wire.Upstream) {
	_, _ = sent(k, u, "a").ReportBrokenConnection(context.Background())
}

func fields(text string) (f map[string]json.RawMessage) {
	_ = json.Unmarshal([]byte(text), &f)
	return f
}

// Guards against resends that pass for other requests, and other requests that pass for resends.
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

// BenchmarkRequest measures what an unsuspected request with a prompt of 4 KiB costs.
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
