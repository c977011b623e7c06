package caller

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an identifier that can't be sent to the control group: the work would be done, and its
// charge or its claim could not be recorded.
func TestIdentifiers(t *testing.T) {
	for _, c := range []struct {
		name, header, value string
		status              int
	}{
		{"request id", "X-Request-Id", "r1", 201},
		{"request id that is no text", "X-Request-Id", "r\xff", 400},
		{"session that is no text", headerSession, "s\xff", 400},
		{"key that is no text", "Idempotency-Key", "k\xff", 400},
		{"long key", "Idempotency-Key", strings.Repeat("k", maxIdentifierBytes+1), 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(deskDocument())
			desk := startBookingService(t, f, "d1", nil)
			_, s := newHandler(t, f, nil)
			r, _ := send(t, "POST", s.URL+bookingsPath, "{}", "Idempotency-Key", "k1", c.header, c.value)
			is.Equal(r.StatusCode, c.status)
			is.Equal(desk.runs == 0, c.status == 400)
		})
	}
}
