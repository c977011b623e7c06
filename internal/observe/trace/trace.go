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

// Tracing is the span export of one process.
type Tracing struct {
	api.TracerProvider
	stop []func(ctx context.Context) error
}

// New sets up the exporter that the settings name and makes it, and the W3C
// trace context propagator, the global ones. With exporter off, spans are no-ops.
// Spans that cannot be exported are reported to the log.
func New(ctx context.Context, s *settings.Settings, log *zap.Logger) (t *Tracing, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "set up traces")
		}
	}()
	t = &Tracing{TracerProvider: noop.NewTracerProvider()}
	if s.Trace.Exporter != settings.ExporterOff {
		if err = t.export(ctx, s); err != nil {
			return nil, err
		}
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("trace export", zap.Error(err)) }))
	otel.SetTracerProvider(t.TracerProvider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return t, nil
}

func (t *Tracing) export(ctx context.Context, s *settings.Settings) error {
	exporter, err := t.exporter(ctx, s.Trace)
	if err != nil {
		return err
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "wisteriakeel"),
		attribute.String("service.instance.id", s.Instance),
		attribute.String("cloud.availability_zone", s.Zone),
		attribute.String("cloud.region", s.Region),
	)))
	t.TracerProvider = p
	t.stop = append([]func(context.Context) error{p.Shutdown}, t.stop...)
	return nil
}

func (t *Tracing) exporter(ctx context.Context, c settings.Trace) (sdk.SpanExporter, error) {
	switch c.Exporter {
	case settings.ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Target+"/v1/traces"))
	case settings.ExporterFile:
		f, err := os.OpenFile(c.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, err
		}
		t.stop = append(t.stop, func(context.Context) error { return f.Close() })
		return stdouttrace.New(stdouttrace.WithWriter(f))
	default:
		return nil, errors.Newf("unknown exporter %q", c.Exporter)
	}
}

// Stop exports what is left and closes the exporter.
func (t *Tracing) Stop(ctx context.Context) (err error) {
	for _, f := range t.stop {
		err = errors.CombineErrors(err, f(ctx))
	}
	return err
}
