package pools

import "time"

// rateWindow is the time over which arrivals are averaged. A queue of large jobs gets about five jobs a second in a burst,
// so a shorter window would see too few of them.
const rateWindow = time.Second

// Arrivals measures the rate at which work arrives for each pool. It keeps the samples of the last rateWindow by pool name.
type Arrivals struct{ samples map[string][]sample }

// sample is the total work that had arrived until a time, in thousandths of a core times seconds.
type sample struct {
	at      time.Duration
	arrived int64
}

// NewArrivals returns Arrivals without samples.
func NewArrivals() *Arrivals { return &Arrivals{samples: make(map[string][]sample)} }

// Observe adds a sample for each pool that is not a standby pool.
func (a *Arrivals) Observe(s Snapshot) {
	for _, p := range s.Pools {
		if p.Standby {
			continue
		}
		samples := append(a.samples[p.Name], sample{s.Now, p.Arrived})
		for s.Now-samples[0].at > rateWindow {
			samples = samples[1:]
		}
		a.samples[p.Name] = samples
	}
}

// rate returns the work that arrives for a pool per second, in thousandths of a core. While the samples cover less than
// rateWindow, the rate is too low.
func (a *Arrivals) rate(pool string) float64 {
	samples := a.samples[pool]
	if len(samples) == 0 {
		return 0
	}
	return float64(samples[len(samples)-1].arrived-samples[0].arrived) / rateWindow.Seconds()
}
