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

// remoteParent is the traceparent header of a caller.
const remoteParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// exportSpan records one span as a child of the remote parent and stops the export.
func exportSpan(t *testing.T, c settings.Trace) {
	t.Helper()
	ctx := context.Background()
	s, err := New(ctx, &settings.Settings{Instance: "e1", Trace: c}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{"traceparent": remoteParent})
	_, child := otel.Tracer("test").Start(ctx, "hop")
	child.End()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err = s.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against spans that are lost when the process ends, and against spans that do
// not belong to the caller's trace.
func TestFileExporter(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/spans.json"
	exportSpan(t, settings.Trace{Exporter: settings.ExporterFile, Target: path})
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "4bf92f3577b34da6a3ce929d0e0e4736"))
	is.True(strings.Contains(string(text), `"Value":"e1"`))
}

// Guards against an exporter that sends to a path that OTLP collectors do not serve.
func TestOTLPExporter(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r.Method + " " + r.URL.Path + " " + string(body)
	}))
	defer h.Close()
	exportSpan(t, settings.Trace{Exporter: settings.ExporterOTLP, Target: h.URL})
	text := <-got
	is.True(strings.HasPrefix(text, "POST /v1/traces "))
	is.True(strings.Contains(text, "hop"))
}

// Guards against recording spans that nothing exports, and against a process whose
// exporter is off and therefore does not propagate the caller's trace context.
func TestExporterOff(t *testing.T) {
	is := is.New(t)
	exportSpan(t, settings.Trace{Exporter: settings.ExporterOff})
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": remoteParent})
	ctx, hop := otel.Tracer("test").Start(ctx, "hop")
	is.True(!hop.IsRecording())
	next := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, next)
	is.Equal(next["traceparent"], remoteParent)
}
