package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// kind is the type of a record.
type kind byte

const (
	kindBatch kind = iota + 1
	kindTruncate
	kindHard
	kindMeta
	kindData
	kindIdentity
	kindGroups
	kindEnd
)

const (
	// headSize is length (4), CRC-32C (4) and type (1).
	headSize = 9
	// maxPayload bounds a record, so that a damaged length is not followed far.
	maxPayload = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode returns one record. The checksum covers length, type and payload.
func encode(k kind, payload []byte) []byte {
	b := make([]byte, headSize, headSize+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	b[8] = byte(k)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[4:], sum(b))
	return b
}

func sum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], castagnoli), castagnoli, record[8:])
}

// decode reads the record at the start of b and returns its size; ok is false
// if there is no whole and valid one.
func decode(b []byte) (k kind, payload []byte, size int, ok bool) {
	if len(b) < headSize {
		return 0, nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	k = kind(b[8])
	if n > maxPayload || int(n) > len(b)-headSize || k < kindBatch || k > kindEnd {
		return 0, nil, 0, false
	}
	size = headSize + int(n)
	if binary.LittleEndian.Uint32(b[4:]) != sum(b[:size]) {
		return 0, nil, 0, false
	}
	return k, b[headSize:size], size, true
}

// tail tells whether no valid record starts anywhere in b, so that b is what a
// torn write left at the end of a file.
func tail(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if _, _, _, ok := decode(b[i:]); ok {
			return false
		}
	}
	return true
}

// scan calls visit for each record. It returns the size of the valid part. Damage
// is an error unless last is set and nothing valid follows it.
func scan(b []byte, last bool, visit func(k kind, payload []byte) error) (valid int, err error) {
	for valid < len(b) {
		k, payload, size, ok := decode(b[valid:])
		if !ok {
			if last && tail(b[valid:]) {
				return valid, nil
			}
			return valid, errors.Wrapf(ErrCorrupt, "record at offset %d", valid)
		}
		if err := visit(k, payload); err != nil {
			return valid, err
		}
		valid += size
	}
	return valid, nil
}

// single returns the payload of a file that consists of one record of that kind.
func single(b []byte, k kind) ([]byte, error) {
	got, payload, size, ok := decode(b)
	if !ok || got != k || size != len(b) {
		return nil, errors.Wrapf(ErrCorrupt, "file of %d bytes", len(b))
	}
	return payload, nil
}
