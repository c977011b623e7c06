package memory

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// held is a connection of a test. A request that is told to gives back its memory at once.
type held struct {
	address, account string
	phase            Phase
	bytes            Bytes
	finished         int
	stalled          time.Duration

	connection *Connection
	ended      bool
}

func (h *held) GiveBackMemory() { h.close() }

func (h *held) close() {
	h.ended = true
	h.connection.End()
}

// Guards against refusing the next one to arrive, or an innocent one, when memory is short: the one that
// goes is a connection of the client that holds most without progress.
func TestEvictionOrder(t *testing.T) {
	const block = blockBytes
	for _, c := range []struct {
		name    string
		holders []held
		victim  int // -1 for the one that asks
	}{
		{"largest", []held{{address: "10.0.0.1", bytes: 8 * block}, {address: "10.0.0.2", bytes: 2 * block}}, 0},
		{"asking client itself", []held{{address: "10.0.0.9", bytes: 10 * block}, {address: "10.0.0.2", bytes: 2 * block}}, 0},
		{"without progress", []held{{address: "10.0.0.1", bytes: 6 * block}, {address: "10.0.0.2", bytes: 4 * block, stalled: time.Second}}, 1},
		{"one address", []held{{address: "10.0.0.1", bytes: 5 * block}, {address: "10.0.0.2", bytes: 3 * block}, {address: "10.0.0.2", bytes: 4 * block}}, 2},
		{"one account", []held{{address: "10.0.0.1", bytes: 5 * block}, {address: "10.0.0.2", account: "a", bytes: 3 * block}, {address: "10.0.0.3", account: "a", bytes: 4 * block}}, 2},
		{"another address of the account", []held{{address: "10.0.0.1", account: "a", bytes: 5 * block}, {address: "10.0.0.2", account: "a", bytes: 3 * block}, {address: "10.0.0.2", account: "a", bytes: 4 * block}}, 2},
		{"run by an upstream", []held{{address: "10.0.0.1", phase: Running, bytes: 8 * block}, {address: "10.0.0.2", phase: Reading, bytes: 4 * block}}, 1},
		{"finished requests", []held{{address: "10.0.0.1", finished: 3, bytes: 7 * block}, {address: "10.0.0.2", bytes: 5 * block}}, 1},
		{"body of a long stream", []held{{address: "10.0.0.1", bytes: 8 * block}, {address: "10.0.0.2", bytes: block / 4, stalled: time.Minute}}, 0},
		{"asking one", []held{{address: "10.0.0.1", bytes: 8 * block, finished: 3}, {address: "10.0.0.9", phase: Running, bytes: 1}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual()
			clock.Advance(time.Hour)
			total := Bytes(0)
			for _, h := range c.holders {
				total += h.bytes
			}
			b := New(Options{Limit: 16 * block, Timer: clock, Log: zap.NewNop()})
			var stalls time.Duration
			for i := range c.holders {
				h := &c.holders[i]
				h.connection, _ = b.Open(netip.MustParseAddr(h.address), h.close)
				h.connection.SetAccount(h.account)
				stalls = max(stalls, h.stalled)
				for range h.finished {
					h.connection.Begin(h)
					h.connection.End()
				}
				h.connection.Begin(h)
				h.connection.SetPhase(h.phase)
				is.NoErr(h.connection.Reserve(Body, h.bytes))
				h.connection.SetPhase(h.phase)
			}
			clock.Advance(stalls)
			for i := range c.holders {
				if c.holders[i].stalled == 0 {
					c.holders[i].connection.Progress()
				}
			}
			asking, _ := b.Open(netip.MustParseAddr("10.0.0.9"), func() {})
			asking.Begin(&held{connection: asking})
			// One block more than large bodies may hold.
			err := asking.Reserve(Body, 16*block-16*block/smallShare+block-total)
			is.Equal(errors.Is(err, ErrShort), c.victim < 0)
			for i := range c.holders {
				is.Equal(c.holders[i].ended, i == c.victim)
			}
		})
	}
}

// Guards against memory that stays accounted for after its request, and against a body that takes more than
// has arrived.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name             string
		announced, limit int64
		sent             int
		held             Bytes // at most, after the body was read
		err              error
	}{
		{"short", 5, 100, 5, 6, nil},
		{"empty chunks", -1, 100, 0, firstBlockBytes, nil},
		{"chunks", -1, 1 << 20, 200_000, 4 * blockBytes, nil},
		{"announced", 200_000, 1 << 20, 200_000, 200_001, nil},
		{"full size", 4 << 20, 4 << 20, 4 << 20, 4<<20 + 1, nil},
		{"over the limit", -1, 100, 101, 0, ErrTooLong},
		{"announced over the limit", 101, 100, 0, 0, ErrTooLong},
		{"does not fit", -1, 32 << 20, 16 << 20, 0, ErrShort},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := New(Options{Limit: 10 << 20, Timer: timer.NewSystem(), Log: zap.NewNop()})
			connection, _ := b.Open(netip.Addr{}, func() {})
			connection.Begin(&held{connection: connection})
			text := strings.Repeat("body", c.sent/4) + strings.Repeat("x", c.sent%4)
			body, err := connection.ReadBody(Body, strings.NewReader(text), c.announced, c.limit)
			is.True(errors.Is(err, c.err))
			is.True(b.used <= c.held)
			if c.err == nil {
				joined, err := connection.Join(Body, body)
				is.NoErr(err)
				is.Equal(string(joined), text)
			}
			connection.End()
			is.Equal(b.used, Bytes(0))
			is.Equal(len(b.holders), 0)
		})
	}
}

// Guards against new clients that are kept out by one with many idle connections, and against a bound that
// doesn't hold.
func TestConnections(t *testing.T) {
	is := is.New(t)
	b := New(Options{Connections: 16, Timer: timer.NewSystem(), Log: zap.NewNop()})
	closed := 0
	ordinary, ok := b.Open(netip.MustParseAddr("10.0.0.1"), func() { t.Error("connection of another client closed") })
	is.True(ok)
	for range 100 {
		_, ok := b.Open(netip.MustParseAddr("10.0.0.2"), func() { closed++ })
		is.True(ok)
	}
	is.Equal(closed, 85)
	is.True(len(b.open) <= 16)
	ordinary.Close()
	is.Equal(len(b.clients), 1)
	// Connections whose requests are run are not closed for new ones.
	for c := range b.open {
		c.SetPhase(Running)
	}
	_, ok = b.Open(netip.MustParseAddr("10.0.0.3"), func() {})
	is.True(ok) // one was free
	_, ok = b.Open(netip.MustParseAddr("10.0.0.4"), func() {})
	is.True(!ok)
}

// Guards against blocks of refused bodies that are left to the collector, and against blocks of a complete body, which
// may still be in use after its request, that another body is read into.
func TestRecycledBlocks(t *testing.T) {
	is := is.New(t)
	b := New(Options{Limit: 16 << 20, Timer: timer.NewSystem(), Log: zap.NewNop()})
	connection, _ := b.Open(netip.Addr{}, func() {})
	connection.Begin(&held{connection: connection})
	_, err := connection.ReadBody(Body, strings.NewReader(strings.Repeat("x", 10<<20)), -1, 8<<20)
	is.True(errors.Is(err, ErrTooLong))
	is.Equal(len(b.free), 64) // a quarter of the limit
	text := strings.Repeat("body", 50_000)
	body, err := connection.ReadBody(Body, strings.NewReader(text), -1, 8<<20)
	is.NoErr(err)
	is.Equal(len(b.free), 61)
	connection.End()
	is.Equal(len(b.free), 61)
	other, err := connection.ReadBody(Body, strings.NewReader(strings.Repeat("y", len(text))), -1, 8<<20)
	is.NoErr(err)
	is.Equal(other.Size(), len(text))
	joined, err := connection.Join(Body, body)
	is.NoErr(err)
	is.Equal(string(joined), text)
}
