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
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
)

const valid = `{"accounts":[{"name":"hill","token":"hill-token-000001"},{"name":"dale","token":"dale-token-000001"}],
"operators":[{"name":"pool-team","token":"pool-token-000001","services":["wisteria-pool"]}],
"upstreams":[{"name":"worker-*","token":"work-token-000001"}],"peer":"peer-token-000001"}`

// Guards against a token that opens another kind of access than its own.
func TestLookups(t *testing.T) {
	is := is.New(t)
	b, err := Parse("secrets.json", []byte(valid))
	is.NoErr(err)
	a, ok := b.Account("dale-token-000001")
	is.True(ok)
	is.Equal(a, document.Account("dale"))
	o, ok := b.Operator("pool-token-000001")
	is.True(ok)
	is.True(o.Allows("wisteria-pool"))
	is.True(!o.Allows("visit-desk"))
	u, ok := b.Upstream("work-token-000001")
	is.True(ok)
	is.Equal(u, "worker-*")
	is.Equal(b.Peer(), "peer-token-000001")
	for _, token := range []string{"", "hill-token-00000", "pool-token-000001", "peer-token-000001"} {
		_, ok := b.Account(token)
		is.True(!ok)
	}
	_, ok = b.Operator("hill-token-000001")
	is.True(!ok)
}

// Guards against tokens in logs, errors and dumps.
func TestHidden(t *testing.T) {
	is := is.New(t)
	b, err := Parse("secrets.json", []byte(valid))
	is.NoErr(err)
	var out bytes.Buffer
	log, _, err := logging.New(&out, "debug")
	is.NoErr(err)
	log.Info("book", zap.Any("any", b), zap.Reflect("reflect", b), zap.Object("object", b), zap.Stringer("string", b))
	text, err := json.Marshal(map[string]any{"book": b})
	is.NoErr(err)
	out.Write(text)
	fmt.Fprintf(&out, "%v %+v %#v %s %x %q", b, b, b, b, b, *b)
	bad := strings.ReplaceAll(valid, `"peer-token-000001"`, `1234567890123456`)
	bad = strings.ReplaceAll(bad, "dale-token-000001", "hill-token-000001")
	_, err = Parse("secrets.json", []byte(bad))
	is.True(err != nil)
	out.WriteString(err.Error())
	for _, s := range []string{"token-0", "1234567890", "746f6b656e2d30"} {
		is.True(!strings.Contains(out.String(), s))
	}
}

// Guards against weak or shared tokens and against faults reported one at a time.
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
