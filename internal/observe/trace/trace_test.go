package trace

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/settings"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// span makes one span below the remote parent and stops the export.
func span(t *testing.T, c settings.Trace) {
	t.Helper()
	ctx := context.Background()
	s, err := New(ctx, &settings.Settings{Instance: "e1", Trace: c}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	_, child := otel.Tracer("test").Start(ctx, "hop")
	child.End()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err = s.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against spans that are lost at the end of the process or do not
// continue the caller's trace.
func TestFile(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/spans.json"
	span(t, settings.Trace{Exporter: settings.ExporterFile, Target: path})
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "4bf92f3577b34da6a3ce929d0e0e4736"))
	is.True(strings.Contains(string(text), `"Value":"e1"`))
}

// Guards against an exporter that sends to another path than collectors serve.
func TestOTLP(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r.Method + " " + r.URL.Path + " " + string(body)
	}))
	defer h.Close()
	span(t, settings.Trace{Exporter: settings.ExporterOTLP, Target: h.URL})
	text := <-got
	is.True(strings.HasPrefix(text, "POST /v1/traces "))
	is.True(strings.Contains(text, "hop"))
}

// Guards against spans that are recorded although nothing exports them, and
// against a process with exporter off that breaks the trace of its neighbours.
func TestOff(t *testing.T) {
	is := is.New(t)
	span(t, settings.Trace{Exporter: settings.ExporterOff})
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
	ctx, hop := otel.Tracer("test").Start(ctx, "hop")
	is.True(!hop.IsRecording())
	next := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, next)
	is.Equal(next["traceparent"], parent)
}
