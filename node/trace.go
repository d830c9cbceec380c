package node

import (
	"context"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracer creates the spans of calls between entry hosts.
var tracer = otel.Tracer("tamarack-node")

// tracingInterceptor creates a span for each call between entry hosts, on both sides, and propagates the trace context.
func tracingInterceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			kind := trace.SpanKindServer
			if r.Spec().IsClient {
				kind = trace.SpanKindClient
			} else {
				ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(r.Header()))
			}
			ctx, span := tracer.Start(ctx, r.Spec().Procedure, trace.WithSpanKind(kind))
			defer span.End()
			if r.Spec().IsClient {
				otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header()))
			}
			resp, err := next(ctx, r)
			if err != nil {
				span.SetStatus(codes.Error, err.Error())
			}
			return resp, err
		}
	}
}
