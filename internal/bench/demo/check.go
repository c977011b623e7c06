package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// faults collects the faults that one check finds; only the first are printed.
type faults struct {
	count int
	first []string
}

func (f *faults) add(format string, args ...any) {
	f.count++
	if len(f.first) < 3 {
		f.first = append(f.first, fmt.Sprintf(format, args...))
	}
}

func (f *faults) err() error {
	if f.count == 0 {
		return nil
	}
	return errors.Newf("%d: %s", f.count, strings.Join(f.first, "; "))
}

// history returns the records of all accounts.
func (d *demo) history() (all []caller.Record) {
	for _, a := range accounts {
		all = append(all, d.callers[a].History().Records()...)
	}
	return all
}

// checks compares what the callers saw with the upstreams and the ledger.
func (d *demo) checks(ctx context.Context) error {
	all := d.history()
	d.report(all)
	d.check("every answer is whole and belongs to its request", d.checkAnswers(all))
	d.check("every chat request and lookup is answered in the end", d.checkAnswered(all))
	d.check("sessions keep their version unless told otherwise", d.checkSessions(all))
	small, err := d.runs(d.small...)
	if err != nil {
		return err
	}
	large, err := d.runs(d.large...)
	if err != nil {
		return err
	}
	desks, err := d.runs(d.desk...)
	if err != nil {
		return err
	}
	d.check("every booking ran at most once, every answered one exactly once", checkBookings(all, desks))
	d.check("nothing that was refused as not run has run", checkNotRun(all, small, large, desks))
	d.check("no request ran on a model that it did not ask for", checkModels(all, small, large))
	l, err := d.cluster.Ledger(ctx)
	if err != nil {
		return err
	}
	for _, a := range accounts {
		d.check("every answered request of "+a+" is charged once, at its price",
			checkCharges(a, d.callers[a].History().Records(), l))
	}
	d.check("the totals of the ledger match its charges", checkTotals(l))
	if d.drained > 0 {
		d.check("no request is interrupted by the drain", checkUnbroken(all, d.drained))
	}
	for _, m := range d.monitors {
		polls, bad := m.result()
		d.check(fmt.Sprintf("%s reports no older revision in %d polls", m.instance.Name, polls), bad)
	}
	if d.changed {
		d.check("the withdrawn version gets no run after the change is in force", d.checkWithdrawn(ctx))
		d.check(fmt.Sprintf("the change is in force within 3 s (%s)", d.elapsed), late(d.elapsed, 3*time.Second))
	}
	return nil
}

func late(got, bound time.Duration) error {
	if got > bound {
		return errors.Newf("%s is more than %s", got, bound)
	}
	return nil
}

// report prints the outcomes and latencies.
func (d *demo) report(all []caller.Record) {
	counts := map[string]int{}
	var longest time.Duration
	for _, r := range all {
		kind := string(r.Kind)
		if r.IdempotencyKey != "" {
			kind = "booking"
		}
		counts[kind+" "+string(r.Outcome)]++
		if r.Attempts > 1 {
			counts[kind+" resent"]++
		}
		longest = max(longest, r.End.Sub(r.Begin))
	}
	d.note("requests: %v", counts)
	d.note("longest request %d ms, longest time without an answer %d ms", longest.Milliseconds(), silence(all).Milliseconds())
	for _, a := range accounts {
		s := d.callers[a].History().Summary()
		d.note("%s: %d answered, p50 %d ms, p99 %d ms, first token p50 %d ms, p99 %d ms, gap p99 %d ms", a,
			s.Latency.TotalCount(), s.Latency.ValueAtQuantile(50)/1000, s.Latency.ValueAtQuantile(99)/1000,
			s.FirstContent.ValueAtQuantile(50)/1000, s.FirstContent.ValueAtQuantile(99)/1000, s.EventGap.ValueAtQuantile(99)/1000)
	}
}

// silence returns the longest time in which no request was answered.
func silence(all []caller.Record) (longest time.Duration) {
	var ends []timer.Instant
	for _, r := range all {
		if r.Outcome == caller.Answered {
			ends = append(ends, r.End)
		}
	}
	slices.Sort(ends)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}

func (d *demo) checkAnswers(all []caller.Record) error {
	var f faults
	for _, r := range all {
		if r.Outcome == caller.Invalid {
			f.add("%s through %s: %s", r.RequestID, r.Entry, r.Message)
		}
	}
	if len(all) == 0 {
		f.add("no request was sent")
	}
	return f.err()
}

func (d *demo) checkAnswered(all []caller.Record) error {
	var f faults
	for _, r := range all {
		if r.IdempotencyKey == "" && r.Outcome != caller.Answered {
			f.add("%s %s %s after %d attempts, status %d: %s", r.Kind, r.RequestID, r.Outcome, r.Attempts, r.Status, r.Message)
		}
	}
	return f.err()
}

// checkSessions relies on the order of each session's records: a session's
// requests are sent one after the other.
func (d *demo) checkSessions(all []caller.Record) error {
	var f faults
	version := map[string]string{}
	for _, r := range all {
		if r.Session == "" || r.Outcome != caller.Answered {
			continue
		}
		if r.Model == "" {
			f.add("answer to %s names no model and version", r.RequestID)
		}
		if was := version[r.Session]; was != "" && was != r.Model && !r.SessionMoved {
			f.add("session %s went from %s to %s", r.Session, was, r.Model)
		}
		version[r.Session] = r.Model
	}
	if len(version) == 0 {
		f.add("no session was answered")
	}
	return f.err()
}

func checkBookings(all []caller.Record, runs map[string]int) error {
	var f faults
	answered := 0
	for _, r := range all {
		if r.IdempotencyKey == "" {
			continue
		}
		n := runs[r.IdempotencyKey]
		if r.Outcome == caller.Answered {
			answered++
			if n != 1 {
				f.add("%s is answered and ran %d times", r.IdempotencyKey, n)
			}
			continue
		}
		if n > 1 {
			f.add("%s is %s and ran %d times", r.IdempotencyKey, r.Outcome, n)
		}
	}
	if answered == 0 {
		f.add("no booking was answered")
	}
	return f.err()
}

func checkNotRun(all []caller.Record, counts ...map[string]int) error {
	var f faults
	for _, r := range all {
		if r.Outcome != caller.NotRun {
			continue
		}
		for _, c := range counts {
			if n := c[r.RequestID] + c[r.IdempotencyKey]; n > 0 {
				f.add("%s ran %d times: %s", r.RequestID, n, r.Message)
			}
		}
	}
	return f.err()
}

// checkUnbroken looks for requests that began later than an instant and lost a connection.
func checkUnbroken(all []caller.Record, since timer.Instant) error {
	var f faults
	for _, r := range all {
		if r.Interrupted > 0 && since.Before(r.Begin) {
			f.add("%s %s broke %d times, at last through %s: %s", r.Target, r.RequestID, r.Interrupted, r.Entry, r.Message)
		}
	}
	return f.err()
}

func checkModels(all []caller.Record, small, large map[string]int) error {
	var f faults
	for _, r := range all {
		if r.Kind != caller.KindChat {
			continue
		}
		other := small
		if r.Target == "small" {
			other = large
		}
		if other[r.RequestID] > 0 {
			f.add("%s asked for %s and ran on the other model", r.RequestID, r.Target)
		}
		if r.Outcome == caller.Answered && !strings.HasPrefix(r.Model, r.Target+"@") {
			f.add("%s asked for %s and got an answer of %q", r.RequestID, r.Target, r.Model)
		}
	}
	return f.err()
}

// prices are the prices per input and output token in the pool's document.
var prices = map[string][2]uint64{"small": {1, 2}, "large": {5, 10}}

// price returns what the account owes for an answered request.
func price(r caller.Record) uint64 {
	switch {
	case r.Kind == caller.KindChat:
		p := prices[r.Target]
		return p[0]*uint64(r.Usage.PromptTokens) + p[1]*uint64(r.Usage.CompletionTokens)
	case r.IdempotencyKey != "":
		return bookingPrice
	}
	return lookupPrice
}

// identity is what a request is charged under: all requests with one key are
// one booking.
func identity(r caller.Record) string {
	if r.IdempotencyKey != "" {
		return "key:" + r.IdempotencyKey
	}
	return r.RequestID
}

func checkCharges(account string, records []caller.Record, l cluster.Ledger) error {
	var f faults
	charged := map[string][]cluster.Charge{}
	for _, c := range l.Charges {
		if c.Account == account {
			charged[c.Request] = append(charged[c.Request], c)
		}
	}
	for _, r := range records {
		list := charged[identity(r)]
		switch {
		case r.Outcome == caller.Answered && len(list) != 1:
			f.add("%s %s is answered and charged %d times", r.Target, r.RequestID, len(list))
		case r.Outcome == caller.Answered && list[0].Amount != price(r):
			f.add("%s %s is charged %d instead of %d", r.Target, r.RequestID, list[0].Amount, price(r))
		case r.Outcome == caller.NotRun && len(list) != 0:
			f.add("%s %s is refused as not run and charged", r.Target, r.RequestID)
		case len(list) > 1:
			f.add("%s %s is %s and charged %d times", r.Target, r.RequestID, r.Outcome, len(list))
		}
	}
	return f.err()
}

func checkTotals(l cluster.Ledger) error {
	var f faults
	type sum struct{ requests, amount uint64 }
	sums := map[string]sum{}
	for _, c := range l.Charges {
		s := sums[c.Account+" "+c.Service]
		sums[c.Account+" "+c.Service] = sum{s.requests + 1, s.amount + c.Amount}
	}
	for _, t := range l.Totals {
		key := t.Account + " " + t.Service
		if got := sums[key]; got != (sum{t.Requests, t.Amount}) {
			f.add("%s: charges %+v, total %d requests, amount %d", key, got, t.Requests, t.Amount)
		}
		delete(sums, key)
	}
	for key := range sums {
		f.add("%s has charges and no total", key)
	}
	return f.err()
}

func (d *demo) checkWithdrawn(ctx context.Context) error {
	t, err := d.cluster.RunCounts(ctx, d.small[0])
	if err != nil {
		return err
	}
	if d.withdrawn.Started == 0 {
		return errors.New("the version had no run before the change either")
	}
	if t.Started != d.withdrawn.Started {
		return errors.Newf("%d runs", t.Started-d.withdrawn.Started)
	}
	return nil
}
