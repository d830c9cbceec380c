package scheduler

import (
	"math"
	"time"
)

const (
	// runtimeMemory is the number of recent run times that a model weighs, so that it follows a queue whose work changes.
	runtimeMemory = 500
	// runtimePriorWeight is how many run times the estimates of submitters count as, and runtimePriorVariance is the
	// variance of their logarithms that they stand for.
	runtimePriorWeight   = 10
	runtimePriorVariance = 0.05
	// runtimeFitInterval is the number of run times between two fits.
	runtimeFitInterval = 16
)

// runtimeModel predicts from the estimates of a queue how long its tasks run. Some submitters estimate well; the estimates of
// others say little more than the average of the queue. The model learns which by linear regression between the logarithms of
// estimates and run times, and relies on the estimates until it has seen enough.
type runtimeModel struct {
	// weight is the number of run times, older ones discounted. The others are sums over them: of the logarithms of the
	// estimates (x) and run times (y), and of products.
	weight, sumX, sumY, sumXX, sumXY float64
	sinceFit                         int
	// version counts the fits. slope and shift define the line of the last one.
	version      int
	slope, shift float64
}

func newRuntimeModel() *runtimeModel { return &runtimeModel{version: 1, slope: 1} }

// observe adds a run time and its estimate.
func (m *runtimeModel) observe(estimate, took time.Duration) {
	x, y := logSeconds(estimate), logSeconds(took)
	const keep = 1 - 1.0/runtimeMemory
	m.weight = m.weight*keep + 1
	m.sumX, m.sumY = m.sumX*keep+x, m.sumY*keep+y
	m.sumXX, m.sumXY = m.sumXX*keep+x*x, m.sumXY*keep+x*y
	if m.sinceFit++; m.sinceFit >= runtimeFitInterval {
		m.fit()
	}
}

// fit computes the line. The prior is a line through the origin with slope 1, which is to take estimates as they are.
func (m *runtimeModel) fit() {
	m.sinceFit = 0
	m.version++
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	covariance, variance := m.sumXY-m.weight*meanX*meanY, m.sumXX-m.weight*meanX*meanX
	const prior = runtimePriorWeight * runtimePriorVariance
	m.slope = min(max((covariance+prior)/(variance+prior), 0), 1)
	m.shift = (meanY - m.slope*meanX) * m.weight / (m.weight + runtimePriorWeight)
}

// predict returns how long a task with an estimate is expected to run.
func (m *runtimeModel) predict(estimate time.Duration) time.Duration {
	return time.Duration(math.Exp(m.slope*logSeconds(estimate)+m.shift) * float64(time.Second))
}

// logSeconds returns the logarithm of a duration in seconds, at least that of a millisecond.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// runtimes returns the model of a queue, and creates it on first use.
func (c *Core) runtimes(queue string) *runtimeModel {
	m := c.runtimeModels[queue]
	if m == nil {
		m = newRuntimeModel()
		c.runtimeModels[queue] = m
	}
	return m
}

// runtime returns how long a task of the step is expected to run: as long as those of its tasks that are done, if there are
// any, because the tasks of a step differ little.
func (s *step) runtime() time.Duration {
	if s.observed > 0 {
		return s.observedTime / time.Duration(s.observed)
	}
	m := s.occ.job.runtimes
	if s.predictedBy != m.version {
		s.predicted, s.predictedBy = m.predict(s.spec.Estimate.Duration()), m.version
	}
	return s.predicted
}

// hasRuntime reports whether this owner has seen all of the run of a task that is done. Runs that an earlier owner started or
// that resumed from a checkpoint ran longer.
func (t *task) hasRuntime() bool {
	return t.orderedAt != 0 && t.checkpoint == "" && t.state == taskRunning
}

// observeRuntime records the run time of a task that was done at a time.
func (t *task) observeRuntime(now time.Duration) {
	if !t.hasRuntime() {
		return
	}
	took := now - t.startedAt
	if t.step.observed == 0 {
		t.job.runtimes.observe(t.step.spec.Estimate.Duration(), took)
	}
	t.step.observed++
	t.step.observedTime += took
	t.job.invalidateExpectation()
	t.job.objective = t.step.occ.objective()
}
