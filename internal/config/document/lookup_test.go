package document

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a permission that also matches models, versions or paths that it
// doesn't name, such as those that only begin with the same letters.
func TestPermissions(t *testing.T) {
	a := AccountSpec{Models: []string{"small", "large@v2"}, Calls: []string{"/bookings", "/records/"}}
	for _, c := range []struct {
		model   Model
		version Version
		permits bool
	}{
		{"small", "v1", true},
		{"small", "v9", true},
		{"large", "v2", true},
		{"large", "v1", false},
		{"large", "", false},
		{"smaller", "v1", false},
		{"", "", false},
	} {
		is.New(t).Equal(a.PermitsVersion(c.model, c.version), c.permits)
	}
	for _, c := range []struct {
		path    string
		permits bool
	}{
		{"/bookings", true},
		{"/bookings/1", false},
		{"/records/1", true},
		{"/records", false},
		{"/recordsx", false},
	} {
		is.New(t).Equal(a.PermitsPath(c.path), c.permits)
	}
}

// Guards against a call that counts as idempotent because a prefix matches it,
// although its exact path is declared as not idempotent.
func TestCallPrefersExactPath(t *testing.T) {
	d := Document{Calls: []CallSpec{
		{Method: "POST", Path: "/", Idempotent: true, Price: 1},
		{Method: "POST", Path: "/records/seal/", Price: 3},
		{Method: "POST", Path: "/records/", Idempotent: true, Price: 2},
		{Method: "POST", Path: "/records/seal", Price: 4},
	}}
	for _, c := range []struct {
		method, path string
		price        Amount
		ok           bool
	}{
		{"POST", "/records/1", 2, true},
		{"POST", "/records/seal/1", 3, true},
		{"POST", "/records/seal", 4, true},
		{"POST", "/other", 1, true},
		{"GET", "/records/1", 0, false},
	} {
		is := is.New(t)
		spec, ok := d.Call(c.method, c.path)
		is.Equal(ok, c.ok)
		is.Equal(spec.Price, c.price)
	}
}
