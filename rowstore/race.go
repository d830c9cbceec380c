package rowstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Attempt tries once to apply a transaction; the attempts of a race may use different paths to the store. The transaction must
// be idempotent: applying it several times has the same effect as applying it once.
type Attempt func(ctx context.Context) (version uint64, err error)

// RaceOptions configure Race.
type RaceOptions struct {
	// HedgeDelay is the delay after which the next attempt starts in parallel with those that are pending.
	HedgeDelay time.Duration
	// GiveUpAfter makes Race return without starting the remaining attempts once this many have failed with ErrUnavailable,
	// if no attempt is pending or may have been applied. 0 means that Race makes all attempts.
	GiveUpAfter int
}

// RaceResult is the result of Race.
type RaceResult struct {
	// Version is the version that the successful attempt returned.
	Version uint64
	// SentAt is when the attempt that decided the result started, relative to the start of Race.
	SentAt time.Duration
	// Tries is the number of attempts that started.
	Tries int
}

// Race makes hedged attempts to apply one transaction: each starts while earlier ones are still pending. If the store is
// slow, the first attempt can still succeed, and a lost response costs only the delay until the next attempt. Race returns
// with the first attempt that succeeds or fails with ErrConflict or ErrInvalid. Otherwise its error matches ErrUnavailable if
// no attempt can have had an effect, and ErrAmbiguous if one may have.
func Race(ctx context.Context, o RaceOptions, attempts []Attempt) (RaceResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		version uint64
		sent    time.Duration
		err     error
	}
	start := time.Now()
	responses := make(chan response, len(attempts))
	var result RaceResult
	pending, unavailable := 0, 0
	var ambiguousErr, lastErr error
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var next <-chan time.Time
		if result.Tries < len(attempts) {
			next = timer.C
		} else if pending == 0 {
			return result, raceError(ambiguousErr, lastErr)
		}
		select {
		case <-next:
			attempt, sent := attempts[result.Tries], time.Since(start)
			result.Tries++
			pending++
			go func() {
				version, err := attempt(ctx)
				responses <- response{version, sent, err}
			}()
			timer.Reset(o.HedgeDelay)
		case r := <-responses:
			pending--
			lastErr = r.err
			switch {
			case r.err == nil, errors.Is(r.err, ErrConflict), errors.Is(r.err, ErrInvalid):
				result.Version, result.SentAt = r.version, r.sent
				return result, r.err
			case errors.Is(r.err, ErrUnavailable):
				unavailable++
			default:
				ambiguousErr = r.err
			}
			if o.GiveUpAfter > 0 && unavailable >= o.GiveUpAfter && pending == 0 && ambiguousErr == nil {
				return result, lastErr
			}
			if pending == 0 {
				timer.Reset(min(o.HedgeDelay, unavailableDelay))
			}
		case <-ctx.Done():
			if pending > 0 {
				ambiguousErr = ctx.Err()
			}
			return result, raceError(ambiguousErr, lastErr)
		}
	}
}

// unavailableDelay is the delay before the next attempt if none is pending, because all so far have failed.
const unavailableDelay = 60 * time.Millisecond

// raceError returns the error of a race without a decisive attempt. ambiguousErr is the error of an attempt that may have had
// an effect, lastErr that of the last attempt; both may be nil.
func raceError(ambiguousErr, lastErr error) error {
	switch {
	case ambiguousErr != nil && errors.Is(ambiguousErr, ErrAmbiguous):
		return ambiguousErr
	case ambiguousErr != nil:
		return errors.Wrap(ErrAmbiguous, ambiguousErr.Error())
	case lastErr != nil:
		return lastErr
	}
	return errors.Wrap(ErrUnavailable, "context ended before the first attempt")
}

// Repeat returns n copies of an attempt.
func Repeat(n int, a Attempt) []Attempt {
	attempts := make([]Attempt, n)
	for i := range attempts {
		attempts[i] = a
	}
	return attempts
}
