// Package terminal implements the command line of wisteriakeel. Each command is a struct in
// a file of its own, which registers it in an init function.
package terminal

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Exit codes of every command.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, settings or document are invalid.
	ExitUsage = 2
	// ExitConflict means that the document has been changed by another change meanwhile.
	ExitConflict = 3
	// ExitUnavailable means that no instance was able to carry out the command.
	ExitUnavailable = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the exit code.
func (e *exitError) Unwrap() error { return e.error }

// withExitCode attaches an exit code to an error; a nil error stays nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{error: err, code: code}
}

// command describes a subcommand of the program.
type command struct {
	name    string
	short   string
	long    string
	factory func(out io.Writer) flags.Commander
}

// commands lists the registered commands in the order of their registration.
var commands []command

// register adds a command. It is called from init functions.
func register(c command) { commands = append(commands, c) }

// Register adds a command of another package. It is called from init functions.
func Register(name, short, long string, factory func(out io.Writer) flags.Commander) {
	register(command{name: name, short: short, long: long, factory: factory})
}

// UsageError attaches ExitUsage to an error: the arguments or files are invalid.
func UsageError(err error) error { return withExitCode(ExitUsage, err) }

// Main runs the command named by the arguments and returns the exit code.
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
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(out, flagErr.Message)
			return ExitOK
		}
		fmt.Fprintln(errout, "wisteriakeel:", flagErr.Message)
		return ExitUsage
	}
	return report(errout, err)
}

// report prints the error and returns its exit code.
func report(errout io.Writer, err error) int {
	var invalid *problem.Error
	if errors.As(err, &invalid) {
		fmt.Fprintln(errout, invalid)
		return ExitUsage
	}
	fmt.Fprintln(errout, "wisteriakeel:", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return ExitFailed
}
