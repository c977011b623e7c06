// Package tunnel lets an instance that is partitioned from upstreams reach them through another
// instance, which opens the connection and passes bytes on. Permission, retries and the framing of
// responses stay with the instance that serves the caller.
//
// A connection begins with Prefix, the length of a TunnelRequest in two bytes, big-endian, and the
// message. The reply is one status byte; statusClosed is followed by the time in milliseconds, in four
// bytes. The bytes of the request follow as they are; those of the
// response come in blocks, each after its length in two bytes. Length 0 is the end of the
// response. A connection that ends without it was interrupted: otherwise the end of a process in
// between would look like the end of a response that is framed by its connection.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Prefix distinguishes tunnels from other connections at the address of an instance.
const Prefix = "TUNNEL 1"

const (
	// lengthBytes is the size of a length, and waitBytes that of the time after statusClosed.
	lengthBytes = 2
	waitBytes   = 4
	// maxRequestBytes limits a TunnelRequest.
	maxRequestBytes = 1 << 10
	// blockBytes is the largest block of a response.
	blockBytes = 8 << 10
)

// status is the reply to a TunnelRequest.
type status byte

const (
	statusConnected status = iota + 1
	// statusRefused: the upstream refuses connections.
	statusRefused
	// statusUnreachable: the connection to the upstream could not be opened in time.
	statusUnreachable
	// statusDeclined: the instance does not know the upstream, is partitioned itself or serves
	// too many tunnels.
	statusDeclined
	// statusClosed: the upstream wants no requests of the instance for some time. Earlier versions
	// ask the next instance then, as for any status that they do not know.
	statusClosed
)

// ClosedError means that an upstream wants no requests of the other instance for some time.
type ClosedError struct{ Wait time.Duration }

// Error returns the text for the log.
func (e *ClosedError) Error() string {
	return "the upstream wants no requests of the other instance for " + e.Wait.String()
}

// ErrDeclined means that the other instance does not open the connection.
var ErrDeclined = errors.New("the other instance declined the connection")

// ErrUnreachable means that the other instance does not reach the upstream either.
var ErrUnreachable = errors.New("the other instance does not reach the upstream")

// err returns the error that a status stands for.
func (s status) err() error {
	switch s {
	case statusConnected:
		return nil
	case statusRefused:
		return syscall.ECONNREFUSED
	case statusUnreachable:
		return ErrUnreachable
	case statusDeclined:
		return ErrDeclined
	}
	return errors.Newf("unknown status %d of a tunnel", s)
}

// readStatus reads the reply to a TunnelRequest.
func readStatus(r io.Reader) error {
	var b [1]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return err
	}
	if status(b[0]) != statusClosed {
		return status(b[0]).err()
	}
	var wait [waitBytes]byte
	if _, err := io.ReadFull(r, wait[:]); err != nil {
		return err
	}
	return &ClosedError{time.Duration(binary.BigEndian.Uint32(wait[:])) * time.Millisecond}
}

// reply returns the bytes of a status. wait counts for statusClosed; a fraction of a millisecond is
// rounded up, so that it is never 0.
func (s status) reply(wait time.Duration) []byte {
	if s != statusClosed {
		return []byte{byte(s)}
	}
	wait += time.Millisecond - 1
	return binary.BigEndian.AppendUint32([]byte{byte(s)}, uint32(min(wait.Milliseconds(), math.MaxUint32)))
}

// writeRequest sends the prefix and the request.
func writeRequest(w io.Writer, q *wire.TunnelRequest) error {
	message, err := proto.Marshal(q)
	if err != nil {
		return err
	}
	if len(message) > maxRequestBytes {
		return errors.New("request of a tunnel is too long")
	}
	b := binary.BigEndian.AppendUint16([]byte(Prefix), uint16(len(message)))
	_, err = w.Write(append(b, message...))
	return err
}

// readRequest reads the request after the prefix.
func readRequest(r io.Reader) (q *wire.TunnelRequest, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "request of a tunnel")
		}
	}()
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxRequestBytes {
		return nil, errors.Newf("%d bytes, expected at most %d", n, maxRequestBytes)
	}
	message := make([]byte, n)
	if _, err := io.ReadFull(r, message); err != nil {
		return nil, err
	}
	q = &wire.TunnelRequest{}
	return q, proto.Unmarshal(message, q)
}

// conn is a connection to an upstream through another instance. Reads return the bytes of the
// response.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	remaining int  // bytes of the current block
	ended     bool // the end of the response was received
}

// Read reads from the response. It returns io.EOF only if the upstream has ended the connection.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.ended {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(c.reader, length[:]); err != nil {
			return 0, interrupted(err)
		}
		if c.remaining = int(binary.BigEndian.Uint16(length[:])); c.remaining == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	if err != nil {
		return n, interrupted(err)
	}
	return n, nil
}

// interrupted returns the error of a connection that ended before the response.
func interrupted(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "tunnel")
}
