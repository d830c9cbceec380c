package pools

import "time"

// rateWindow is the time over which arrivals are averaged. A queue of large jobs gets about five jobs a second in a burst,
// so a shorter window would see too few of them.
const rateWindow = time.Second

// Arrivals measures the rate at which work arrives for each pool, and learns from it when bursts begin.
type Arrivals struct {
	rates rates
	turns *turns
	// arrivedBefore is the work of each pool that arrived before the owner began, as far as it is known.
	arrivedBefore map[string]int64
	// calledAt is when each pool last got a machine from standby.
	calledAt map[string]time.Duration
}

// rates holds samples of the last rateWindow by pool name.
type rates map[string][]sample

// sample is the total work that had arrived until a time, in thousandths of a core times seconds.
type sample struct {
	at      time.Duration
	arrived int64
}

// NewArrivals returns Arrivals without samples.
func NewArrivals() *Arrivals {
	return &Arrivals{
		rates: make(rates), turns: newTurns(), arrivedBefore: make(map[string]int64), calledAt: make(map[string]time.Duration),
	}
}

// Observe adds a sample for each pool that is not a standby pool.
func (a *Arrivals) Observe(s Snapshot) {
	arrived := make(map[string]int64, len(s.Pools))
	for _, p := range s.Pools {
		if !p.Standby {
			a.rates.observe(s.Now, p.Name, p.Arrived)
			arrived[p.Name] = a.arrivedBefore[p.Name] + p.Arrived
		}
	}
	a.turns.observe(s.Now, arrived)
}

// Forecasts returns the numbers of forecasts of bursts that were right and wrong.
func (a *Arrivals) Forecasts() (right, wrong int) { return a.turns.right, a.turns.wrong }

// observe adds a sample for a pool.
func (r rates) observe(now time.Duration, pool string, arrived int64) {
	samples := append(r[pool], sample{now, arrived})
	for now-samples[0].at > rateWindow {
		samples = samples[1:]
	}
	r[pool] = samples
}

// rate returns the work that arrives for a pool per second, in thousandths of a core. While the samples cover less than
// rateWindow, the rate is too low.
func (r rates) rate(pool string) float64 {
	samples := r[pool]
	if len(samples) == 0 {
		return 0
	}
	return float64(samples[len(samples)-1].arrived-samples[0].arrived) / rateWindow.Seconds()
}

// PastArrival is work that arrived for a pool before the owner began, in thousandths of a core times seconds.
type PastArrival struct {
	Pool string
	At   time.Duration
	Work int64
}

const (
	// maxPast is how far back past arrivals are used; it covers the rounds that the model remembers.
	maxPast = 3 * time.Minute
	// replayInterval is the interval between observations while past arrivals are replayed, as of those of the owner.
	replayInterval = 100 * time.Millisecond
)

// Replay lets the model of bursts learn from arrivals before the owner began, given in order of time. It is called at most
// once, before Observe.
func (a *Arrivals) Replay(now time.Duration, pools []string, past []PastArrival) {
	for len(past) > 0 && past[0].At < now-maxPast {
		past = past[1:]
	}
	if len(past) == 0 {
		return
	}
	for _, pool := range pools {
		a.arrivedBefore[pool] = 0
	}
	for at := past[0].At; at < now; at += replayInterval {
		for len(past) > 0 && past[0].At <= at {
			if _, ok := a.arrivedBefore[past[0].Pool]; ok {
				a.arrivedBefore[past[0].Pool] += past[0].Work
			}
			past = past[1:]
		}
		a.turns.observe(at, a.arrivedBefore)
	}
}
