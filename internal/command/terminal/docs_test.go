package terminal

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/config/settings"
)

const docs = "../../../docs"

// Guards against a command without a man page, and an option that the man page does not
// describe.
func TestManPagesDescribeOptions(t *testing.T) {
	is := is.New(t)
	parser := flags.NewNamedParser("wisteriakeel", flags.None)
	for _, c := range commands {
		p, err := parser.AddCommand(c.name, c.short, c.long, c.factory(&bytes.Buffer{}))
		is.NoErr(err)
		page, err := os.ReadFile(filepath.Join(docs, "man", "wisteriakeel-"+c.name+".1.md"))
		is.NoErr(err)
		for _, o := range p.Options() {
			if !strings.Contains(string(page), "*--"+o.LongName+"*") {
				t.Errorf("the man page of %s does not describe --%s", c.name, o.LongName)
			}
		}
	}
}

// Guards against example files that the program rejects, and against tokens or accounts in
// them that do not match each other.
func TestExampleFilesMatch(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load(docs + "/example/settings.json")
	is.NoErr(err)
	credentials, err := secret.Load(s.SecretsFile)
	is.NoErr(err)
	text, err := os.ReadFile(docs + "/example/wisteria-pool.json")
	is.NoErr(err)
	d, err := document.Parse("wisteria-pool.json", text)
	is.NoErr(err)
	token := func(name string) string {
		text, err := os.ReadFile(docs + "/example/" + name + ".token")
		is.NoErr(err)
		return strings.TrimSpace(string(text))
	}
	o, ok := credentials.Operator(token("operator"))
	is.True(ok && o.Allows(d.Service))
	a, ok := credentials.Account(token("account"))
	is.True(ok)
	is.Equal(a, d.Accounts[0].Name)
}
