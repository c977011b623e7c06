package journal

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

// Guards against a log that blocks its callers or uses unlimited memory while its output
// is blocked, and against lines that are dropped without being counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 10 * maxBufferedBytes / len(line) {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	close(out.release)
	time.Sleep(4 * flushInterval)
	_, err := b.Write([]byte("last\n"))
	is.NoErr(err)
	is.NoErr(b.Close())
	text := out.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(strings.HasSuffix(text, "last\n"))
	is.True(len(text) < 3*maxBufferedBytes)
}

// Guards against a process that does not end while its output is blocked, so that it is not started again.
func TestCloseWithBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	b := NewBoundedWriter(out)
	_, err := b.Write([]byte("line\n"))
	is.NoErr(err)
	closed := make(chan error, 1)
	go func() { closed <- b.Close() }()
	select {
	case err := <-closed:
		is.True(err != nil) // lines are lost
	case <-time.After(2 * time.Second):
		t.Fatal("Close waits for the output")
	}
}
