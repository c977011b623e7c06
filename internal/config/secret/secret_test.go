package secret

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

const valid = `{"accounts":[{"name":"hill","token":"hill-token-000001"},{"name":"dale","token":"dale-token-000001"}],
"operators":[{"name":"pool-team","token":"pool-token-000001","services":["wisteria-pool"]}],
"upstreams":[{"name":"worker-*","token":"work-token-000001"}],"peer":"peer-token-000001"}`

// Guards against a token of one kind, such as an operator's, that is accepted as
// one of another kind.
func TestLookups(t *testing.T) {
	is := is.New(t)
	c, err := Parse("secrets.json", []byte(valid))
	is.NoErr(err)
	a, ok := c.Account("dale-token-000001")
	is.True(ok)
	is.Equal(a, document.Account("dale"))
	o, ok := c.Operator("pool-token-000001")
	is.True(ok)
	is.True(o.Allows("wisteria-pool"))
	is.True(!o.Allows("visit-desk"))
	u, ok := c.UpstreamPattern("work-token-000001")
	is.True(ok)
	is.Equal(u, "worker-*")
	is.Equal(c.PeerToken(), "peer-token-000001")
	for _, token := range []string{"", "hill-token-00000", "pool-token-000001", "peer-token-000001"} {
		_, ok := c.Account(token)
		is.True(!ok)
	}
	_, ok = c.Operator("hill-token-000001")
	is.True(!ok)
}

// Guards against tokens in logs, error messages, JSON and formatted values.
func TestTokensAreHidden(t *testing.T) {
	is := is.New(t)
	c, err := Parse("secrets.json", []byte(valid))
	is.NoErr(err)
	var out bytes.Buffer
	log, _, err := journal.New(&out, "debug")
	is.NoErr(err)
	log.Info("book", zap.Any("any", c), zap.Reflect("reflect", c), zap.Object("object", c), zap.Stringer("string", c))
	text, err := json.Marshal(map[string]any{"book": c})
	is.NoErr(err)
	out.Write(text)
	fmt.Fprintf(&out, "%v %+v %#v %s %x %q", c, c, c, c, c, *c)
	invalid := strings.ReplaceAll(valid, `"peer-token-000001"`, `1234567890123456`)
	invalid = strings.ReplaceAll(invalid, "dale-token-000001", "hill-token-000001")
	_, err = Parse("secrets.json", []byte(invalid))
	is.True(err != nil)
	out.WriteString(err.Error())
	for _, s := range []string{"token-0", "1234567890", "746f6b656e2d30"} {
		is.True(!strings.Contains(out.String(), s))
	}
}

// Guards against weak or shared tokens that are accepted, and against problems that
// are not all reported at once.
func TestProblems(t *testing.T) {
	is := is.New(t)
	_, err := Parse("secrets.json", []byte(`{"accounts":[{"name":"hill","token":"short"},{"name":"hill","token":"same-token-000001"}],
"operators":[{"name":"team","token":"same-token-000001","services":[]}],"upstreams":[{"name":"a*b","token":"with space 000001"}],"pear":""}`))
	var e *Error
	is.True(errors.As(err, &e))
	var fields []string
	for _, p := range e.Problems {
		fields = append(fields, p.Field)
	}
	is.Equal(fields, []string{
		"pear", "accounts[0].token", "accounts[1].name", "operators[0].services",
		"operators[0].token", "upstreams[0].name", "upstreams[0].token", "peer",
	})
}
