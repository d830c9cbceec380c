package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// permitMargin is how long a permit must still be valid when a start is ordered, so that it is when the order arrives.
const permitMargin = 300 * time.Millisecond

// maxPermitCandidates limits the executors in one request; each of them lengthens the time until the response.
const maxPermitCandidates = 12

// permits is a response of the advice service for one step.
type permits struct {
	// byExecutor holds the permit for each executor on which the tasks of the step may start.
	byExecutor map[string]string
	validUntil time.Duration
}

func (p *permits) allows(executor string, now time.Duration) bool {
	return p != nil && now < p.validUntil && p.byExecutor[executor] != ""
}

func (p *permits) permit(executor string) string {
	if p == nil {
		return ""
	}
	return p.byExecutor[executor]
}

// PermitRequest is a request to the advice service for permits to start the tasks of a step on some of Executors. The service
// serves one call at a time, so a request names few executors.
type PermitRequest struct {
	Step      workload.StepID
	Executors []string
}

func (c *Core) needsPermit(t *task) bool { return t.job.policy.Permits != nil }

// PermitRequests returns requests for the ready steps that need permits and have neither valid ones nor an open request.
func (c *Core) PermitRequests(now time.Duration) []PermitRequest {
	var requests []PermitRequest
	for service, jobs := range c.activeJobs {
		for j := range jobs {
			if j.policy.Permits == nil || (j.inherited && !c.serviceReconciled(service)) {
				continue
			}
			for _, o := range j.occs {
				for _, s := range o.steps {
					if r, ok := c.permitRequest(now, s); ok {
						requests = append(requests, r)
					}
				}
			}
		}
	}
	return requests
}

// permitRequest returns the request for a step, if one is due and an executor can take a task of it, and marks it as open.
func (c *Core) permitRequest(now time.Duration, s *step) (PermitRequest, bool) {
	id := workload.StepID{Job: s.occ.job.spec.ID, Occurrence: s.occ.number, Step: s.index}
	if c.permitsRequested[id] || s.remaining == 0 || !s.ready() || (s.permits != nil && now < s.permits.validUntil) || !s.hasPendingTasks() {
		return PermitRequest{}, false
	}
	r := PermitRequest{Step: id}
	for _, e := range c.acceptingExecutors(now, s.occ.job.service) {
		if e.free().Fits(s.spec.Reserved()) && (s.spec.Label == "" || e.info.HasLabel(s.spec.Label)) && len(r.Executors) < maxPermitCandidates {
			r.Executors = append(r.Executors, e.info.ID)
		}
	}
	if len(r.Executors) == 0 {
		return PermitRequest{}, false
	}
	c.permitsRequested[id] = true
	return r, true
}

// hasPendingTasks reports whether a task of the step is pending.
func (s *step) hasPendingTasks() bool {
	for _, t := range s.tasks {
		if t.state == taskPending {
			return true
		}
	}
	return false
}

// PutPermits stores the response to a permit request. valid is how long the permits are valid from now; with 0, as after a
// failed call, PermitRequests returns the step again.
func (c *Core) PutPermits(now time.Duration, id workload.StepID, byExecutor map[string]string, valid time.Duration) {
	delete(c.permitsRequested, id)
	j := c.jobs[id.Job]
	if j == nil || j.occs[id.Occurrence] == nil {
		return
	}
	s := j.occs[id.Occurrence].steps[id.Step]
	s.permits = &permits{byExecutor: byExecutor, validUntil: now + valid - permitMargin}
	c.dirtyServices[j.service] = true
}
