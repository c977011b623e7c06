package fault

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A fault must apply only to requests with its marker, and only as often as its count says.
func TestMatch(t *testing.T) {
	is := is.New(t)
	var s Set
	s.Replace([]Fault{{Kind: Crash, Marker: "poison"}, {Kind: Delayed, Count: 2}})
	got := []Kind{}
	for _, body := range []string{"a", "poison", "b", "c"} {
		got = append(got, s.Match([]byte(body)).Kind)
	}
	is.Equal(got, []Kind{Delayed, Crash, Delayed, None})
}

// Run counts must survive a crash of the service.
func TestJournal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	for n := 1; n <= 2; n++ {
		var r RunCounter
		is.NoErr(r.OpenJournal(path))
		is.Equal(r.Begin("key"), n)
		is.Equal(r.Counts().Started, n)
	}
}
