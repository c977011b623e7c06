package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// ErrNotHeld means that the asked instance does not hold the wanted version yet.
var ErrNotHeld = errors.New("instance does not hold the wanted layout")

// maxRestarts limits how often a transfer starts again because the asked instance got a
// newer text meanwhile.
const maxRestarts = 8

// Call sends one request for a piece to the asked instance.
type Call func(context.Context, *wire.FetchRequest) (*wire.FetchReply, error)

// Fetch gets a text of at least the wanted version piece by piece and stores it. wait is the
// longest time in milliseconds that the asked instance may take to get the version itself.
func (s *Store) Fetch(ctx context.Context, version uint64, wait uint32, call Call) (t *Text, err error) {
	held := s.Current()
	q := &wire.FetchRequest{Version: version, Wait: wait}
	if held != nil {
		q.Held, q.HeldDigest = held.Version, held.Digest
	}
	var first *wire.FetchReply
	var data []byte
	for restarts := 0; restarts <= maxRestarts; {
		r, err := call(ctx, q)
		switch {
		case err != nil:
			return nil, err
		case r.GetVersion() < version || r.GetVersion() == 0:
			return nil, ErrNotHeld
		case r.GetSize() > maxTextBytes:
			return nil, errors.Newf("encoded layout of %d bytes is too large", r.GetSize())
		case first == nil || r.GetEncoding() != first.GetEncoding():
			first, data = r, data[:0]
			restarts++
		}
		if r.GetOffset() != uint64(len(data)) || (len(r.GetData()) == 0 && r.GetSize() > r.GetOffset()) {
			return nil, errors.Newf("piece at %d of the layout, expected %d", r.GetOffset(), len(data))
		}
		data = append(data, r.GetData()...)
		if uint64(len(data)) >= first.GetSize() {
			return s.finish(first, data, held)
		}
		q.Encoding, q.Offset = first.GetEncoding(), uint64(len(data))
	}
	return nil, errors.New("layout changed too often during its transfer")
}

// finish decodes a complete transfer and stores the text.
func (s *Store) finish(r *wire.FetchReply, data []byte, held *Text) (*Text, error) {
	var base *Text
	key := baseKey{}
	if r.GetDelta() {
		if held == nil {
			return nil, errors.New("difference to a layout that is not held")
		}
		base, key = held, baseKey{held.Version, held.Digest}
	}
	t, err := decodeText(r.GetVersion(), r.GetDigest(), data, base)
	if err != nil {
		return nil, err
	}
	s.put(t, key, &encoding{bytes: data, digest: r.GetEncoding(), delta: r.GetDelta()})
	return t, nil
}
