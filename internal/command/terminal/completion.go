package terminal

import (
	"io"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "completion",
		short: "Print the completion script for bash",
		long:  "Prints a script for bash that completes commands, options and files; load it with: source <(wisteriakeel completion)",
		factory: func(out io.Writer) flags.Commander {
			return &completionCommand{out: out}
		},
	})
}

// bashCompletion calls the program to complete its own arguments: if GO_FLAGS_COMPLETION
// is set, go-flags prints completions instead of running a command.
const bashCompletion = `_wisteriakeel() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _wisteriakeel wisteriakeel
`

type completionCommand struct {
	out io.Writer
}

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.out, bashCompletion)
	return err
}
