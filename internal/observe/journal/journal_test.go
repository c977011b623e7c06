package journal

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against lines that are not JSON, a level that cannot be changed at run time, and
// an unknown level that is accepted.
func TestJSONAndLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, level, err := New(&out, "warn")
	is.NoErr(err)
	log.Info("hidden")
	is.Equal(out.Len(), 0)
	level.SetLevel(zap.InfoLevel)
	log.Info("shown", zap.Int("count", 3))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["msg"], "shown")
	is.Equal(line["count"], 3.0)
	_, _, err = New(&out, "loud")
	is.True(err != nil)
}
