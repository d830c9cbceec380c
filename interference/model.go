// Package interference predicts how much tasks on the same executor raise the
// tail latency of serving tasks. It learns from observations of both. Tasks
// are known by their images.
//
// For each image that serves, a Model fits a linear regression: the tail
// latency relative to its objective is a base plus, for each image beside it,
// an effect times the share of the executor's CPU that this image uses. Old
// observations fade, observations far from the prediction are clipped, and an
// effect counts only as far as the observations prove it.
//
// A Model does no I/O and reads no clock. It is not safe for concurrent use.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPairs bounds the pairs of images, the base of a serving image included.
	maxPairs = 4096
	// maxBeside bounds the images beside one serving image, and with it the cost of an observation, which grows with its square.
	maxBeside = 32
	// halfLife is how long an observation takes to lose half of its weight. Effects change within seconds; half of it leaves too
	// few observations to tell an effect from noise.
	halfLife = 10 * time.Second
	// minObservations of a serving image, and minPairObservations of an image beside it, are needed for a prediction.
	minObservations     = 20
	minPairObservations = 8
	// minLoad is the least load that counts as an observation of a pair.
	minLoad = 0.01
	// maxRatio bounds observed and predicted ratios.
	maxRatio = 4.0
	// clipDeviations is the distance from the prediction, in mean deviations, at which an observation is clipped.
	clipDeviations = 3
	// confidence is how many standard errors an effect is taken to be below its estimate.
	confidence = 2
	// effectRidge and baseRidge keep the regression solvable when loads do not vary.
	effectRidge = 0.05
	baseRidge   = 1e-3
	// minDeviation keeps observations without noise from appearing to be certain.
	minDeviation = 0.02
	// solveInterval bounds how often the regression of a serving image is solved.
	solveInterval = 500 * time.Millisecond
)

// Unnamed stands for tasks without an image.
const Unnamed = ""

// Load is the use of CPU by tasks of an image, as a share of the executor's CPU.
type Load struct {
	Image string
	CPU   float64
}

// Pair is an image that serves and an image beside it on the same executor.
type Pair struct{ Serving, Beside string }

// Effect describes what is known of a pair.
type Effect struct {
	Pair
	// Rise is by how much the ratio of tail latency to objective rises if the image beside uses all CPU of the executor; it is
	// the estimate less the uncertainty.
	Rise float64
	// Observations is the number of recent observations of the pair, faded with time.
	Observations float64
	// KeptApart is how often CountKeptApart was called for the pair.
	KeptApart int
}

// Model predicts the tail latency of serving tasks.
type Model struct {
	responses map[string]*response
	// pairs is the number of pairs, uses the number of the last use of one.
	pairs int
	uses  uint64
}

// response is the regression of one serving image. Row 0 of its matrices is the base, row i+1 belongs to beside[i].
type response struct {
	beside   []neighbour
	lastUse  uint64
	weight   float64
	deviated float64
	fadedAt  time.Duration
	// gram and moment are the weighted sums of products of the loads with each other and with the ratio.
	gram   [][]float64
	moment []float64
	// coefficients and errors are the solution at solvedAt and its standard errors; they are nil if there is none.
	coefficients, errors []float64
	solvedAt             time.Duration
}

// neighbour is an image beside a serving image.
type neighbour struct {
	image     string
	lastUse   uint64
	weight    float64
	keptApart int
}

// New returns a model without observations.
func New() *Model { return &Model{responses: make(map[string]*response)} }

// Pairs returns the number of pairs that the model holds, at most maxPairs.
func (m *Model) Pairs() int { return m.pairs }

// Observe adds an observation: a task of an image had a tail latency of ratio times its objective beside loads. Times must not
// decrease.
func (m *Model) Observe(now time.Duration, image string, ratio float64, loads []Load) {
	if !(ratio >= 0) {
		return
	}
	loads = merge(loads)
	r := m.use(now, image, loads)
	r.fade(now)
	x := r.row(loads)
	y := min(ratio, maxRatio)
	if r.predicts(now) {
		predicted := r.fitted(x)
		limit := clipDeviations * r.deviation()
		r.deviated += math.Abs(y - predicted)
		y = min(max(y, predicted-limit), predicted+limit)
	} else {
		// The first observations have no prediction to be compared with.
		r.deviated += 10 * minDeviation
	}
	r.weight++
	for i, xi := range x {
		if xi == 0 {
			continue
		}
		if i > 0 && xi >= minLoad {
			r.beside[i-1].weight++
		}
		r.moment[i] += xi * y
		for j, xj := range x {
			r.gram[i][j] += xi * xj
		}
	}
}

// Predict returns the tail latency that a task of an image is expected to have beside loads, relative to its objective. It
// returns false if no load is known to raise it.
func (m *Model) Predict(now time.Duration, image string, loads []Load) (ratio float64, ok bool) {
	r := m.responses[image]
	if r == nil || !r.predicts(now) {
		return 0, false
	}
	rise := 0.0
	for _, l := range loads {
		rise += r.effect(now, l.Image) * min(max(l.CPU, 0), 1)
	}
	if rise <= 0 {
		return 0, false
	}
	return min(max(r.coefficients[0], 0)+rise, maxRatio), true
}

// Rise returns by how much the ratio of an image is known to rise if the image beside it uses all CPU of the executor.
func (m *Model) Rise(now time.Duration, pair Pair) float64 {
	r := m.responses[pair.Serving]
	if r == nil || !r.predicts(now) {
		return 0
	}
	return r.effect(now, pair.Beside)
}

// CountKeptApart counts a placement that kept the images of a pair apart.
func (m *Model) CountKeptApart(pair Pair) {
	if r := m.responses[pair.Serving]; r != nil {
		if i := r.index(pair.Beside); i >= 0 {
			r.beside[i].keptApart++
		}
	}
}

// Effects returns the pairs with the largest known rise, then those kept apart most often, at most limit.
func (m *Model) Effects(now time.Duration, limit int) []Effect {
	var effects []Effect
	for image, r := range m.responses {
		predicts := r.predicts(now)
		for _, n := range r.beside {
			e := Effect{Pair: Pair{image, n.image}, Observations: n.weight * r.faded(now), KeptApart: n.keptApart}
			if predicts {
				e.Rise = r.effect(now, n.image)
			}
			if e.Rise > 0 || e.KeptApart > 0 {
				effects = append(effects, e)
			}
		}
	}
	slices.SortFunc(effects, func(a, b Effect) int {
		return cmp.Or(
			cmp.Compare(b.Rise, a.Rise), cmp.Compare(b.KeptApart, a.KeptApart),
			cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Beside, b.Beside),
		)
	})
	return effects[:min(limit, len(effects))]
}
