package plugin

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a lookup of an unknown name that returns a zero value without an error.
func TestLookup(t *testing.T) {
	is := is.New(t)
	r := NewRegistry[int]("chooser")
	r.Register("b", 2)
	r.Register("a", 1)
	factory, err := r.Lookup("a")
	is.NoErr(err)
	is.Equal(factory, 1)
	_, err = r.Lookup("c")
	is.True(errors.Is(err, ErrUnknown))
	is.Equal(r.Names(), []string{"a", "b"})
}
