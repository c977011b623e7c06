package terminal

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// table prints rows in columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer, heads ...any) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) end() error { return t.w.Flush() }

// read decodes an answer.
func read(body []byte, v any) error { return errors.Wrap(json.Unmarshal(body, v), "read the answer") }

// moment prints a leader's wall clock.
func moment(milliseconds int64) string {
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}

// segment escapes a name for use in a path.
func segment(name string) string { return url.PathEscape(name) }
