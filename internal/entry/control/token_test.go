package control

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcserver"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// firstCallRejecter rejects the token of the first call and does not answer later calls.
type firstCallRejecter struct{ calls atomic.Int32 }

func (s *firstCallRejecter) HandleRPC(stream drpc.Stream, _ string) error {
	if s.calls.Add(1) == 1 {
		return drpcerr.WithCode(errors.New("wrong peer token; nothing was done"), codeWrongToken)
	}
	<-stream.Context().Done()
	return nil
}

// Guards against an unknown outcome that is reported although the instance rejected the
// token. The context ends during the next attempt, before the instance answers.
func TestWrongTokenThenTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	server := drpcserver.New(&firstCallRejecter{})
	go func() { ended <- server.Serve(ctx, l) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	c, err := New(Options{
		Addresses: []string{l.Addr().String()}, PeerToken: "wrong", DataGroups: 1, Instance: &wire.Instance{Name: "e1"}, Epoch: 1,
		Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	is.NoErr(err)
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	_, err = c.Charge(short, &wire.ChargeRequest{Account: "acme", Request: "q"})
	is.True(errors.Is(err, ErrUnavailable))
}
