package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against more retries than the deployment allows when every request fails at every
// instance, and the instances don't know of each other's retries.
func TestOutage(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	l := Limits{RetryRatio: 0.9, ExtraRetries: 64, Window: 10 * time.Second}
	const instances = 12
	var budgets []*Budget
	for range instances {
		budgets = append(budgets, New(l, clock))
	}
	requests, retries := 0, 0
	for range 100 { // one window of 100 requests/s, each tried up to 4 times
		clock.Advance(100 * time.Millisecond)
		for i := range 10 {
			b := budgets[i%instances]
			b.CountRequest("s")
			requests++
			for range 3 {
				if b.AllowRetry("s", UpstreamFailure, instances) {
					retries++
				}
			}
		}
	}
	is.True(float64(retries) <= l.RetryRatio*float64(requests)+float64(l.ExtraRetries))
	is.True(retries > requests/3)
}

// Guards against failures of one service that use up the budget of another, and against an
// instance with little traffic that can't retry its first request.
func TestBudgetPerService(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	b := New(Limits{RetryRatio: 0.1, ExtraRetries: 1, Window: time.Second}, clock)
	b.CountRequest("a")
	is.True(b.AllowRetry("a", UpstreamFailure, 12))
	is.True(!b.AllowRetry("a", UpstreamFailure, 12))
	b.CountRequest("b")
	is.True(b.AllowRetry("b", UpstreamFailure, 12))
	clock.Advance(2 * time.Second)
	b.CountRequest("a")
	is.True(b.AllowRetry("a", UpstreamFailure, 12))
}

// Guards against escalations to larger models that leave no budget to resume streams
// elsewhere when an upstream crashes in the middle of many.
func TestReserveForFailures(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	b := New(Limits{RetryRatio: 0.9, ExtraRetries: 58, Window: 10 * time.Second}, clock)
	escalated := 0
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		b.CountRequest("s")
		if b.AllowRetry("s", LowConfidence, 9) {
			escalated++
		}
	}
	is.True(escalated > 45)
	resumed := 0
	for range 20 {
		if b.AllowRetry("s", UpstreamFailure, 9) {
			resumed++
		}
	}
	is.Equal(resumed, 20)
}
