package burst

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/testenv"
)

var (
	seed = testenv.Uint64("BURST_SEED", 1)
	mean = testenv.Float64("BURST_LOAD", 0.3)
	skew = testenv.Float64("BURST_SKEW", 0)
)

// Guards against a division of slots with which requests are rejected in a burst that the queues can hold. A first
// version, with full concurrency limits at every entry host, rejected more than a tenth of the requests.
func TestSharingOfSlotsAtBurst(t *testing.T) {
	for _, o := range Options {
		t.Run(o.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := Run(o, Workload{Seed: seed, Mean: mean, Skew: skew})
				t.Logf("%-17s wait p50 %d ms p99 %d ms, refused by targets %d, arrived %d, done %d, rejected %v",
					o.Name, r.P50.Milliseconds(), r.P99.Milliseconds(), r.Refused, r.Arrived, r.Done, r.Rejected)
				if mean <= 0.3 && skew == 0 {
					assert.Assert(t, r.Done*100 >= r.Arrived*99)
				}
			})
		})
	}
}
