package disk

import (
	"bytes"
	"testing"
)

// Guards against a damaged log file that makes the scan panic, is accepted as valid, or
// yields records that were never written.
func FuzzScan(f *testing.F) {
	record := encodeRecord(recordBatch, []byte("entry"))
	f.Add(record, true)
	f.Add(append(record, record[:5]...), true)
	f.Add(append([]byte{1, 2, 3}, record...), true)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1}, false)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		var encoded []byte
		valid, err := scanRecords(b, last, func(k recordType, payload []byte) error {
			encoded = append(encoded, encodeRecord(k, payload)...)
			return nil
		})
		if !bytes.Equal(encoded, b[:valid]) {
			t.Fatalf("the visited records differ from the %d bytes reported as valid", valid)
		}
		if err == nil && valid < len(b) && !last {
			t.Fatal("damage in a segment that is not the last one was ignored")
		}
	})
}
