package disk

import (
	"bytes"
	"testing"
)

// Guards against a damaged log file that panics, passes for valid or has records
// that were never written.
func FuzzScan(f *testing.F) {
	one := encode(kindBatch, []byte("entry"))
	f.Add(one, true)
	f.Add(append(one, one[:5]...), true)
	f.Add(append([]byte{1, 2, 3}, one...), true)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1}, false)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		var again []byte
		valid, err := scan(b, last, func(k kind, payload []byte) error {
			again = append(again, encode(k, payload)...)
			return nil
		})
		if !bytes.Equal(again, b[:valid]) {
			t.Fatalf("records differ from the %d bytes read as valid", valid)
		}
		if err == nil && valid < len(b) && !last {
			t.Fatal("damage in a file that is not the last was passed over")
		}
	})
}
