package outage

import (
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against runs that pass although the first read after a return is too late or never comes,
// or reads are missing for too long in calm.
func TestFirstReadAndGap(t *testing.T) {
	for _, c := range []struct {
		name   string
		reads  []time.Duration // after the return
		broken string
		ended  bool
	}{
		{name: "in time", reads: []time.Duration{11 * time.Second}},
		{name: "late", reads: []time.Duration{13 * time.Second}, broken: "first read gap"},
		{name: "never", broken: "end gap", ended: true},
		{name: "gap that has ended", reads: []time.Duration{time.Second, 14 * time.Second, 15 * time.Second}, broken: "gap"},
		{name: "gap that goes on", reads: []time.Duration{time.Second, 2 * time.Second}, broken: "gap"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &run{
					Options: Options{Size: Small, Timer: timer.NewSystem(), Out: io.Discard},
					checks:  checks{counts: map[string]int{}},
				}
				time.Sleep(time.Second)
				r.touch()
				r.setQuiet(true)
				time.Sleep(time.Millisecond)
				end := r.Timer.Now()
				for _, d := range c.reads {
					time.Sleep(end.Add(d).Sub(r.Timer.Now()) - time.Millisecond)
					begin := r.Timer.Now()
					time.Sleep(time.Millisecond)
					r.recordRead(begin)
				}
				time.Sleep(max(0, end.Add(Small.Recovery+3*time.Second).Sub(r.Timer.Now())))
				is.NoErr(r.checkFirstRead(t.Context(), end))
				r.checkGap()
				var broken []string
				for kind := range r.checks.counts {
					if kind, ok := strings.CutPrefix(kind, "broken "); ok {
						broken = append(broken, kind)
					}
				}
				slices.Sort(broken)
				is.Equal(strings.Join(broken, " "), c.broken)
				is.Equal(r.ended, c.ended)
			})
		})
	}
}
