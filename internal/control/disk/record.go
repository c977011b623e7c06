package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// recordType says what the payload of a record holds.
type recordType byte

const (
	recordBatch        recordType = iota + 1 // log entries, as a wire.Batch
	recordTruncate                           // index of the first removed log entry, 8 bytes, little endian
	recordHardState                          // term and vote, as a wire.Hard
	recordSnapshotMeta                       // metadata of a snapshot, as a wire.Meta
	recordSnapshotData                       // a part of the snapshot's data
	recordIdentity                           // identity of the replica
	recordGroups                             // directory names of the groups, one per line
	maxRecordType                            // highest type accepted when reading; no record has it
)

const (
	// headerBytes is the size of payload length (4 bytes), CRC-32C (4) and type (1).
	headerBytes = 9
	// maxPayloadBytes bounds the payload of a record, so that a corrupt length field is detected.
	maxPayloadBytes = 64 << 20
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns a record: header and payload. The checksum covers length, type and
// payload.
func encodeRecord(t recordType, payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	b[8] = byte(t)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[4:], checksum(b))
	return b
}

func checksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], crc32cTable), crc32cTable, record[8:])
}

// decodeRecord reads the record at the start of b and returns its total size. ok is
// false if the record is incomplete or damaged.
func decodeRecord(b []byte) (t recordType, payload []byte, size int, ok bool) {
	if len(b) < headerBytes {
		return 0, nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	t = recordType(b[8])
	if n > maxPayloadBytes || int(n) > len(b)-headerBytes || t < recordBatch || t > maxRecordType {
		return 0, nil, 0, false
	}
	size = headerBytes + int(n)
	if binary.LittleEndian.Uint32(b[4:]) != checksum(b[:size]) {
		return 0, nil, 0, false
	}
	return t, b[headerBytes:size], size, true
}

// isTornTail reports whether no valid record starts anywhere in b after its first byte,
// so that b can be the remains of an interrupted write at the end of a file.
func isTornTail(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if _, _, _, ok := decodeRecord(b[i:]); ok {
			return false
		}
	}
	return true
}

// scanRecords calls visit for each record and returns the size of the valid part.
// Damage is an error unless b is the last segment of a log and no valid record follows
// the damage.
func scanRecords(b []byte, last bool, visit func(t recordType, payload []byte) error) (valid int, err error) {
	for valid < len(b) {
		t, payload, size, ok := decodeRecord(b[valid:])
		if !ok {
			if last && isTornTail(b[valid:]) {
				return valid, nil
			}
			return valid, errors.Wrapf(ErrCorrupt, "invalid record at offset %d", valid)
		}
		if err := visit(t, payload); err != nil {
			return valid, err
		}
		valid += size
	}
	return valid, nil
}

// decodeSingleRecord returns the payload of a file that consists of one record of the
// given type.
func decodeSingleRecord(b []byte, want recordType) ([]byte, error) {
	got, payload, size, ok := decodeRecord(b)
	if !ok || got != want || size != len(b) {
		return nil, errors.Wrapf(ErrCorrupt, "file of %d bytes is not one valid record of the expected type", len(b))
	}
	return payload, nil
}
