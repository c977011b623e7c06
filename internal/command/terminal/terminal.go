// Package terminal holds the commands that are called from a terminal. Each
// command is a struct in a file of its own that registers itself in init.
package terminal

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, settings or document are wrong.
	ExitUsage = 2
)

// command is one registered command.
type command struct {
	name    string
	short   string
	long    string
	factory func(out io.Writer) flags.Commander
}

var commands []command

// register adds a command; it is called from init.
func register(c command) { commands = append(commands, c) }

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string, out, errout io.Writer) (code int) {
	parser := flags.NewNamedParser("wisteriakeel", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.factory(out)); err != nil {
			fmt.Fprintln(errout, "wisteriakeel:", err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(errout, "wisteriakeel:", usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(errout, "wisteriakeel:", err)
	return ExitFailed
}
