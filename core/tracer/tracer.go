// Package tracer starts the spans of a process and propagates the trace context
// between processes.
package tracer

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const traceparentKey = "traceparent"

// Kind classifies an error of this package.
type Kind string

// KindInvalid means that the exporter's settings cannot be used.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package name.
func (e *Error) Error() string { return fmt.Sprintf("tracer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Tracer starts the spans of one process.
type Tracer struct {
	tracer   trace.Tracer
	enabled  bool
	shutdown func(context.Context) error
}

// Disabled returns a tracer that drops all spans.
func Disabled() *Tracer {
	return &Tracer{
		tracer:   noop.NewTracerProvider().Tracer("jackdawcart"),
		shutdown: func(context.Context) error { return nil },
	}
}

// New returns a tracer that sends the given share of traces to an OTLP
// endpoint. An empty endpoint disables tracing.
func New(ctx context.Context, endpoint string, share float64, process, node string) (*Tracer, error) {
	if endpoint == "" {
		return Disabled(), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindInvalid, Err: err}
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "jackdawcart-"+process),
			attribute.String("service.instance.id", node),
		)),
	)
	return &Tracer{tracer: provider.Tracer("jackdawcart"), enabled: true, shutdown: provider.Shutdown}, nil
}

// Enabled reports whether spans are recorded. If not, there is no need to collect
// their attributes.
func (t *Tracer) Enabled() bool { return t.enabled }

// Start starts the span of one hop.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Shutdown sends the spans that are still buffered and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// Traceparent returns the traceparent value to send to the next hop. It is empty
// when ctx has no valid span context.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// WithTraceparent returns a context that continues the trace of another hop.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}
