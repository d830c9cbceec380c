// Package telemetry sets up the log (as JSON lines on standard output), the
// metrics registry and the trace provider of a process.
package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/tamarackworks/tamarackworks/settings"
)

// ErrSetup is matched by all errors of this package.
var ErrSetup = errors.New("telemetry: setup failed")

// Telemetry holds the log and the metrics registry of a process. Traces use the global provider of OpenTelemetry.
type Telemetry struct {
	// Log adds the program and the instance to each line.
	Log      log.Interface
	Registry *prometheus.Registry
	shutdown func(context.Context) error
}

// New sets up telemetry for one process. Traces are off unless an exporter is set; W3C trace context
// is propagated in either case. Errors match ErrSetup.
func New(s settings.Telemetry, program, instance string) (*Telemetry, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(ErrSetup, err.Error())
	}
	out := newAsyncWriter(os.Stdout)
	logger := &log.Logger{Handler: json.New(out), Level: level}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	shutdown, err := startTracing(s, program, instance, os.Stdout)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Telemetry{
		Log:      logger.WithFields(log.Fields{"program": program, "instance": instance}),
		Registry: registry,
		shutdown: func(ctx context.Context) error {
			defer out.close()
			return shutdown(ctx)
		},
	}, nil
}

// startTracing sets the global trace provider if there is an exporter, and returns the function that flushes and stops it.
// The stdout exporter writes to out.
func startTracing(s settings.Telemetry, program, instance string, out io.Writer) (func(context.Context) error, error) {
	exporter, err := newExporter(s, out)
	if err != nil {
		return nil, errors.Wrap(ErrSetup, err.Error())
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", instance),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns the exporter that the settings name, or nil if traces are off.
func newExporter(s settings.Telemetry, out io.Writer) (sdktrace.SpanExporter, error) {
	switch s.TraceExporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.TraceEndpoint))
	}
	return nil, nil
}

// Shutdown exports the remaining spans and writes the buffered log lines.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.shutdown(ctx); err != nil {
		return errors.Wrap(ErrSetup, err.Error())
	}
	return nil
}
