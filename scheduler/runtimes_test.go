package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against trust in estimates that say little, and against distrust of good ones: the error of the predictions must come
// close to the best that a line through estimates and run times allows.
func TestRunTimesArePredictedFromGoodAndBadEstimates(t *testing.T) {
	const spread = 0.45
	for name, deviation := range map[string]float64{"good": 0.1, "rough": 0.5, "bad": 0.9} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			m := newRuntimeModel()
			squares, samples := 0.0, 0
			for i := range 1000 {
				took := logNormal(r, 800*time.Millisecond, spread)
				estimate := logNormal(r, took*2/3, deviation)
				if i >= 200 {
					e := logSeconds(m.predict(estimate)) - logSeconds(took)
					squares += e * e
					samples++
				}
				m.observe(estimate, took)
			}
			best := spread * deviation / math.Hypot(spread, deviation)
			assert.Assert(t, math.Sqrt(squares/float64(samples)) < 1.15*best)
		})
	}
}

// Guards against predictions from few run times, which would be worse than the estimates.
func TestEstimatesAreTakenAsTheyAreAtFirst(t *testing.T) {
	m := newRuntimeModel()
	assert.Assert(t, math.Abs(m.predict(700*time.Millisecond).Seconds()-0.7) < 0.001)
	for range runtimeFitInterval {
		m.observe(time.Second, 2*time.Second)
	}
	predicted := m.predict(time.Second)
	assert.Assert(t, predicted > 1200*time.Millisecond && predicted < 1800*time.Millisecond, predicted)
}

// Replays bursts beyond the capacity of a pool. Guards against jobs that rank last as large or late only because of wrong
// estimates: with learnt run times, more of them are on time than with the estimates as they are.
func TestJobsWithWrongEstimatesAreOnTimeInABurst(t *testing.T) {
	learnt, asTheyAre := 0, 0
	for seed := range uint64(3) {
		learnt += burst{seed: seed, executors: 5}.play(t)
		asTheyAre += burst{seed: seed, executors: 5, estimatesOnly: true}.play(t)
	}
	t.Logf("%d jobs on time, %d with estimates as they are", learnt, asTheyAre)
	assert.Assert(t, learnt > asTheyAre)
}
