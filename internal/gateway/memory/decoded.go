package memory

import "bytes"

// What the values of a configuration in JSON take once they are decoded: an object is a route or a model, the largest
// kinds, and a list element a text. Both are rounded up.
const (
	objectBytes  = 384
	elementBytes = 24
)

// ReserveDecoded accounts for n bytes that a body takes once it is decoded, beside the body itself. It fails with
// ErrNeverFits or ErrShort.
func (c *Connection) ReserveDecoded(k Kind, body []byte, n Bytes) error {
	if c != nil && c.budget.options.Limit > 0 {
		if limit := c.budget.options.Limit; Bytes(len(body))+n > limit-limit/smallShare {
			return ErrNeverFits
		}
	}
	return c.Reserve(k, n)
}

// DecodedBytes returns an upper estimate of the memory that decoding a configuration takes, from what its
// objects and lists take at least in its text.
func DecodedBytes(text []byte) Bytes {
	return Bytes(objectBytes*bytes.Count(text, []byte{'{'}) + elementBytes*bytes.Count(text, []byte{','}))
}
