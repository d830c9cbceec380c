package rowstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// attemptAfter returns an attempt that takes d and returns err, unless its context ends first.
func attemptAfter(d time.Duration, err error) Attempt {
	return func(ctx context.Context) (uint64, error) {
		select {
		case <-time.After(d):
			return 7, err
		case <-ctx.Done():
			return 0, ErrAmbiguous
		}
	}
}

// Guards against abandoning an attempt whose response is slow, and against a long wait for a response that is lost.
func TestRaceTakesTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r, err := Race(t.Context(), RaceOptions{HedgeDelay: 400 * time.Millisecond}, Repeat(4, attemptAfter(700*time.Millisecond, nil)))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 700*time.Millisecond)
		assert.Equal(t, r.SentAt, time.Duration(0))
		lost := attemptAfter(time.Hour, nil)
		start = time.Now()
		r, err = Race(t.Context(), RaceOptions{HedgeDelay: 400 * time.Millisecond}, []Attempt{lost, attemptAfter(4*time.Millisecond, nil)})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 404*time.Millisecond)
		assert.Equal(t, r.SentAt, 400*time.Millisecond)
	})
}

// Guards against returning ErrUnavailable although an attempt may have been applied, and against a late error when all
// attempts were certainly not applied.
func TestRaceTellsRefusedFromUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		unavailable := attemptAfter(5*time.Millisecond, ErrUnavailable)
		_, err := Race(t.Context(), RaceOptions{HedgeDelay: time.Second, GiveUpAfter: 2}, Repeat(5, unavailable))
		assert.ErrorIs(t, err, ErrUnavailable)
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = Race(ctx, RaceOptions{HedgeDelay: 100 * time.Millisecond, GiveUpAfter: 2}, []Attempt{attemptAfter(time.Hour, nil), unavailable, unavailable, unavailable})
		assert.ErrorIs(t, err, ErrAmbiguous)
	})
}

// Guards against retrying an attempt that ended with a conflict, which the caller must resolve.
func TestRaceEndsWithAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int32
		_, err := Race(t.Context(), RaceOptions{HedgeDelay: time.Second}, Repeat(4, func(context.Context) (uint64, error) {
			tries.Add(1)
			return 0, &ConflictError{}
		}))
		assert.ErrorIs(t, err, ErrConflict)
		assert.Equal(t, tries.Load(), int32(1))
	})
}
