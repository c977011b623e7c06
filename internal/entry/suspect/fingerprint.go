package suspect

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's client account and content. Resends of a
// request have the same fingerprint.
type Fingerprint string

// ignoredFields are the fields of a chat request that may differ between resends
// of one request and have no influence on how the engine processes the prompt.
var ignoredFields = []string{"metadata", "prompt_cache_key", "safety_identifier", "store", "stream", "stream_options", "user"}

// ChatFingerprint returns the fingerprint of a chat request. It does not depend
// on the order of the fields or on the white space between them.
func ChatFingerprint(account string, fields map[string]json.RawMessage) Fingerprint {
	names := make([]string, 0, len(fields))
	for n := range fields {
		if !slices.Contains(ignoredFields, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	d := xxhash.New()
	writePart(d, []byte(account))
	for _, n := range names {
		writePart(d, []byte(n))
		writeCompactJSON(d, fields[n])
	}
	return format(d)
}

// writeCompactJSON hashes a JSON value without the white space between its tokens,
// followed by a zero byte, which valid JSON cannot contain. json.Compact takes ten
// times as long.
func writeCompactJSON(d *xxhash.Digest, raw []byte) {
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

// PlainFingerprint returns the fingerprint of a request that consists of the
// given parts, such as its method, path and body.
func PlainFingerprint(account string, parts ...[]byte) Fingerprint {
	d := xxhash.New()
	writePart(d, []byte(account))
	for _, p := range parts {
		writePart(d, p)
	}
	return format(d)
}

// writePart hashes a part preceded by its length, so that moving bytes from one
// part to the next changes the fingerprint.
func writePart(d *xxhash.Digest, part []byte) {
	_, _ = d.Write(strconv.AppendInt(nil, int64(len(part)), 10))
	_, _ = d.Write([]byte{':'})
	_, _ = d.Write(part)
}

// format returns the hash as 16 hexadecimal digits.
func format(d *xxhash.Digest) Fingerprint {
	text := strconv.FormatUint(d.Sum64(), 16)
	return Fingerprint("0000000000000000"[len(text):] + text)
}
