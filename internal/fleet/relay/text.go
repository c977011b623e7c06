// Package relay spreads layouts between instances. The leader only names the newest version;
// each instance fetches the text from a neighbour, compressed and relative to the text that
// it holds.
package relay

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxTextBytes limits a decoded text. It is above the limit on the body of an operator.
	maxTextBytes = 8 << 20
	// maxWindowBytes limits the memory of the compressor. Texts that do not fit together with
	// the text that they are relative to are compressed less well.
	maxWindowBytes = 4 << 20
	// baseDictionary is the identifier that a delta gives to the text that it is relative to.
	baseDictionary = 1
)

// ErrCorrupt means that a text does not have the expected digest.
var ErrCorrupt = errors.New("text of the layout does not match its digest")

// Text is the text of one version of the layout.
type Text struct {
	Version uint64
	Digest  uint64
	Bytes   []byte
}

// NewText returns a text with its digest.
func NewText(version uint64, text []byte) *Text {
	return &Text{Version: version, Digest: xxhash.Sum64(text), Bytes: text}
}

// Pack returns the record of a layout for the log of the control group.
func Pack(version uint64, text []byte) (*wire.Layout, error) {
	t := NewText(version, text)
	packed, err := t.encode(nil)
	return &wire.Layout{Version: version, Packed: packed, Digest: t.Digest}, err
}

// Unpack returns the text of a record of a layout.
func Unpack(l *wire.Layout) (t *Text, err error) {
	if len(l.GetPacked()) == 0 {
		return NewText(l.GetVersion(), l.GetText()), nil
	}
	return decodeText(l.GetVersion(), l.GetDigest(), l.GetPacked(), nil)
}

// encode compresses the text, relative to another one unless base is nil.
func (t *Text) encode(base *Text) (out []byte, err error) {
	size := len(t.Bytes)
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest)}
	if base != nil {
		size += len(base.Bytes)
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, base.Bytes))
	}
	window := zstd.MinWindowSize
	for window < size && window < maxWindowBytes {
		window *= 2
	}
	e, err := zstd.NewWriter(nil, append(options, zstd.WithWindowSize(window))...)
	if err != nil {
		return nil, errors.Wrap(err, "compress layout")
	}
	return e.EncodeAll(t.Bytes, nil), nil
}

// decodeText reverses encode and verifies the digest.
func decodeText(version, digest uint64, encoded []byte, base *Text) (t *Text, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "decompress layout %d", version)
		}
	}()
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxTextBytes)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(baseDictionary, base.Bytes))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	text, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, err
	}
	if t = NewText(version, text); t.Digest != digest {
		return nil, ErrCorrupt
	}
	return t, nil
}
