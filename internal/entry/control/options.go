package control

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// callTimeout bounds one attempt of a call, so that a silent connection delays the
	// call by no more than this.
	callTimeout = time.Second
	// maxPollWait is how long the leader may hold back the reply to a renewal.
	maxPollWait = 500 * time.Millisecond
	// renewTimeout bounds one renewal. The lease ends 1.5 s after the first unanswered
	// renewal was sent, which leaves 700 ms to find the next leader.
	renewTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the random pause before the next address is tried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 60 * time.Millisecond
	// defaultDataGroups is the default of Options.DataGroups.
	defaultDataGroups = 4
	// maxMessageBytes bounds a message; a stored response may be as large as a body, 8 MiB.
	maxMessageBytes = 16 << 20
)

// Options configures a Client.
type Options struct {
	// Addresses holds the peer addresses of the control instances.
	Addresses []string
	// PeerToken authenticates calls to the control instances.
	PeerToken string
	// DataGroups is the number of data groups; defaultDataGroups if zero.
	DataGroups uint32
	// Instance describes this entry to other entries.
	Instance *wire.Instance
	// Epoch tells processes of the same entry apart; it is random per process.
	Epoch uint64
	Timer timer.Service
	// Random must not be shared, since it is not safe for concurrent use.
	Random *rand.Rand
	Log    *zap.Logger
	// Parse parses the text of a document; document.Parse by default.
	Parse func(text []byte) (*document.Document, error)
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// complete checks the options and sets the defaults.
func (o *Options) complete() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.New("control addresses are not set")
	case o.Instance.GetName() == "":
		return errors.New("instance name is not set")
	case o.Timer == nil || o.Random == nil:
		return errors.New("timer and random must be set")
	}
	if o.DataGroups == 0 {
		o.DataGroups = defaultDataGroups
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Parse == nil {
		o.Parse = parse
	}
	if o.Dial == nil {
		o.Dial = dial
	}
	return nil
}

func parse(text []byte) (*document.Document, error) { return document.Parse("document", text) }

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
