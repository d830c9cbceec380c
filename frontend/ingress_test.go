package frontend

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that promises that a job never runs although an earlier attempt may have stored it.
func TestUnreadSubmissionOfAJobThatMayBeStoredIsUnknown(t *testing.T) {
	f := New(Options{Now: func() time.Duration { return time.Minute }, Metrics: NewMetrics(prometheus.NewRegistry())})
	f.submitted.record("a", time.Minute, true)
	f.submitted.record("b", time.Minute, false)
	assert.Equal(t, f.RejectUnread("a").Outcome, Unknown)
	assert.Equal(t, f.RejectUnread("b").Outcome, Unavailable)
	assert.Equal(t, f.RejectUnread("c"), Result{Unavailable, time.Second})
}
