package suspect

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a client account's request.
type Fingerprint string

// volatile are the fields of a chat request that may differ between resends of
// one request and that the engine's work on the prompt does not depend on.
var volatile = []string{"metadata", "prompt_cache_key", "safety_identifier", "store", "stream", "stream_options", "user"}

// OfChat returns the fingerprint of a chat request, whatever the order of its
// fields and the space between them.
func OfChat(account string, fields map[string]json.RawMessage) Fingerprint {
	names := make([]string, 0, len(fields))
	for n := range fields {
		if !slices.Contains(volatile, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	d := xxhash.New()
	write(d, []byte(account))
	var b bytes.Buffer
	for _, n := range names {
		write(d, []byte(n))
		b.Reset()
		if json.Compact(&b, fields[n]) != nil {
			b.Reset()
			b.Write(fields[n])
		}
		write(d, b.Bytes())
	}
	return format(d)
}

// Of returns the fingerprint of a request made of parts.
func Of(account string, parts ...[]byte) Fingerprint {
	d := xxhash.New()
	write(d, []byte(account))
	for _, p := range parts {
		write(d, p)
	}
	return format(d)
}

// write adds a part with its length, so that parts cannot run into one another.
func write(d *xxhash.Digest, part []byte) {
	_, _ = d.Write(strconv.AppendInt(nil, int64(len(part)), 10))
	_, _ = d.Write([]byte{':'})
	_, _ = d.Write(part)
}

func format(d *xxhash.Digest) Fingerprint {
	text := strconv.FormatUint(d.Sum64(), 16)
	return Fingerprint("0000000000000000"[len(text):] + text)
}
