package terminal

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Version is the version of the program; see CHANGELOG.md.
const Version = "0.1.0"

func init() {
	register(command{
		name:    "version",
		short:   "Print the version",
		long:    "Prints the version of the program and of the Go tools that built it.",
		factory: func(out io.Writer) flags.Commander { return &versionCommand{out: out} },
	})
}

type versionCommand struct {
	out io.Writer
}

// Execute prints the version of the program and of Go.
func (c *versionCommand) Execute([]string) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, err := fmt.Fprintf(c.out, "wisteriakeel %s (%s)\n", Version, goVersion)
	return err
}
