package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// routesText returns the text of a layout with a number of routes. Texts with the same seed
// differ only in the service of the route that changed.
func routesText(routes int, seed uint64, changed int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	for i := range routes {
		service := "pool"
		if i == changed {
			service = "desk"
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h.example","path_prefix":"/p%08x/","kind":"streaming","timeout_ms":25000,`+
			`"target_latency_ms":4000,"priority":1,"service":%q,"max_attempts":3,"public":false,"session_affinity":true},`,
			r.Uint32()>>4, r.Uint32(), service)
	}
	return []byte(b.String())
}

func newStore() *Store { return NewStore(timer.NewSystem(), zap.NewNop()) }

// counter counts the pieces and the bytes that a source serves.
type counter struct {
	source *Store
	pieces int
	bytes  int
	// before, if set, is called before each piece.
	before func(piece int)
}

func (c *counter) call(ctx context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
	if c.before != nil {
		c.before(c.pieces)
	}
	r := c.source.Serve(ctx, q)
	c.pieces++
	c.bytes += len(r.GetData())
	return r, nil
}

// Guards against layouts that change on their way, that are sent whole although the caller
// holds nearly all of them, and that are sent in one long message.
func TestTransfer(t *testing.T) {
	const routes = 4200
	for _, c := range []struct {
		name      string
		held      *Text
		text      []byte
		maxBytes  int
		minPieces int
	}{
		{"first", nil, routesText(routes, 1, -1), 60_000, 2},
		{"one route changed", NewText(1, routesText(routes, 1, -1)), routesText(routes, 1, 2100), 1_000, 1},
		{"small layout grows", NewText(1, routesText(5, 1, -1)), routesText(routes, 1, -1), 60_000, 2},
		{"other layout held", NewText(1, routesText(routes, 2, -1)), routesText(routes, 1, -1), 60_000, 2},
		{"empty", nil, nil, 100, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			source, target := newStore(), newStore()
			if c.held != nil {
				source.Put(c.held)
				target.Put(c.held)
			}
			source.Put(NewText(2, c.text))
			k := &counter{source: source}
			got, err := target.Fetch(t.Context(), 2, 0, k.call)
			is.NoErr(err)
			is.Equal(string(got.Bytes), string(c.text))
			is.True(k.bytes <= c.maxBytes)
			is.True(k.pieces >= c.minPieces)
			// The text is passed on in the encoding in which it came.
			next := newStore()
			if c.held != nil {
				next.Put(c.held)
			}
			passed := &counter{source: target}
			_, err = next.Fetch(t.Context(), 2, 0, passed.call)
			is.NoErr(err)
			is.Equal(passed.bytes, k.bytes)
		})
	}
}

// Guards against a transfer that mixes two versions, and against one that ends with an
// outdated text, when the source gets a newer version in between.
func TestOvertakenTransfer(t *testing.T) {
	is := is.New(t)
	source, target := newStore(), newStore()
	source.Put(NewText(1, routesText(4200, 1, -1)))
	newest := routesText(4200, 3, -1)
	k := &counter{source: source, before: func(piece int) {
		if piece == 1 {
			source.Put(NewText(9, newest))
		}
	}}
	got, err := target.Fetch(t.Context(), 1, 0, k.call)
	is.NoErr(err)
	is.Equal(got.Version, uint64(9))
	is.Equal(string(got.Bytes), string(newest))
}

// Guards against a source that does not answer until the caller gives up although it does not
// hold the version, and against an older text in place of the wanted one.
func TestSourceWithoutVersion(t *testing.T) {
	is := is.New(t)
	source, target := newStore(), newStore()
	source.Put(NewText(1, []byte("a")))
	_, err := target.Fetch(t.Context(), 2, 5, (&counter{source: source}).call)
	is.True(errors.Is(err, ErrNotHeld))
	time.AfterFunc(20*time.Millisecond, func() { source.Put(NewText(2, []byte("b"))) })
	got, err := target.Fetch(t.Context(), 2, 10_000, (&counter{source: source}).call)
	is.NoErr(err)
	is.Equal(string(got.Bytes), "b")
}

// Guards against a damaged text that is stored and passed on, and against an error in place of
// the text of a record that was written without compression.
func TestUnpack(t *testing.T) {
	is := is.New(t)
	l, err := Pack(3, routesText(10, 1, -1))
	is.NoErr(err)
	u, err := Unpack(l)
	is.NoErr(err)
	is.Equal(string(u.Bytes), string(routesText(10, 1, -1)))
	l.Digest++
	_, err = Unpack(l)
	is.True(errors.Is(err, ErrCorrupt))
	u, err = Unpack(&wire.Layout{Version: 2, Text: []byte("plain")})
	is.NoErr(err)
	is.Equal(string(u.Bytes), "plain")
	target := newStore()
	_, err = target.Fetch(t.Context(), 1, 0, func(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
		return &wire.FetchReply{Version: 1, Size: 3, Data: []byte("bad")}, nil
	})
	is.True(err != nil)
	is.Equal(target.Current(), nil)
}
