package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// site feeds a model with observations of an image that serves beside images with given effects, as 12 executors report them.
type site struct {
	model   *Model
	now     time.Duration
	random  *rand.Rand
	effects map[string]float64
	base    float64
}

func newSite(effects map[string]float64) *site {
	return &site{model: New(), random: rand.New(rand.NewPCG(1, 2)), effects: effects, base: 0.3}
}

// run lets time pass. Each executor has two of the images, at changing loads; the noise is heavy-tailed.
func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 500 * time.Millisecond {
		for range 12 {
			ratio := s.base
			var loads []Load
			for image, effect := range s.effects {
				if s.random.Float64() < 0.5 {
					l := Load{image, 0.1 + 0.5*s.random.Float64()}
					loads = append(loads, l)
					ratio += effect * l.CPU
				}
			}
			ratio *= math.Exp(0.3 * s.random.NormFloat64())
			if s.random.IntN(30) == 0 {
				ratio *= 10
			}
			s.model.Observe(s.now, "api", ratio, loads)
		}
	}
}

func (s *site) rise(beside string) float64 { return s.model.Rise(s.now, Pair{"api", beside}) }

// Guards against an effect that is missed because reports are rough, and against one that is ascribed to an image without effect
// because it often runs beside one that has one.
func TestEffectsAreLearnedInSpiteOfNoise(t *testing.T) {
	s := newSite(map[string]float64{"noisy": 1.5, "quiet": 0, "batch": 0.1})
	s.run(20 * time.Second)
	assert.Assert(t, s.rise("noisy") > 1 && s.rise("noisy") < 2, "%f", s.rise("noisy"))
	assert.Assert(t, s.rise("quiet") < 0.15, "%f", s.rise("quiet"))
	ratio, ok := s.model.Predict(s.now, "api", []Load{{"noisy", 0.6}})
	assert.Assert(t, ok && ratio > 0.8, "%f", ratio)
	_, ok = s.model.Predict(s.now, "other", []Load{{"noisy", 0.6}})
	assert.Assert(t, !ok)
}

// Guards against a model that keeps an effect which has ended, or misses one that has begun, for longer than some half-lives.
func TestChangedEffectsAreFollowed(t *testing.T) {
	s := newSite(map[string]float64{"a": 1.5, "b": 0})
	s.run(20 * time.Second)
	s.effects = map[string]float64{"a": 0, "b": 1.5}
	s.run(15 * time.Second)
	assert.Assert(t, s.rise("b") > s.rise("a"), "%f %f", s.rise("a"), s.rise("b"))
	s.run(15 * time.Second)
	assert.Assert(t, s.rise("a") < 0.4 && s.rise("b") > 0.9, "%f %f", s.rise("a"), s.rise("b"))
}

// Guards against predictions from a few, old or one-sided observations: those that always come together prove no effect.
func TestNothingIsPredictedFromFewValues(t *testing.T) {
	m := New()
	for i := range 19 {
		m.Observe(0, "api", 0.3+float64(i%2), []Load{{"noisy", 0.9 * float64(i%2)}})
	}
	assert.Equal(t, m.Rise(time.Second, Pair{"api", "noisy"}), 0.0)
	for range 40 {
		m.Observe(0, "steady", 0.3, nil)
	}
	for range 7 {
		m.Observe(0, "steady", 0.6, []Load{{"noisy", 0.9}})
	}
	assert.Equal(t, m.Rise(time.Second, Pair{"steady", "noisy"}), 0.0)
	s := newSite(map[string]float64{"noisy": 1.5})
	s.run(20 * time.Second)
	s.now += 10 * halfLife
	assert.Equal(t, s.rise("noisy"), 0.0)
	for i := range 200 {
		m.Observe(time.Duration(i)*time.Second/20, "always", 2, []Load{{"noisy", 0.1}})
	}
	assert.Equal(t, m.Rise(10*time.Second, Pair{"always", "noisy"}), 0.0)
}

// Guards against an effect that is taken from some outliers in a row. Without clipping, this series gives one.
func TestOutliersInARowProveNoEffect(t *testing.T) {
	m, random := New(), rand.New(rand.NewPCG(1, 7))
	now := time.Duration(0)
	for i := range 200 {
		now += 100 * time.Millisecond
		m.Observe(now, "api", 0.3*math.Exp(0.3*random.NormFloat64()), []Load{{"noisy", 0.1 * float64(i%6)}})
	}
	for range 6 {
		now += 200 * time.Millisecond
		m.Observe(now, "api", 20, []Load{{"noisy", 0.6}})
	}
	rise := m.Rise(now+time.Second, Pair{"api", "noisy"})
	assert.Assert(t, rise < 0.3, "%f", rise)
}

// Guards against values that no executor measures and that would make every later prediction wrong.
func TestInvalidValuesAreIgnored(t *testing.T) {
	s := newSite(map[string]float64{"noisy": 1.5})
	s.run(20 * time.Second)
	s.model.Observe(s.now, "api", math.NaN(), nil)
	s.model.Observe(s.now, "api", -1, nil)
	s.model.Observe(s.now, "api", math.Inf(1), []Load{{"noisy", math.NaN()}, {"noisy", -5}})
	s.run(time.Second)
	assert.Assert(t, s.rise("noisy") > 1 && s.rise("noisy") < 2, "%f", s.rise("noisy"))
}

// Guards against memory that grows with the number of images, and against the eviction of pairs in use.
func TestMemoryIsBounded(t *testing.T) {
	s := newSite(map[string]float64{"noisy": 1.5})
	s.run(20 * time.Second)
	for i := range 3 * maxPairs {
		image := fmt.Sprint("x", i)
		s.model.Observe(s.now, image, 1, []Load{{image, 0.5}})
		if i%100 == 0 {
			s.run(time.Millisecond)
		}
		s.model.Observe(s.now, "crowded", 1, []Load{{image, 0.5}})
	}
	n := 0
	for _, r := range s.model.responses {
		n += 1 + len(r.beside)
		assert.Assert(t, len(r.beside) <= maxBeside && len(r.gram) == len(r.beside)+1)
	}
	assert.Equal(t, s.model.Pairs(), n)
	assert.Assert(t, n <= maxPairs)
	assert.Assert(t, s.rise("noisy") > 1)
}
