package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// merge sums the loads of each image and keeps the largest, at most maxBeside.
func merge(loads []Load) []Load {
	merged := make([]Load, 0, len(loads))
	for _, l := range loads {
		if !(l.CPU > 0) {
			continue
		}
		if i := slices.IndexFunc(merged, func(o Load) bool { return o.Image == l.Image }); i >= 0 {
			merged[i].CPU += l.CPU
		} else {
			merged = append(merged, l)
		}
	}
	for i := range merged {
		merged[i].CPU = min(merged[i].CPU, 1)
	}
	if len(merged) > maxBeside {
		slices.SortFunc(merged, func(a, b Load) int { return cmp.Compare(b.CPU, a.CPU) })
		merged = merged[:maxBeside]
	}
	return merged
}

// use returns the regression of an image with a row for each load, and marks them as used. Least recently used pairs make room.
func (m *Model) use(now time.Duration, image string, loads []Load) *response {
	r := m.responses[image]
	if r == nil {
		r = &response{gram: [][]float64{{0}}, moment: []float64{0}, fadedAt: now}
		m.responses[image] = r
		m.pairs++
	}
	r.lastUse = m.nextUse()
	var added []string
	for _, l := range loads {
		if i := r.index(l.Image); i >= 0 {
			r.beside[i].lastUse = m.nextUse()
		} else {
			added = append(added, l.Image)
		}
	}
	for _, name := range added {
		if len(r.beside) >= maxBeside {
			r.remove(r.leastRecentlyUsed())
			m.pairs--
		}
		r.add(neighbour{image: name, lastUse: m.nextUse()})
		m.pairs++
	}
	for m.pairs > maxPairs {
		m.evict()
	}
	return r
}

func (m *Model) nextUse() uint64 {
	m.uses++
	return m.uses
}

// evict drops the least recently used pair. The base of a serving image goes last, when no image is left beside it.
func (m *Model) evict() {
	var oldest *response
	var oldestImage string
	oldestUse := uint64(math.MaxUint64)
	for image, r := range m.responses {
		use := r.lastUse
		if len(r.beside) > 0 {
			use = r.beside[r.leastRecentlyUsed()].lastUse
		}
		if use < oldestUse {
			oldest, oldestImage, oldestUse = r, image, use
		}
	}
	if len(oldest.beside) > 0 {
		oldest.remove(oldest.leastRecentlyUsed())
	} else {
		delete(m.responses, oldestImage)
	}
	m.pairs--
}

func (r *response) leastRecentlyUsed() int {
	oldest := 0
	for i, n := range r.beside {
		if n.lastUse < r.beside[oldest].lastUse {
			oldest = i
		}
	}
	return oldest
}

// index returns the position of an image in beside, or -1.
func (r *response) index(image string) int {
	return slices.IndexFunc(r.beside, func(n neighbour) bool { return n.image == image })
}

// add appends an image without observations.
func (r *response) add(n neighbour) {
	r.beside = append(r.beside, n)
	for i := range r.gram {
		r.gram[i] = append(r.gram[i], 0)
	}
	r.gram = append(r.gram, make([]float64, len(r.beside)+1))
	r.moment = append(r.moment, 0)
	if r.coefficients != nil {
		r.coefficients, r.errors = append(r.coefficients, 0), append(r.errors, math.Inf(1))
	}
}

// remove drops the image at a position of beside.
func (r *response) remove(i int) {
	r.beside = slices.Delete(r.beside, i, i+1)
	r.gram = slices.Delete(r.gram, i+1, i+2)
	for k := range r.gram {
		r.gram[k] = slices.Delete(r.gram[k], i+1, i+2)
	}
	r.moment = slices.Delete(r.moment, i+1, i+2)
	if r.coefficients != nil {
		r.coefficients, r.errors = slices.Delete(r.coefficients, i+1, i+2), slices.Delete(r.errors, i+1, i+2)
	}
}

// row returns the loads in the order of the rows; the base has load 1.
func (r *response) row(loads []Load) []float64 {
	x := make([]float64, len(r.beside)+1)
	x[0] = 1
	for _, l := range loads {
		x[r.index(l.Image)+1] = l.CPU
	}
	return x
}

// faded returns the factor by which the weight of the observations has shrunk since fadedAt.
func (r *response) faded(now time.Duration) float64 {
	return math.Exp2(-float64(max(now-r.fadedAt, 0)) / float64(halfLife))
}

// fade reduces the weight of the observations so far.
func (r *response) fade(now time.Duration) {
	factor := r.faded(now)
	r.fadedAt = max(r.fadedAt, now)
	r.weight *= factor
	r.deviated *= factor
	for i := range r.gram {
		r.moment[i] *= factor
		for j := range r.gram[i] {
			r.gram[i][j] *= factor
		}
	}
	for i := range r.beside {
		r.beside[i].weight *= factor
	}
}

// predicts reports whether there are enough recent observations, and solves the regression if so.
func (r *response) predicts(now time.Duration) bool {
	if r.weight*r.faded(now) < minObservations {
		return false
	}
	r.solve(now)
	return r.coefficients != nil
}

// deviation returns the mean deviation of observations from their predictions.
func (r *response) deviation() float64 { return max(r.deviated/max(r.weight, 1), minDeviation) }

// fitted returns the estimate for a row of loads, uncertain effects included.
func (r *response) fitted(x []float64) float64 {
	sum := r.coefficients[0]
	for i := 1; i < len(x); i++ {
		sum += max(r.coefficients[i], 0) * x[i]
	}
	return sum
}

// effect returns the rise by an image that the observations prove; 0 if they prove none.
func (r *response) effect(now time.Duration, image string) float64 {
	i := r.index(image)
	if i < 0 {
		return 0
	}
	rise := r.coefficients[i+1] - confidence*r.errors[i+1]
	if rise <= 0 || r.beside[i].weight*r.faded(now) < minPairObservations {
		return 0
	}
	return rise
}

// solve solves the regression if the last solution is older than solveInterval.
func (r *response) solve(now time.Duration) {
	if r.coefficients != nil && now-r.solvedAt < solveInterval {
		return
	}
	n := len(r.gram)
	a := make([][]float64, n)
	for i := range a {
		a[i] = slices.Clone(r.gram[i])
		a[i][i] += effectRidge
	}
	a[0][0] += baseRidge - effectRidge
	inverse := invert(a)
	if inverse == nil {
		return
	}
	r.solvedAt = now
	r.coefficients, r.errors = make([]float64, n), make([]float64, n)
	// A mean deviation is some 0.8 of a standard deviation.
	sigma := r.deviation() / 0.8
	for i := range n {
		for j := range n {
			r.coefficients[i] += inverse[i][j] * r.moment[j]
		}
		r.errors[i] = sigma * math.Sqrt(max(inverse[i][i], 0))
	}
}

// invert returns the inverse of a positive definite matrix by Gauss-Jordan elimination, which needs no pivoting for such
// matrices. It destroys a, and returns nil if a is not positive definite by rounding.
func invert(a [][]float64) [][]float64 {
	n := len(a)
	inverse := make([][]float64, n)
	for i := range inverse {
		inverse[i] = make([]float64, n)
		inverse[i][i] = 1
	}
	for k := range n {
		pivot := a[k][k]
		if !(pivot > 1e-12) {
			return nil
		}
		for j := range n {
			a[k][j] /= pivot
			inverse[k][j] /= pivot
		}
		for i := range n {
			factor := a[i][k]
			if i == k || factor == 0 {
				continue
			}
			for j := range n {
				a[i][j] -= factor * a[k][j]
				inverse[i][j] -= factor * inverse[k][j]
			}
		}
	}
	return inverse
}
