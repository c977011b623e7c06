package journal

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck blocks every write until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// Guards against a log that blocks requests or grows without bound while its reader
// is stuck, and against lines that are lost without a trace.
func TestBounded(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	for range 10 * boundedBytes / len(line) {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	close(out.release)
	time.Sleep(4 * boundedPause)
	_, err := b.Write([]byte("last\n"))
	is.NoErr(err)
	is.NoErr(b.Close())
	text := out.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(strings.HasSuffix(text, "last\n"))
	is.True(len(text) < 3*boundedBytes)
}
