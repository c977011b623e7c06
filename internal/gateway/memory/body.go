package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// blockBytes is the size of the blocks of a long body.
	blockBytes = 64 << 10
	// firstBlockBytes is the size of the first block of a body whose length is not announced. Most are short.
	firstBlockBytes = 4 << 10
)

// Blocks is a body in the blocks into which it was read.
type Blocks [][]byte

// Size returns the number of bytes.
func (b Blocks) Size() (n int) {
	for _, block := range b {
		n += len(block)
	}
	return n
}

// ReadBody reads a body of up to limit bytes. announced is its length, -1 if that is not known. Each
// block is reserved before it is allocated, so that memory grows with what has arrived. All is given back
// if it fails, and otherwise by Release or at the end of the request.
func (c *Connection) ReadBody(k Kind, r io.Reader, announced, limit int64) (body Blocks, err error) {
	if announced > limit {
		return nil, ErrTooLong
	}
	var size, reserved int64
	defer func() {
		if err != nil {
			c.recycle(body)
			c.Release(k, Bytes(reserved))
			body = nil
		}
	}()
	for {
		n := nextBlock(size, announced)
		if err := c.Reserve(k, Bytes(n)); err != nil {
			return body, err
		}
		reserved += n
		block := c.block(n)
		read, err := readFull(r, block)
		size += int64(read)
		body = append(body, block[:read])
		switch {
		case size > limit:
			return body, ErrTooLong
		case errors.Is(err, io.EOF) && read == 0:
			c.recycle(body[len(body)-1:])
			return body[:len(body)-1], nil
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// block returns a block of n bytes, whose content is not defined.
func (c *Connection) block(n int64) []byte {
	if c != nil && n == blockBytes {
		b := c.budget
		b.mu.Lock()
		defer b.mu.Unlock()
		if last := len(b.free) - 1; last >= 0 {
			out := b.free[last]
			b.free = b.free[:last]
			return out
		}
	}
	return make([]byte, n)
}

// recycle keeps the blocks of a body that nobody else has seen for other bodies. Clients whose bodies are refused may
// come again faster than the collector frees what they have left.
func (c *Connection) recycle(body Blocks) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, block := range body {
		if cap(block) == blockBytes && Bytes(len(b.free)+1)*blockBytes <= b.options.Limit/freeShare {
			b.free = append(b.free, block[:blockBytes])
		}
	}
}

// nextBlock returns the size of the next block of a body of which size bytes are read. A body that is
// announced has room for one byte more, so that its end is read without a further block.
func nextBlock(size, announced int64) int64 {
	switch {
	case announced >= size:
		return min(announced-size+1, blockBytes)
	case size == 0:
		return firstBlockBytes
	default:
		return blockBytes
	}
}

// readFull reads until the block is full or an error occurs. Other than in io.ReadFull, the end of the
// body is io.EOF also after some bytes.
func readFull(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = r.Read(block[n:])
		n += read
	}
	return n, err
}

// ReadWhole reads a body of up to limit bytes into one piece. It fails with ErrShort also if the request was told
// to give back its memory meanwhile. announced and the errors are those of ReadBody. Of a body that is announced to
// be too long, limit bytes are discarded: a client that is still sending would see a closed connection instead of the response.
func (c *Connection) ReadWhole(k Kind, r io.Reader, announced, limit int64) (body []byte, err error) {
	if announced > limit {
		_, err := io.CopyN(io.Discard, r, limit)
		return nil, errors.CombineErrors(ErrTooLong, err)
	}
	blocks, err := c.ReadBody(k, r, announced, limit)
	if err == nil {
		body, err = c.Join(k, blocks)
	}
	if err != nil && c.Evicted() {
		err = errors.CombineErrors(ErrShort, err)
	}
	return body, err
}

// Join returns a body in one piece and gives back its blocks. Both are held for a moment.
func (c *Connection) Join(k Kind, b Blocks) ([]byte, error) {
	switch len(b) {
	case 0:
		return nil, nil
	case 1:
		return b[0], nil
	}
	size := b.Size()
	if err := c.Reserve(k, Bytes(size)); err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	for _, block := range b {
		out = append(out, block...)
	}
	c.Release(k, Bytes(size))
	return out, nil
}
