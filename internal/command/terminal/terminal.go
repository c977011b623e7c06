// Package terminal holds the commands that are called from a terminal. Each
// command is a struct in a file of its own that registers itself in init.
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
	// ExitUsage means that the arguments, settings or document are wrong.
	ExitUsage = 2
	// ExitConflict means that another change was first.
	ExitConflict = 3
	// ExitUnavailable means that no instance could carry out the command.
	ExitUnavailable = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	error
	code int
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.error }

// exit gives an error its exit code.
func exit(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{error: err, code: code}
}

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

// Register adds a command of another package; it is called from init.
func Register(name, short, long string, factory func(out io.Writer) flags.Commander) {
	register(command{name: name, short: short, long: long, factory: factory})
}

// UsageError gives an error the exit code of wrong arguments or files.
func UsageError(err error) error { return exit(ExitUsage, err) }

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
	return report(errout, err)
}

// report prints the error and returns the exit code that belongs to it.
func report(errout io.Writer, err error) int {
	var faults *problem.Error
	if errors.As(err, &faults) {
		fmt.Fprintln(errout, faults)
		return ExitUsage
	}
	fmt.Fprintln(errout, "wisteriakeel:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}
