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

// table prints rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table whose first row holds the headers; flush prints it.
func newTable(out io.Writer, headers ...any) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	t.row(headers...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

// decode parses the JSON body of a response.
func decode(body []byte, v any) error { return errors.Wrap(json.Unmarshal(body, v), "read the answer") }

// formatTime formats a time given in Unix milliseconds.
func formatTime(milliseconds int64) string {
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}

// escapeSegment escapes a name for use as one segment of a URL path.
func escapeSegment(name string) string { return url.PathEscape(name) }
