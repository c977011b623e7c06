package suspect

import (
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

// ChatFingerprint returns the fingerprint of a chat request, whatever the order of its
// fields and the space between them.
func ChatFingerprint(account string, fields map[string]json.RawMessage) Fingerprint {
	names := make([]string, 0, len(fields))
	for n := range fields {
		if !slices.Contains(volatile, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	d := xxhash.New()
	write(d, []byte(account))
	for _, n := range names {
		write(d, []byte(n))
		dense(d, fields[n])
	}
	return format(d)
}

// dense adds a JSON value without the space between its tokens. It is ended by a
// zero byte, which valid JSON does not hold. json.Compact takes ten times as long.
func dense(d *xxhash.Digest, raw []byte) {
	start, quoted := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '"':
			quoted = !quoted
		case quoted && c == '\\':
			i++
		case !quoted && (c == ' ' || c == '\n' || c == '\t' || c == '\r'):
			_, _ = d.Write(raw[start:i])
			start = i + 1
		}
	}
	_, _ = d.Write(raw[start:])
	_, _ = d.Write([]byte{0})
}

// PlainFingerprint returns the fingerprint of a request made of parts.
func PlainFingerprint(account string, parts ...[]byte) Fingerprint {
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
