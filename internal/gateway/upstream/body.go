package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// block is a part of a body. Blocks are reused, since the garbage of many long bodies would
// take several times the memory of the bodies themselves.
type block [blockBytes]byte

// Body is the whole body of a response. It stays in the blocks into which it was read: a copy
// would double the memory of long bodies. It may outlive the response and must be closed.
type Body struct {
	client *Client
	holder *holder
	blocks []*block
	size   int
}

// ReadAll reads the whole body, up to maxBodyBytes. The body takes the memory over from the response.
func (r *Response) ReadAll() (*Body, error) {
	b := &Body{client: r.client, holder: r.holder}
	b.client.buffers.startReading(b.holder)
	if err := b.read(r); err != nil {
		b.Close()
		return nil, errors.Mark(errors.Wrap(err, "read response body"), ErrInterrupted)
	}
	if evicted := b.client.buffers.endReading(b.holder); evicted {
		r.close = true
	}
	r.holder = &holder{evict: r.abort}
	return b, nil
}

// read reads the body of a response into blocks.
func (b *Body) read(r *Response) error {
	for {
		used := b.size % blockBytes
		if used == 0 {
			if b.size >= maxBodyBytes {
				return errors.New("response body is too long")
			}
			if b.size > 0 {
				if err := r.reserve(blockBytes); err != nil {
					return err
				}
			}
			b.blocks = append(b.blocks, b.client.blocks.Get().(*block))
		}
		n, err := r.Read(b.blocks[len(b.blocks)-1][used:])
		b.size += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Size returns the number of bytes.
func (b *Body) Size() int { return b.size }

// AllowEviction lets other responses take the memory of the body until Claim.
func (b *Body) AllowEviction() {
	if !b.client.buffers.setEvict(b.holder, b.returnBlocks) {
		b.returnBlocks() // evicted before
	}
}

// Claim keeps the body from being evicted again, before it is written. It returns false if it was evicted
// meanwhile.
func (b *Body) Claim() bool { return b.client.buffers.setEvict(b.holder, func() {}) }

// WriteTo writes the body. It must not be called while eviction is allowed.
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, block := range b.blocks {
		n, err := w.Write(block[:min(b.size-int(written), blockBytes)])
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close gives back the memory.
func (b *Body) Close() {
	b.Claim()
	b.returnBlocks()
	b.client.buffers.release(b.holder)
}

// returnBlocks makes the blocks available to other bodies.
func (b *Body) returnBlocks() {
	for _, block := range b.blocks {
		b.client.blocks.Put(block)
	}
	b.blocks = nil
}
