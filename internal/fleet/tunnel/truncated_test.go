package tunnel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// uploadBytes is more than the socket buffers of all connections of a tunnel hold.
const uploadBytes = 32 << 20

// Guards against a part of a response that gets the mark of a complete one: when the upstream resets the
// connection during an upload, the write of the other instance takes the error and its read sees a plain end.
func TestResetDuringUpload(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(c *net.TCPConn)
		repeat   int // the reset reaches the write or the read first by chance
		complete bool
	}{
		{"reset", func(c *net.TCPConn) {
			time.Sleep(5 * time.Millisecond) // mostly until the upload waits for the upstream
			_ = c.SetLinger(0)
			_ = c.Close()
		}, 20, false},
		{"read", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.CopyN(io.Discard, c, uploadBytes) }, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &helper{name: "h", token: "t"}
			h.upstream = startUpstream(t, func(n *net.TCPConn) {
				_, _ = io.WriteString(n, "part")
				c.end(n)
			})
			h.start(t)
			client := newTestClient(h)
			for range c.repeat {
				n, err := client.Dial(context.Background(), "u", 1)
				is.NoErr(err)
				u := &upload{conn: n, done: make(chan error, 1)}
				go u.run()
				_, err = io.ReadAll(n)
				is.Equal(err == nil, c.complete)
				if c.complete {
					is.NoErr(<-u.done)
				}
				is.NoErr(n.Close())
			}
		})
	}
}

// upload writes a long request.
type upload struct {
	conn net.Conn
	done chan error
}

func (u *upload) run() {
	_, err := u.conn.Write(make([]byte, uploadBytes))
	u.done <- err
}

// Guards against the mark of a complete response while the upstream neither reads the request nor resets
// the connection, and against a wait without end for that.
func TestWriteInProgress(t *testing.T) {
	for _, c := range []struct {
		name   string
		read   int64 // bytes of the block that the upstream reads
		failed bool
	}{
		{"block read in part", 1, true},
		{"block read", 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer func() { is.NoErr(far.Close()) }()
			r := &requestCopier{tunnel: &tunnel{server: NewServer(Options{Timer: timer.NewSystem()}), upstream: near}}
			w := &blockWrite{r, make(chan error, 1)}
			go w.run()
			_, err := io.CopyN(io.Discard, far, c.read)
			is.NoErr(err)
			is.Equal(r.writeFailed(), c.failed)
			is.Equal(<-w.done != nil, c.failed)
		})
	}
}

// blockWrite passes a block of four bytes on.
type blockWrite struct {
	copier *requestCopier
	done   chan error
}

func (w *blockWrite) run() { w.done <- w.copier.write([]byte("ping")) }
