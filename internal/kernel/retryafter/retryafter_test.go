package retryafter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a value without a meaning that stops requests for long, or not at all, and against a
// long time that is cut to the short default.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		value string
		d     time.Duration
		ok    bool
	}{
		{"2", 2 * time.Second, true},
		{"0.25", 250 * time.Millisecond, true},
		{"0", 0, true},
		{"90", 90 * time.Second, true},
		{"86400", Max, true},
		{"86401", Max, false},
		{"-1", Default, false},
		{"NaN", Default, false},
		{"-1e999", Default, false},
		{"1e9", Max, false},
		{"1e999", Max, false},
		{"Inf", Default, false},
		{"soon", Default, false},
		{"Fri, 04 Dec 2026 21:14:37 GMT", Default, false},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			d, err := Parse(c.value)
			is.Equal(err == nil, c.ok)
			is.Equal(d, c.d)
		})
	}
}
