package upstream

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// ParseLoad parses the value of a Wisteriakeel-Load header. Unknown fields are
// ignored so that engines can add new ones.
func ParseLoad(text string) (load *wire.Load, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "parse load header %q", text)
		}
	}()
	load = &wire.Load{}
	for _, f := range strings.Fields(text) {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return nil, errors.Newf("field %q has no value", f)
		}
		if err := setLoad(load, name, value); err != nil {
			return nil, err
		}
	}
	return load, nil
}

// setLoad sets the named field of the load to the number in value. It ignores unknown
// names.
func setLoad(load *wire.Load, name, value string) error {
	bits := 32
	if name == "tokens" || name == "sequence" {
		bits = 64
	}
	n, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		return errors.Wrapf(err, "field %q", name)
	}
	switch name {
	case "running":
		load.Running = uint32(n)
	case "waiting":
		load.Waiting = uint32(n)
	case "slots":
		load.Slots = uint32(n)
	case "tokens":
		load.Tokens = n
	case "sequence":
		load.Sequence = n
	}
	return nil
}
