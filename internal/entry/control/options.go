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
	// attemptLimit bounds one attempt of a call, so that a silent connection costs
	// no more than this.
	attemptLimit = time.Second
	// pollWait is how long the leader may hold back the answer to a renewal.
	pollWait = 500 * time.Millisecond
	// pollLimit bounds one renewal. The lease ends 1.5 s after the first renewal that
	// gets no answer was sent, so that 700 ms are left to find the next leader.
	pollLimit = 800 * time.Millisecond
	// pauseLeast and pauseMost bound the jittered pause before the next address is tried.
	pauseLeast = 20 * time.Millisecond
	pauseMost  = 60 * time.Millisecond
	// defaultGroups is the default number of data groups.
	defaultGroups = 4
	// messageLimit bounds a message; a stored answer may be as large as a body, 8 MiB.
	messageLimit = 16 << 20
)

// Options is what a client needs to know.
type Options struct {
	// Addresses holds the peer addresses of the control instances.
	Addresses []string
	// PeerToken is the token that control instances ask for.
	PeerToken string
	// Groups is the number of data groups.
	Groups uint32
	// Instance describes this entry to the others.
	Instance *wire.Instance
	// Epoch is random per process start.
	Epoch uint64
	Timer timer.Service
	// Random is used by this client alone.
	Random *rand.Rand
	Log    *zap.Logger
	// Parse reads the text of a document; document.Parse by default.
	Parse func(text []byte) (*document.Document, error)
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o *Options) complete() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.New("no control addresses")
	case o.Instance.GetName() == "":
		return errors.New("instance has no name")
	case o.Timer == nil || o.Random == nil:
		return errors.New("timer and random are needed")
	}
	if o.Groups == 0 {
		o.Groups = defaultGroups
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
