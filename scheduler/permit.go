package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// permitMargin is how long a permit must still be valid when a start is ordered, so that it is when the order arrives.
	permitMargin = 300 * time.Millisecond
	// minPermitCandidates and maxPermitCandidates bound the executors in one request; see permitPageSize. The service accepts no more.
	minPermitCandidates = 12
	maxPermitCandidates = 100
	// maxOpenPermitRequests keeps the advice service, which serves one call at a time, busy, without a queue there in which calls time out.
	maxOpenPermitRequests = 4
	// permitRetryDelay is how long a task waits after an executor has not accepted its permit.
	permitRetryDelay = 500 * time.Millisecond
)

// permitState is what is known of the right to run a step on an executor.
type permitState int

const (
	// permitUnknown means that the advice service is to be asked: it was not, or the permit has expired or belongs to another incarnation
	// of the executor.
	permitUnknown permitState = iota
	permitValid
	// permitDenied lasts as long as the incarnation, because the decisions of the service do not change.
	permitDenied
)

// permits is what the advice service has answered about one step.
type permits struct {
	// answers holds the last answer about each executor; none about those that were not asked about.
	answers map[string]permitAnswer
	// answeredAt is when the last response arrived.
	answeredAt time.Duration
}

// permitAnswer is an answer about one incarnation of an executor. An empty permit is a denial.
type permitAnswer struct {
	incarnation int64
	permit      string
	validUntil  time.Duration
}

// state returns what is known of an executor. Nothing is before the first response, when p is nil.
func (p *permits) state(e *executor, now time.Duration) permitState {
	if p == nil {
		return permitUnknown
	}
	a, ok := p.answers[e.info.ID]
	switch {
	case !ok || a.incarnation != e.latestIncarnation():
		return permitUnknown
	case a.permit == "":
		return permitDenied
	case now < a.validUntil:
		return permitValid
	}
	return permitUnknown
}

// wasPermitted reports whether the last answer about the executor was a permit.
func (p *permits) wasPermitted(e *executor) bool {
	if p == nil {
		return false
	}
	a := p.answers[e.info.ID]
	return a.permit != "" && a.incarnation == e.latestIncarnation()
}

// PermitRequest is a request to the advice service for permits to start the tasks of a step on some of Executors.
type PermitRequest struct {
	Step      workload.StepID
	Executors []string
}

func (c *Core) needsPermit(t *task) bool { return t.job.policy.Permits != nil }

// wantPermit records that a task of a step would fit on an executor whose permit is unknown, with a penalty as in placement.
func (c *Core) wantPermit(s *step, e *executor, penalty float64) {
	wanted := c.permitsWanted[s]
	if wanted == nil {
		wanted = make(map[*executor]float64)
		c.permitsWanted[s] = wanted
	}
	if former, ok := wanted[e]; !ok || penalty < former {
		wanted[e] = penalty
	}
}

// awaitsPermits reports whether the advice service has not answered yet about executors on which tasks of a step would fit.
func (c *Core) awaitsPermits(s *step) bool {
	return len(c.permitsWanted[s]) > 0 || c.permitsRequested[s.id()] != nil
}

// PermitRequests returns requests for the steps with a task that fits on no executor with a valid permit, but on others whose permit is
// unknown. A step has one open request at a time and asks about some executors after the other, so that it finds those that are
// permitted however few they are and does not hold up other steps. It is called after Schedule.
func (c *Core) PermitRequests(now time.Duration) []PermitRequest {
	steps := slices.SortedFunc(maps.Keys(c.permitsWanted), func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.permitsWantedSince(), b.permitsWantedSince()), cmp.Compare(a.occ.job.spec.ID, b.occ.job.spec.ID), cmp.Compare(a.occ.number, b.occ.number), cmp.Compare(a.index, b.index))
	})
	var requests []PermitRequest
	for _, s := range steps {
		if len(c.permitsRequested) >= maxOpenPermitRequests {
			break
		}
		id := s.id()
		if c.permitsRequested[id] != nil {
			continue
		}
		page := permitPage(s, c.permitsWanted[s])
		incarnations := make(map[string]int64, len(page))
		r := PermitRequest{Step: id}
		for _, e := range page {
			incarnations[e.info.ID] = e.latestIncarnation()
			r.Executors = append(r.Executors, e.info.ID)
		}
		c.permitsRequested[id] = incarnations
		requests = append(requests, r)
	}
	clear(c.permitsWanted)
	return requests
}

// permitPage returns the executors for the next request of a step: first those that were permitted before, then the most suitable ones.
func permitPage(s *step, wanted map[*executor]float64) []*executor {
	page := slices.SortedFunc(maps.Keys(wanted), func(a, b *executor) int {
		if before := s.permits.wasPermitted(a); before != s.permits.wasPermitted(b) {
			if before {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(wanted[a], wanted[b]), cmp.Compare(a.info.ID, b.info.ID))
	})
	return page[:min(len(page), permitPageSize(s.occ.job.policy.Permits))]
}

// permitPageSize returns how many executors a request names at most. A response takes a base time and more for each executor. The size
// balances the two: with fewer executors the base time dominates, with more the first permit of this step and of others comes later.
func permitPageSize(p *workload.PermitPolicy) int {
	if p == nil || p.PerExecutor <= 0 {
		return maxPermitCandidates
	}
	return min(max(int(p.DecisionTime/p.PerExecutor), minPermitCandidates), maxPermitCandidates)
}

// permitsWantedSince returns when the last response about permits for the step arrived, or its job before the first one.
func (s *step) permitsWantedSince() time.Duration {
	if s.permits == nil {
		return s.occ.job.arrived
	}
	return s.permits.answeredAt
}

// PutPermits stores the response to a permit request: permits by executor, without those that may not run the step, and how long they are
// valid from now, or 0 if the policy of the queue tells. After a failed call byExecutor is nil, and nothing is known of the
// executors in the request.
func (c *Core) PutPermits(now time.Duration, id workload.StepID, byExecutor map[string]string, valid time.Duration) {
	asked := c.permitsRequested[id]
	delete(c.permitsRequested, id)
	j := c.jobs[id.Job]
	if j == nil || j.occs[id.Occurrence] == nil {
		return
	}
	c.dirtyServices[j.service] = true
	s := j.occs[id.Occurrence].steps[id.Step]
	if s.permits == nil {
		s.permits = &permits{answers: make(map[string]permitAnswer)}
	}
	s.permits.answeredAt = now
	if byExecutor == nil {
		return
	}
	if valid <= 0 && j.policy.Permits != nil {
		valid = j.policy.Permits.Validity.Duration()
	}
	maps.DeleteFunc(s.permits.answers, func(id string, _ permitAnswer) bool { return c.executors[id] == nil })
	for executor, incarnation := range asked {
		s.permits.answers[executor] = permitAnswer{incarnation, byExecutor[executor], now + valid - min(permitMargin, valid/2)}
	}
}

// dropPermit makes the permit for an executor that has not accepted it unknown.
func (s *step) dropPermit(executor string) {
	if s.permits != nil {
		delete(s.permits.answers, executor)
	}
}
