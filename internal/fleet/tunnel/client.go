package tunnel

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxHelpers limits the instances that are asked for one connection.
	maxHelpers = 3
	// helperTimeout limits the time that one of them may take.
	helperTimeout = 400 * time.Millisecond
	// bufferBytes holds a few blocks with an event each.
	bufferBytes = 4 << 10
)

// isEnd reports whether an error is the regular end of a connection.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// ClientOptions configures a client.
type ClientOptions struct {
	Token string
	Self  string // name of this instance
	Zone  string // availability zone of this instance
	// Instances returns the instances that are believed to run.
	Instances func() []*wire.Instance
	// Dial opens a connection to another instance.
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Timer timer.Service
	// Random must not be used elsewhere.
	Random *rand.Rand
	Log    *zap.Logger
}

// Client opens connections to upstreams through other instances. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	mu      sync.Mutex // guards Random
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client { return &Client{options: o} }

// Dial opens a connection to an incarnation of an upstream. The error is ECONNREFUSED if the
// upstream refuses connections, and a ClosedError if it wants no requests of the instance that was
// asked last.
func (c *Client) Dial(ctx context.Context, id string, born int64) (n net.Conn, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "reach %s through another instance", id)
		}
	}()
	err = errors.New("no other instance reaches upstreams")
	for _, helper := range c.helpers() {
		if n, err = c.dialThrough(ctx, helper.GetPeer(), id, born); err == nil {
			c.options.Log.Debug("tunnel", zap.String("upstream", id), zap.String("instance", helper.GetName()))
			return n, nil
		}
		c.options.Log.Info("no tunnel", zap.String("upstream", id), zap.String("instance", helper.GetName()), journal.Error(err))
		if ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return nil, err
}

// helpers returns some instances that reach upstreams in random order: one of the own availability
// zone, then those of others. A partition may cut off a whole zone, and its instances notice it at
// the same time.
func (c *Client) helpers() []*wire.Instance {
	all := c.options.Instances()
	c.mu.Lock()
	c.options.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.mu.Unlock()
	var local, remote []*wire.Instance
	for _, i := range all {
		switch {
		case i.GetName() == c.options.Self || !i.GetReady() || i.GetPartitioned():
		case i.GetZone() == c.options.Zone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	if len(local) > 0 {
		remote = slices.Concat(local[:1], remote, local[1:])
	}
	return remote[:min(len(remote), maxHelpers)]
}

// dialThrough asks one instance for a connection.
func (c *Client) dialThrough(ctx context.Context, address, id string, born int64) (_ net.Conn, err error) {
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, helperTimeout)
	defer cancel()
	n, err := c.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	defer func() {
		if !stop() && err == nil {
			err = context.Cause(ctx)
		}
		if err != nil {
			_ = n.Close()
		}
	}()
	if err := writeRequest(n, &wire.TunnelRequest{Token: c.options.Token, Id: id, Born: born}); err != nil {
		return nil, err
	}
	t := &conn{Conn: n, reader: bufio.NewReaderSize(n, bufferBytes)}
	return t, readStatus(t.reader)
}
