package plugin

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a silent fallback for an unknown name.
func TestLookup(t *testing.T) {
	is := is.New(t)
	r := NewRegistry[int]("chooser")
	r.Register("b", 2)
	r.Register("a", 1)
	v, err := r.Lookup("a")
	is.NoErr(err)
	is.Equal(v, 1)
	_, err = r.Lookup("c")
	is.True(errors.Is(err, ErrUnknown))
	is.Equal(r.Names(), []string{"a", "b"})
}
