package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// pieceBytes is the size of the pieces of a transfer. A piece occupies a link of 10 Mbit/s
// for 13 ms, so that other messages are not held up longer.
const pieceBytes = 16 << 10

// encoding is an encoded text.
type encoding struct {
	bytes  []byte
	digest uint64
	delta  bool
}

// baseKey identifies a text that an encoding is relative to. It is zero for a whole text.
type baseKey struct{ version, digest uint64 }

// Store holds the newest text of the layout and serves it to other instances. It is safe for
// concurrent use.
type Store struct {
	timer timer.Service
	log   *zap.Logger

	mu        sync.Mutex
	current   *Text // nil before the first
	previous  *Text // the text before it, to which most instances need the difference
	encodings map[baseKey]*encoding
	changed   chan struct{} // closed and replaced by each new text
}

// NewStore returns an empty store.
func NewStore(t timer.Service, log *zap.Logger) *Store {
	return &Store{timer: t, log: log, encodings: map[baseKey]*encoding{}, changed: make(chan struct{})}
}

// Current returns the newest text, or nil before the first.
func (s *Store) Current() *Text {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Put stores a text unless a newer one is stored already.
func (s *Store) Put(t *Text) { s.put(t, baseKey{}, nil) }

// put is Put with the encoding in which the text arrived, which other instances that hold
// the same base get without compressing it again.
func (s *Store) put(t *Text, base baseKey, e *encoding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.Version >= t.Version {
		return
	}
	s.previous, s.current = s.current, t
	s.encodings = map[baseKey]*encoding{}
	if e != nil {
		s.encodings[base] = e
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve answers a request for a piece. It waits until it has the requested version, but no
// longer than the caller allows.
func (s *Store) Serve(ctx context.Context, q *wire.FetchRequest) *wire.FetchReply {
	if !s.await(ctx, q) {
		return &wire.FetchReply{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.encodingFor(q)
	if e == nil {
		return &wire.FetchReply{}
	}
	offset := uint64(0)
	if q.GetEncoding() == e.digest {
		offset = min(q.GetOffset(), uint64(len(e.bytes)))
	}
	end := min(offset+pieceBytes, uint64(len(e.bytes)))
	return &wire.FetchReply{
		Version: s.current.Version, Digest: s.current.Digest, Encoding: e.digest, Size: uint64(len(e.bytes)),
		Delta: e.delta, Offset: offset, Data: e.bytes[offset:end],
	}
}

// await reports whether the requested version is there by the time that the caller allows.
func (s *Store) await(ctx context.Context, q *wire.FetchRequest) bool {
	ctx, cancel := timer.WithTimeout(ctx, s.timer, time.Duration(q.GetWait())*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		ready, changed := s.current != nil && s.current.Version >= q.GetVersion(), s.changed
		s.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// encodingFor returns the current text relative to the one that the caller holds if that is
// known here, else the whole text. It returns nil if the text cannot be encoded. s.mu must be
// held.
func (s *Store) encodingFor(q *wire.FetchRequest) *encoding {
	var base *Text
	key := baseKey{q.GetHeld(), q.GetHeldDigest()}
	if e := s.encodings[key]; e != nil {
		return e
	}
	if p := s.previous; p != nil && key == (baseKey{p.Version, p.Digest}) {
		base = p
	} else {
		key = baseKey{}
	}
	if e := s.encodings[key]; e != nil {
		return e
	}
	b, err := s.current.encode(base)
	if err != nil {
		s.log.Error("could not encode the layout for another instance", zap.Uint64("version", s.current.Version), journal.Error(err))
		return nil
	}
	e := &encoding{bytes: b, digest: xxhash.Sum64(b), delta: base != nil}
	s.encodings[key] = e
	return e
}
