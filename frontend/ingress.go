package frontend

import "time"

// unreadRetryAfter is the time to come back: until then, the host drops clients that send nothing and has room again.
const unreadRetryAfter = time.Second

// RejectUnread returns the result for a submission whose body is not read because the host has no room for it. An earlier attempt of
// the same job may have stored it; then the outcome is unknown, since Unavailable would promise that the job never runs.
func (f *Frontend) RejectUnread(id string) Result {
	outcome := Unavailable
	if f.submitted.isUncertain(id, f.opts.Now()) {
		outcome = Unknown
	}
	f.opts.Metrics.observe("submit", outcome, 0)
	return Result{outcome, unreadRetryAfter}
}
