package terminal

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/config/settings"
)

func init() {
	register(command{
		name:  "check",
		short: "Check settings, secrets and documents",
		long:  "Checks files without an instance and prints every problem. The kind of a file is told by its fields.",
		factory: func(out io.Writer) flags.Commander {
			return &checkCommand{out: out}
		},
	})
}

type checkCommand struct {
	Args struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true" required:"true"`

	out io.Writer
}

// fileKind describes one kind of file that check can parse.
type fileKind struct {
	name   string
	fields []string // top-level fields by which files of this kind are recognized
	parse  func(name string, text []byte) error
}

// fileKinds lists the known kinds of files; on a tie in detectKind, the earlier kind is taken.
var fileKinds = []fileKind{
	{"document", []string{"service", "kind", "models", "cascades", "rollouts", "calls"}, func(name string, text []byte) error {
		_, err := document.Parse(name, text)
		return err
	}},
	{"settings", []string{"instance", "zone", "region", "roles", "listen", "control", "secrets"}, func(name string, text []byte) error {
		_, err := settings.Parse(name, text)
		return err
	}},
	{"secrets", []string{"operators", "upstreams", "peer", "accounts"}, func(name string, text []byte) error {
		_, err := secret.Parse(name, text)
		return err
	}},
}

// RegisterFileKind adds a kind of file to check, which recognizes it by the given top-level
// fields. For an invalid file, parse returns a *problem.Error. RegisterFileKind is called
// from init functions.
func RegisterFileKind(name string, fields []string, parse func(name string, text []byte) error) {
	fileKinds = append(fileKinds, fileKind{name, fields, parse})
}

// Execute checks all files and reports the problems of all of them together.
func (c *checkCommand) Execute([]string) error {
	found := &problem.Error{}
	for _, f := range c.Args.Files {
		name := string(f)
		text, err := os.ReadFile(name)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		kind := detectKind(text)
		err = kind.parse(name, text)
		var e *problem.Error
		if errors.As(err, &e) {
			found.Problems = append(found.Problems, e.Problems...)
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s: %s, no problems\n", name, kind.name)
	}
	if len(found.Problems) > 0 {
		return found
	}
	return nil
}

// detectKind returns the kind of file that shares the most fields with the text.
func detectKind(text []byte) fileKind {
	// Files are JSON, except those of the users' platform, which are TOML. Syntax errors
	// are ignored here, since the parser of the detected kind reports them.
	fields := map[string]any{}
	if json.Unmarshal(text, &fields) != nil {
		_ = toml.Unmarshal(text, &fields)
	}
	best, bestCount := unknownKind, 0
	for _, f := range fileKinds {
		count := 0
		for _, name := range f.fields {
			if _, ok := fields[name]; ok {
				count++
			}
		}
		if count > bestCount {
			best, bestCount = f, count
		}
	}
	return best
}

// unknownKind is the kind of a file that has no field of any known kind. Its parse function
// always reports a problem: a syntax error, or that the fields are missing.
var unknownKind = fileKind{"unknown", nil, func(name string, text []byte) error {
	l := problem.NewList(name)
	if l.Decode(text, &struct{}{}) || l.Empty() {
		l = problem.NewList(name)
		l.Add("", "the fields of settings, secrets or a document", "none of them")
	}
	return l.Err()
}}
