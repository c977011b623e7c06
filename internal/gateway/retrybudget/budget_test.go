package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against more repeats than the deployment allows while the instances hear
// nothing of each other: an outage in which every request fails at every instance.
func TestOutage(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	l := Limits{RetryRatio: 0.9, ExtraRetries: 64, Window: 10 * time.Second}
	const instances = 12
	var all []*Budget
	for range instances {
		all = append(all, New(l, clock))
	}
	requests, repeats := 0, 0
	for range 100 { // one window of 100 requests/s, each tried up to 4 times
		clock.Advance(100 * time.Millisecond)
		for i := range 10 {
			b := all[i%instances]
			b.CountRequest("s")
			requests++
			for range 3 {
				if b.AllowRetry("s", UpstreamFailure, instances) {
					repeats++
				}
			}
		}
	}
	is.True(float64(repeats) <= l.RetryRatio*float64(requests)+float64(l.ExtraRetries))
	is.True(repeats > requests/3)
}

// Guards against a budget that one service's failures take from another, and against
// an instance without traffic that can never repeat its first request.
func TestServices(t *testing.T) {
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

// Replays a cascade that drops half of its first answers, and the crash of an upstream
// in the middle of many streams: these must find budget to go on elsewhere.
func TestReserve(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	b := New(Limits{RetryRatio: 0.9, ExtraRetries: 58, Window: 10 * time.Second}, clock)
	better := 0
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		b.CountRequest("s")
		if b.AllowRetry("s", LowConfidence, 9) {
			better++
		}
	}
	is.True(better > 45)
	resumed := 0
	for range 20 {
		if b.AllowRetry("s", UpstreamFailure, 9) {
			resumed++
		}
	}
	is.Equal(resumed, 20)
}
