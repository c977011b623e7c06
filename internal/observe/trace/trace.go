// Package trace sets up the export of OpenTelemetry spans.
package trace

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/settings"
)

// Tracing creates the spans of a process and exports them.
type Tracing struct {
	api.TracerProvider
	closers []func(ctx context.Context) error // called in order by Stop
}

// New creates the exporter selected in the settings and installs its tracer provider and
// the W3C trace context propagator as the global ones. If the exporter is off, spans are
// not recorded. Errors of the export are logged.
func New(ctx context.Context, s *settings.Settings, log *zap.Logger) (t *Tracing, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "set up traces")
		}
	}()
	t = &Tracing{TracerProvider: noop.NewTracerProvider()}
	if s.Trace.Exporter != settings.ExporterOff {
		if err = t.startExport(ctx, s); err != nil {
			return nil, err
		}
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("failed to export trace spans", zap.Error(err)) }))
	otel.SetTracerProvider(t.TracerProvider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return t, nil
}

// startExport replaces the no-op tracer provider by one that exports in batches.
func (t *Tracing) startExport(ctx context.Context, s *settings.Settings) error {
	exporter, err := t.newExporter(ctx, s.Trace)
	if err != nil {
		return err
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "wisteriakeel"),
		attribute.String("service.instance.id", s.Instance),
		attribute.String("cloud.availability_zone", s.Zone),
		attribute.String("cloud.region", s.Region),
	)))
	t.TracerProvider = provider
	// The provider is shut down first, since it still writes the last spans to the file.
	t.closers = append([]func(context.Context) error{provider.Shutdown}, t.closers...)
	return nil
}

// newExporter creates the configured exporter; c.Exporter must not be ExporterOff.
func (t *Tracing) newExporter(ctx context.Context, c settings.Trace) (sdk.SpanExporter, error) {
	switch c.Exporter {
	case settings.ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Target+"/v1/traces"))
	case settings.ExporterFile:
		f, err := os.OpenFile(c.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, err
		}
		t.closers = append(t.closers, func(context.Context) error { return f.Close() })
		return stdouttrace.New(stdouttrace.WithWriter(f))
	default:
		return nil, errors.Newf("unknown exporter %q", c.Exporter)
	}
}

// Stop exports the remaining spans and closes the exporter.
func (t *Tracing) Stop(ctx context.Context) (err error) {
	for _, f := range t.closers {
		err = errors.CombineErrors(err, f(ctx))
	}
	return err
}
