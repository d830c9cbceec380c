package telemetry

import (
	"bytes"
	"testing"

	"go.opentelemetry.io/otel"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tamarackworks/tamarackworks/settings"
)

// Guards against spans that are lost because shutdown does not flush them.
func TestShutdownFlushesSpans(t *testing.T) {
	var out bytes.Buffer
	s := settings.Telemetry{TraceExporter: "stdout", TraceRatio: 1}
	shutdown, err := startTracing(s, "tamarackd", "e1", &out)
	assert.NilError(t, err)
	_, span := otel.Tracer("test").Start(t.Context(), "hop")
	span.End()
	assert.NilError(t, shutdown(t.Context()))
	assert.Assert(t, cmp.Contains(out.String(), `"Name":"hop"`))
}
