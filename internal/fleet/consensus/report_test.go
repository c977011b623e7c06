package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against logs that don't tell whether a group ended because it had not been repaired: at each
// loss they say how many further losses it bears.
func TestReportLosses(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := newReporter(timer.NewManual(), zap.New(core))
	for _, c := range []struct {
		voters, missing int
		losses          int64
		message         string
	}{
		{3, 0, 1, "control group bears further losses"},
		{3, 0, 1, ""},
		{3, 1, 0, "control group bears no further loss"},
		{4, 1, 0, ""},
		{3, 0, 1, "control group bears further losses"},
		{2, 0, 0, "control group bears no further loss"},
		{7, 1, 2, "control group bears further losses"},
	} {
		o := Observation{Unreachable: map[replica.Identity]time.Duration{}}
		for i := range c.voters {
			m := member(i)
			o.Members = append(o.Members, m)
			if i < c.missing {
				o.Unreachable[m.Identity] = time.Second
			}
		}
		r.reportLosses(o)
		entries := logs.TakeAll()
		if c.message == "" {
			is.Equal(len(entries), 0)
			continue
		}
		is.Equal(len(entries), 1)
		is.Equal(entries[0].Message, c.message)
		is.Equal(entries[0].ContextMap()["losses"], c.losses)
	}
}

func member(i int) replica.Member {
	return replica.Member{Identity: replica.Identity(rune('a' + i)), Address: replica.Address(peerAddress(i)), Voter: true}
}

// Guards against logs that don't tell a repair that takes too long from other reasons for a missing
// leader.
func TestReportVote(t *testing.T) {
	for _, c := range []struct {
		delay    time.Duration
		messages []string
	}{
		{time.Second, []string{"info replica has a vote"}},
		{4 * time.Second, []string{"warn replica has no vote yet", "warn replica has a vote"}},
	} {
		is := is.New(t)
		core, logs := observer.New(zap.InfoLevel)
		clock := timer.NewManual()
		r := newReporter(clock, zap.New(core))
		for range 10 {
			clock.Advance(c.delay / 10)
			r.reportVote("a", nil)
		}
		for range 3 {
			r.reportVote("a", []replica.Member{member(0)})
		}
		var got []string
		for _, l := range logs.All() {
			got = append(got, l.Level.String()+" "+l.Message)
		}
		is.Equal(got, c.messages)
	}
}
