// Package secret reads the credentials of callers, operators, upstreams and
// instances from the secrets file. Tokens are compared in constant time and are
// never logged or formatted.
package secret

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Problem is a problem of the secrets file.
type Problem = problem.Problem

// Error lists all problems of the secrets file.
type Error = problem.Error

// redacted is formatted, logged and encoded in place of credentials.
const redacted = "[hidden]"

// Operator is a team that may read and change the documents of its services.
type Operator struct {
	Name     string
	Services []document.Service
}

// Allows reports whether the operator may read and change the service's document.
func (o Operator) Allows(s document.Service) bool { return slices.Contains(o.Services, s) }

// digest is the SHA-256 digest of a token. Comparing digests takes the same time
// for tokens of any length.
type digest [sha256.Size]byte

// tokenOwner is the owner of the token with the given digest.
type tokenOwner[T any] struct {
	digest digest
	owner  T
}

// Credentials holds the credentials of one secrets file.
type Credentials struct {
	accounts  []tokenOwner[document.Account]
	operators []tokenOwner[Operator]
	upstreams []tokenOwner[string]
	peerToken string
}

// Load reads and checks the secrets file at path. An error about its content is an
// *Error that lists every problem.
func Load(path string) (c *Credentials, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load secrets")
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Account returns the client account that the token belongs to.
func (c *Credentials) Account(token string) (document.Account, bool) {
	return findOwner(c.accounts, token)
}

// Operator returns the operator that the token belongs to.
func (c *Credentials) Operator(token string) (Operator, bool) { return findOwner(c.operators, token) }

// UpstreamPattern returns the name of the upstreams that the token may announce: an
// exact name, or a prefix that ends in "*".
func (c *Credentials) UpstreamPattern(token string) (string, bool) {
	return findOwner(c.upstreams, token)
}

// PeerToken returns the token by which instances authenticate to each other.
func (c *Credentials) PeerToken() string { return c.peerToken }

// findOwner returns the owner of the token. It compares the token with every entry,
// so that the time taken reveals neither which entry matched nor how much of it did.
func findOwner[T any](entries []tokenOwner[T], token string) (owner T, ok bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range entries {
		equal := subtle.ConstantTimeCompare(sum[:], entries[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return owner, false
	}
	return entries[found].owner, true
}

// String hides the content. This method and the following ones have value receivers,
// so that they hide the content of copies too.
func (c Credentials) String() string { return redacted }

// GoString hides the content from %#v.
func (c Credentials) GoString() string { return redacted }

// Format hides the content from every verb of package fmt.
func (c Credentials) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, redacted) }

// MarshalText hides the content from JSON and other encodings.
func (c Credentials) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalLogObject logs only the numbers of credentials.
func (c Credentials) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("accounts", len(c.accounts))
	e.AddInt("operators", len(c.operators))
	e.AddInt("upstreams", len(c.upstreams))
	return nil
}
