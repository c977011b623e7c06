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

// form is one kind of file.
type form struct {
	name  string
	marks []string // fields that only this kind has
	parse func(name string, text []byte) error
}

var forms = []form{
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

// RegisterFileKind adds a kind of file that check knows, told by the fields that only it has.
// parse returns a *problem.Error for a file that is wrong. It is called from init.
func RegisterFileKind(name string, marks []string, parse func(name string, text []byte) error) {
	forms = append(forms, form{name, marks, parse})
}

// Execute checks each file and reports the problems of all of them.
func (c *checkCommand) Execute([]string) error {
	all := &problem.Error{}
	for _, f := range c.Args.Files {
		name := string(f)
		text, err := os.ReadFile(name)
		if err != nil {
			return exit(ExitUsage, err)
		}
		kind := guess(text)
		err = kind.parse(name, text)
		var e *problem.Error
		if errors.As(err, &e) {
			all.Problems = append(all.Problems, e.Problems...)
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s: %s, no problems\n", name, kind.name)
	}
	if len(all.Problems) > 0 {
		return all
	}
	return nil
}

// guess returns the kind of file that has most of the fields.
func guess(text []byte) form {
	// The parser of the kind reports what is wrong. Files of the product are JSON.
	fields := map[string]any{}
	if json.Unmarshal(text, &fields) != nil {
		_ = toml.Unmarshal(text, &fields)
	}
	best, most := unknown, 0
	for _, f := range forms {
		count := 0
		for _, m := range f.marks {
			if _, ok := fields[m]; ok {
				count++
			}
		}
		if count > most {
			best, most = f, count
		}
	}
	return best
}

var unknown = form{"unknown", nil, func(name string, text []byte) error {
	l := problem.NewList(name)
	if l.Decode(text, &struct{}{}) || l.Empty() {
		l = problem.NewList(name)
		l.Add("", "the fields of settings, secrets or a document", "none of them")
	}
	return l.Err()
}}
