// Package secret reads the credentials of callers, operators, upstreams and
// instances. Tokens are compared in constant time and never printed.
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

// Problem is one fault of the secrets file.
type Problem = problem.Problem

// Error lists all problems of the secrets file.
type Error = problem.Error

const hidden = "[hidden]"

// Operator is a team that may change the documents of its services.
type Operator struct {
	Name     string
	Services []document.Service
}

// Allows tells whether the operator may read and change that service's document.
func (o Operator) Allows(s document.Service) bool { return slices.Contains(o.Services, s) }

// digest is the SHA-256 of a token. Comparing digests takes the same time for
// tokens of any length.
type digest [sha256.Size]byte

type entry[T any] struct {
	sum   digest
	value T
}

// Credentials holds the credentials of one secrets file.
type Credentials struct {
	accounts  []entry[document.Account]
	operators []entry[Operator]
	upstreams []entry[string]
	peer      string
}

// Load reads the secrets file at path. An error about its content is an *Error.
func Load(path string) (b *Credentials, err error) {
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

// Account returns the client account with that token.
func (b *Credentials) Account(token string) (document.Account, bool) { return match(b.accounts, token) }

// Operator returns the operator with that token.
func (b *Credentials) Operator(token string) (Operator, bool) { return match(b.operators, token) }

// UpstreamPattern returns the name, or prefix ending in "*", that the token may announce.
func (b *Credentials) UpstreamPattern(token string) (string, bool) { return match(b.upstreams, token) }

// PeerToken returns the token that instances show to each other.
func (b *Credentials) PeerToken() string { return b.peer }

// match compares the token with every entry, so that the time taken tells
// neither which entry matched nor how much of it.
func match[T any](entries []entry[T], token string) (value T, ok bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range entries {
		equal := subtle.ConstantTimeCompare(sum[:], entries[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return value, false
	}
	return entries[found].value, true
}

// String hides the content. The methods that hide it have value receivers, so that
// a copy is hidden as well.
func (b Credentials) String() string { return hidden }

// GoString hides the content from %#v.
func (b Credentials) GoString() string { return hidden }

// Format hides the content from every verb of package fmt.
func (b Credentials) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, hidden) }

// MarshalText hides the content from JSON and other encodings.
func (b Credentials) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// MarshalLogObject hides the content from the log.
func (b Credentials) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("accounts", len(b.accounts))
	e.AddInt("operators", len(b.operators))
	e.AddInt("upstreams", len(b.upstreams))
	return nil
}
