package operator

import (
	"context"
	"path"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
)

// newTelemetryInterceptor returns an interceptor that records a trace span, the result and the duration of each call. It
// must wrap the authentication, so that calls without a valid token are recorded too.
func newTelemetryInterceptor(registerer prometheus.Registerer) (connect.UnaryInterceptorFunc, error) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarack_operator_calls_total", Help: "Calls of the operator API by method and result.",
	}, []string{"method", "code"})
	// The last bucket ends at 16 s, because a submission takes a few round trips to the table, and up to ticket.DefaultTimeout
	// (10 s) while the table's responses are lost.
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "tamarack_operator_call_seconds", Help: "Duration of calls of the operator API.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
	}, []string{"method"})
	if registerer != nil {
		for _, c := range []prometheus.Collector{calls, duration} {
			if err := registerer.Register(c); err != nil {
				return nil, err
			}
		}
	}
	tracer := otel.Tracer("github.com/tamarackworks/tamarackworks/operator")
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			method := path.Base(req.Spec().Procedure)
			ctx, span := tracer.Start(ctx, "operator."+method)
			defer span.End()
			start := time.Now()
			response, err := next(ctx, req)
			code := "ok"
			if err != nil {
				code = connect.CodeOf(err).String()
				span.SetStatus(codes.Error, err.Error())
			}
			span.SetAttributes(attribute.String("rpc.connect_rpc.error_code", code))
			calls.WithLabelValues(method, code).Inc()
			duration.WithLabelValues(method).Observe(time.Since(start).Seconds())
			return response, err
		}
	}, nil
}
