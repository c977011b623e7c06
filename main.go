// Command wisteriakeel routes model requests of client accounts to upstreams.
package main

import (
	"os"

	"wisteriakeel.example/wisteriakeel/internal/command/terminal"

	// The roles register themselves.
	_ "wisteriakeel.example/wisteriakeel/internal/role/control"
	_ "wisteriakeel.example/wisteriakeel/internal/role/entry"

	// The command for the users' platform registers itself.
	_ "wisteriakeel.example/wisteriakeel/platform"
)

func main() {
	os.Exit(terminal.Main(os.Args[1:], os.Stdout, os.Stderr))
}
