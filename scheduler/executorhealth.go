package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// slowdownHalfLife is the time in which evidence of a slow executor loses half of its weight. The disturbances seen last 5 to 8 s,
	// and an executor that gets no tasks gives no evidence that it has recovered.
	slowdownHalfLife = 5 * time.Second
	// slowRatio is the ratio of actual to expected run time from which an executor counts as slow. Objectives allow 0.6 s beyond
	// work of 1 to 1.3 s, so a job that takes half as long again is late.
	slowRatio = 1.5
	// lostRunRatio is the ratio that a failed run or a silence counts as: the run is repeated, after its end was noticed.
	lostRunRatio = 3.0
	// priorSlowdownWeight is the weight of what is known of the rack before there is evidence of the executor itself, in runs.
	priorSlowdownWeight = 1.0
	// estimateWeight is the weight of a run that is compared with the estimate, relative to one that is compared with other tasks of
	// its step. The logarithms of run times deviate by 0.24 from those of the step and by up to 0.9 from the estimate.
	estimateWeight = 0.07
	// slowPenalty outweighs yielding and leaving executors, but neither failures nor the rack of the data.
	slowPenalty = 30.0
)

// slowdown estimates by how much runs take longer than expected. Old evidence is forgotten.
type slowdown struct {
	// weight is the weight of the evidence, and sum the weighted sum of the logarithms of the ratios, both at a time.
	weight, sum float64
	at          time.Duration
}

// decay forgets part of the evidence.
func (s *slowdown) decay(now time.Duration) {
	if s.weight > 0 {
		keep := math.Exp2(-float64(now-s.at) / float64(slowdownHalfLife))
		s.weight, s.sum = s.weight*keep, s.sum*keep
	}
	s.at = now
}

// add adds the ratio of an actual to an expected run time.
func (s *slowdown) add(now time.Duration, ratio, weight float64) {
	s.decay(now)
	s.weight, s.sum = s.weight+weight, s.sum+weight*math.Log(max(ratio, 1/lostRunRatio))
}

// mean returns the logarithm of the expected ratio, if it is expected to be prior without evidence.
func (s *slowdown) mean(prior float64) float64 {
	return (s.sum + priorSlowdownWeight*prior) / (s.weight + priorSlowdownWeight)
}

// rackHealth is what is known of the executors of a rack.
type rackHealth struct {
	slowdown slowdown
	// members is the number of executors that are known.
	members int
	// silent holds the executors that have gone silent within silenceWindow of each other, by the time.
	silent map[string]time.Duration
	// dark is set if there are enough of them, until an executor of the rack answers. darkSince is since when.
	dark      bool
	darkSince time.Duration
}

// mean returns the logarithm by which runs in the rack take longer than expected. Each executor counts as one that is not slow until
// it has evidence, so that the trouble of one is not that of its rack.
func (r *rackHealth) mean() float64 {
	return r.slowdown.sum / (r.slowdown.weight + priorSlowdownWeight*float64(r.members))
}

const (
	// silenceWindow is the time within which executors go silent together: the owner notices it at their next poll.
	silenceWindow = time.Second
	// minSilent is how many executors must go silent for a rack to be dark. One alone has its own trouble.
	minSilent = 2
	// minSilentShare is the least share of the rack that they must be, so that two unrelated ones do not close a large rack.
	minSilentShare = 0.25
	// minRackEvidence is the weight of evidence, in runs, below which a rack without executors is forgotten.
	minRackEvidence = 0.01
)

// rackOf returns the health of a rack, nil for no rack. It is created on first use.
func (c *Core) rackOf(rack string) *rackHealth {
	if rack == "" {
		return nil
	}
	r := c.racks[rack]
	if r == nil {
		r = &rackHealth{silent: make(map[string]time.Duration)}
		c.racks[rack] = r
	}
	return r
}

// joinRack is called when the rack of an executor may have changed, and with an empty name when it is dropped.
func (c *Core) joinRack(e *executor, rack string) {
	r := c.rackOf(rack)
	if e.rack == r {
		return
	}
	if e.rack != nil {
		e.rack.members--
		c.forgetSilence(e.rack, e.info.ID)
	}
	e.rack = r
	if r != nil {
		r.members++
	}
}

// recordSilence counts an executor that does not respond, and closes its rack if others have gone silent at the same time. One whose
// process has ended, or whose machine is about to leave, tells nothing about the rack.
func (c *Core) recordSilence(now time.Duration, e *executor) {
	if e.refused || e.cordoned || e.info.Draining || !e.registered {
		return
	}
	e.slowdown.add(now, lostRunRatio, 1)
	r := e.rack
	if r == nil {
		return
	}
	if !r.dark {
		for id, at := range r.silent {
			if now-at > silenceWindow {
				delete(r.silent, id)
			}
		}
	}
	r.silent[e.info.ID] = now
	if !r.dark && len(r.silent) >= minSilent && float64(len(r.silent)) >= minSilentShare*float64(r.members) {
		r.dark, r.darkSince = true, now
		c.addDecision(e.info.Rack, "rack gets no new tasks", map[string]any{"silent": len(r.silent), "executors": r.members})
	}
}

// recordAnswer notes that an executor responded to a request that was sent at a time. If it is one of those that went silent, or if the
// request was sent after its rack became dark, the rack is not dark.
func (c *Core) recordAnswer(e *executor, sentAt time.Duration) {
	r := e.rack
	if r == nil || len(r.silent) == 0 {
		return
	}
	_, wasSilent := r.silent[e.info.ID]
	delete(r.silent, e.info.ID)
	if wasSilent || sentAt > r.darkSince {
		c.openRack(r)
	}
}

// forgetSilence notes that an executor has ended or left its rack. The rack is not dark if none of those that went silent is left.
func (c *Core) forgetSilence(r *rackHealth, id string) {
	delete(r.silent, id)
	if len(r.silent) == 0 {
		c.openRack(r)
	}
}

// openRack lets the executors of a rack get tasks again if it is dark.
func (c *Core) openRack(r *rackHealth) {
	if r.dark {
		r.dark = false
		clear(r.silent)
		c.markActiveServicesDirty()
	}
}

// inDarkRack reports whether the executor gets no new tasks because of its rack.
func (e *executor) inDarkRack() bool { return e.rack != nil && e.rack.dark }

// observeHealth learns from a run that was done on an executor how slow the executor is, and from a run with a data rack how much longer it
// takes elsewhere. It is called before the run time is counted.
func (c *Core) observeHealth(now time.Duration, e *executor, t *task) {
	if spec := t.step.spec; !t.hasRuntime() || spec.LongRunning || spec.Gang || spec.BestEffortCPU {
		// The run time of gangs depends on their racks, that of best-effort tasks on their pace.
		return
	}
	ratio := (now - t.startedAt).Seconds() / max(t.step.runtime(), time.Millisecond).Seconds()
	if rack := t.step.spec.DataRack; rack != "" {
		c.locality.add(ratio, e.info.Rack == rack, t.step.observed == 0)
		if e.info.Rack != rack {
			return
		}
	}
	weight := estimateWeight
	if t.step.observedElsewhere(e) {
		weight = 1
	}
	e.blame(now, ratio, weight)
	t.step.observedOn(e)
}

// blame adds evidence about an executor and its rack.
func (e *executor) blame(now time.Duration, ratio, weight float64) {
	e.slowdown.add(now, ratio, weight)
	if e.rack != nil {
		e.rack.slowdown.add(now, ratio, weight)
	}
}

// observedOn notes an executor on which a task of the step was done.
func (s *step) observedOn(e *executor) {
	if s.doneOn == "" {
		s.doneOn = e.info.ID
	}
	s.doneOnSeveral = s.doneOnSeveral || s.doneOn != e.info.ID
}

// observedElsewhere reports whether a task of the step was done on another executor, so that its run time tells about this one.
func (s *step) observedElsewhere(e *executor) bool {
	return s.doneOn != "" && (s.doneOnSeveral || s.doneOn != e.info.ID)
}

// updateSlow sets which executors are slow.
func (c *Core) updateSlow(now time.Duration) {
	threshold := math.Log(slowRatio)
	for name, r := range c.racks {
		if r.slowdown.decay(now); r.members == 0 && r.slowdown.weight < minRackEvidence {
			delete(c.racks, name)
		}
	}
	for _, e := range c.executors {
		e.slowdown.decay(now)
		prior := 0.0
		if e.rack != nil {
			prior = e.rack.mean()
		}
		slow := e.slowdown.mean(prior) > threshold
		if slow && !e.slow {
			c.addDecision(e.info.ID, "executor is slow", map[string]any{"ratio": math.Exp(e.slowdown.mean(prior)), "rack": e.info.Rack, "rack_ratio": math.Exp(prior)})
		}
		e.slow = slow
	}
}

// locality learns how much longer tasks run outside of the rack of their data.
type locality struct {
	// nearSum and farSum are the sums of the logarithms of the ratios of actual to expected run time of the runs in that rack and of others.
	near, nearSum, far, farSum float64
}

const (
	// initialFarRatio is the ratio of the run times far from the data and near it until it is learned, and farPriorWeight the number of runs
	// that it counts as.
	initialFarRatio = 2.0
	farPriorWeight  = 10.0
	// maxFarRatio bounds ratios seen and the one learned. A stalled owner sees starts late, and so run times that are far too short.
	maxFarRatio = 8.0
)

// add adds the ratio of a run. Only the first run of a step counts, because the expectation of later ones includes runs elsewhere.
func (l *locality) add(ratio float64, near, first bool) {
	const keep = 1 - 1.0/runtimeMemory
	ratio = min(max(ratio, 1/maxFarRatio), maxFarRatio)
	switch {
	case !first:
	case near:
		l.near, l.nearSum = l.near*keep+1, l.nearSum*keep+math.Log(ratio)
	default:
		l.far, l.farSum = l.far*keep+1, l.farSum*keep+math.Log(ratio)
	}
}

// ratio returns how many times as long a run takes far from its data.
func (l *locality) ratio() float64 {
	nearMean := l.nearSum / (l.near + farPriorWeight)
	excess := l.farSum - l.far*nearMean
	return min(max(math.Exp((farPriorWeight*math.Log(initialFarRatio)+excess)/(farPriorWeight+l.far)), 1), maxFarRatio)
}

// waitsForRack reports whether a task, for which there is only room outside of the rack of its data, does better to wait for the next
// end of a task there. Each task that waits counts on another end. It waits no longer in all than the run elsewhere would
// take more, so that wrong expectations cannot keep it from running.
func (p *placement) waitsForRack(t *task) bool {
	rack := t.step.spec.DataRack
	ends, ok := p.rackEnds[rack]
	if !ok {
		ends = p.core.expectedEnds(p.now, t.job.service, rack, t.step.spec.Reserved())
	}
	if p.rackEnds == nil {
		p.rackEnds = make(map[string][]time.Duration)
	}
	p.rackEnds[rack] = ends
	if len(ends) == 0 {
		return false
	}
	if t.waitsForRackSince == 0 {
		t.waitsForRackSince = p.now
	}
	worth := time.Duration((p.core.locality.ratio() - 1) * float64(t.step.runtime()))
	if p.now-t.waitsForRackSince+ends[0] >= worth {
		return false
	}
	p.rackEnds[rack] = ends[1:]
	return true
}

// expectedEnds returns in order how long the tasks of a service in a rack are expected to run on that each make room for a size.
func (c *Core) expectedEnds(now time.Duration, service, rack string, size workload.Resources) []time.Duration {
	var ends []time.Duration
	for _, e := range c.members[service] {
		if e.info.Rack != rack || !e.acceptsTasks(now) {
			continue
		}
		for t := range e.tasks {
			if !t.step.spec.LongRunning && t.state == taskRunning && e.free().Add(t.step.spec.Reserved()).Fits(size) {
				ends = append(ends, max(0, t.startedAt+t.step.runtime()-now))
			}
		}
	}
	slices.Sort(ends)
	return ends
}
