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

// findings collects what one check finds wrong. All findings are counted; the first three are kept
// as examples for the report.
type findings struct {
	count    int
	examples []string
}

// add records a finding, formatted as by fmt.Sprintf.
func (f *findings) add(format string, args ...any) {
	f.count++
	if len(f.examples) < 3 {
		f.examples = append(f.examples, fmt.Sprintf(format, args...))
	}
}

// err returns the findings as an error, or nil if there are none.
func (f *findings) err() error {
	if f.count == 0 {
		return nil
	}
	return errors.Newf("%d: %s", f.count, strings.Join(f.examples, "; "))
}

// allRecords returns the requests of all accounts.
func (d *demo) allRecords() (all []caller.Record) {
	for _, a := range accounts {
		all = append(all, d.callers[a].History().Records()...)
	}
	return all
}

// runChecks compares what the callers observed with the runs of the upstreams and the ledger.
func (d *demo) runChecks(ctx context.Context) error {
	all := d.allRecords()
	d.report(all)
	d.check("every answer is whole and belongs to its request", d.checkAnswers(all))
	d.check("every chat request and lookup is answered in the end", d.checkAnswered(all))
	d.check("sessions keep their version unless told otherwise", d.checkSessions(all))
	small, err := d.runCounts(d.smallEngines...)
	if err != nil {
		return err
	}
	large, err := d.runCounts(d.largeEngines...)
	if err != nil {
		return err
	}
	desks, err := d.runCounts(d.deskServices...)
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
	if d.drainStart > 0 {
		d.check("no request is interrupted by the drain", checkUninterrupted(all, d.drainStart))
	}
	for _, m := range d.monitors {
		polls, violation := m.result()
		d.check(fmt.Sprintf("%s reports no older revision in %d polls", m.instance.Name, polls), violation)
	}
	if d.versionWithdrawn {
		d.check("the withdrawn version gets no run after the change is in force", d.checkWithdrawn(ctx))
		d.check(fmt.Sprintf("the change is in force within 3 s (%s)", d.propagationTime), checkDuration(d.propagationTime, 3*time.Second))
	}
	return nil
}

// checkDuration checks that a duration does not exceed a limit.
func checkDuration(got, limit time.Duration) error {
	if got > limit {
		return errors.Newf("%s is more than %s", got, limit)
	}
	return nil
}

// report prints the outcomes and latencies of the requests.
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
	d.logf("requests: %v", counts)
	d.logf("longest request %d ms, longest time without an answer %d ms", longest.Milliseconds(), longestSilence(all).Milliseconds())
	for _, a := range accounts {
		s := d.callers[a].History().Summary()
		d.logf("%s: %d answered, p50 %d ms, p99 %d ms, first token p50 %d ms, p99 %d ms, gap p99 %d ms", a,
			s.Latency.TotalCount(), s.Latency.ValueAtQuantile(50)/1000, s.Latency.ValueAtQuantile(99)/1000,
			s.FirstContent.ValueAtQuantile(50)/1000, s.FirstContent.ValueAtQuantile(99)/1000, s.EventGap.ValueAtQuantile(99)/1000)
	}
}

// longestSilence returns the longest time between two successive successful responses.
func longestSilence(all []caller.Record) (longest time.Duration) {
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

// checkAnswers checks that no response was wrong.
func (d *demo) checkAnswers(all []caller.Record) error {
	var f findings
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

// checkAnswered checks that all requests except bookings, whose outcome may stay unknown, were answered
// after all attempts.
func (d *demo) checkAnswered(all []caller.Record) error {
	var f findings
	for _, r := range all {
		if r.IdempotencyKey == "" && r.Outcome != caller.Answered {
			f.add("%s %s %s after %d attempts, status %d: %s", r.Kind, r.RequestID, r.Outcome, r.Attempts, r.Status, r.Message)
		}
	}
	return f.err()
}

// checkSessions checks that a session changes its model version only if the response says so. It
// relies on the order of the records, as the requests of a session are sent one after the other.
func (d *demo) checkSessions(all []caller.Record) error {
	var f findings
	version := map[string]string{}
	for _, r := range all {
		if r.Session == "" || r.Outcome != caller.Answered {
			continue
		}
		if r.Model == "" {
			f.add("answer to %s names no model and version", r.RequestID)
		}
		if previous := version[r.Session]; previous != "" && previous != r.Model && !r.SessionMoved {
			f.add("session %s went from %s to %s", r.Session, previous, r.Model)
		}
		version[r.Session] = r.Model
	}
	if len(version) == 0 {
		f.add("no session was answered")
	}
	return f.err()
}

// checkBookings checks that each answered booking ran exactly once and every other at most once.
func checkBookings(all []caller.Record, runs map[string]int) error {
	var f findings
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

// checkNotRun checks that no request ran whose caller was told that it did not.
func checkNotRun(all []caller.Record, counts ...map[string]int) error {
	var f findings
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

// checkUninterrupted checks that no request that began after an instant lost its connection.
func checkUninterrupted(all []caller.Record, since timer.Instant) error {
	var f findings
	for _, r := range all {
		if r.Interrupted > 0 && since.Before(r.Begin) {
			f.add("%s %s broke %d times, at last through %s: %s", r.Target, r.RequestID, r.Interrupted, r.Entry, r.Message)
		}
	}
	return f.err()
}

// checkModels checks that chat requests ran only on the model that they name, and that the response
// names it.
func checkModels(all []caller.Record, small, large map[string]int) error {
	var f findings
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

// prices are the prices per input and output token of each model, as in the document of the pool.
var prices = map[string][2]uint64{"small": {1, 2}, "large": {5, 10}}

// priceOfRecord returns the price of an answered request.
func priceOfRecord(r caller.Record) uint64 {
	switch {
	case r.Kind == caller.KindChat:
		p := prices[r.Target]
		return p[0]*uint64(r.Usage.PromptTokens) + p[1]*uint64(r.Usage.CompletionTokens)
	case r.IdempotencyKey != "":
		return bookingPrice
	}
	return lookupPrice
}

// chargeID returns the ID under which a request is charged. Requests with the same idempotency key
// are charged once.
func chargeID(r caller.Record) string {
	if r.IdempotencyKey != "" {
		return "key:" + r.IdempotencyKey
	}
	return r.RequestID
}

// checkCharges checks that each answered request of an account is charged once at its price, and
// that no request is charged that was refused without being run.
func checkCharges(account string, records []caller.Record, l cluster.Ledger) error {
	var f findings
	charged := map[string][]cluster.Charge{}
	for _, c := range l.Charges {
		if c.Account == account {
			charged[c.Request] = append(charged[c.Request], c)
		}
	}
	for _, r := range records {
		list := charged[chargeID(r)]
		switch {
		case r.Outcome == caller.Answered && len(list) != 1:
			f.add("%s %s is answered and charged %d times", r.Target, r.RequestID, len(list))
		case r.Outcome == caller.Answered && list[0].Amount != priceOfRecord(r):
			f.add("%s %s is charged %d instead of %d", r.Target, r.RequestID, list[0].Amount, priceOfRecord(r))
		case r.Outcome == caller.NotRun && len(list) != 0:
			f.add("%s %s is refused as not run and charged", r.Target, r.RequestID)
		case len(list) > 1:
			f.add("%s %s is %s and charged %d times", r.Target, r.RequestID, r.Outcome, len(list))
		}
	}
	return f.err()
}

// checkTotals checks that the totals of the ledger equal the sums of its charges.
func checkTotals(l cluster.Ledger) error {
	var f findings
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

// checkWithdrawn checks that the withdrawn version has not run a request since the change was in force.
func (d *demo) checkWithdrawn(ctx context.Context) error {
	counts, err := d.cluster.RunCounts(ctx, d.smallEngines[0])
	if err != nil {
		return err
	}
	if d.withdrawnRuns.Started == 0 {
		return errors.New("the withdrawn version ran no request before the change either")
	}
	if counts.Started != d.withdrawnRuns.Started {
		return errors.Newf("%d runs after the change", counts.Started-d.withdrawnRuns.Started)
	}
	return nil
}
