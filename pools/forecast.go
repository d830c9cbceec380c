package pools

import (
	"math"
	"slices"
	"time"
)

const (
	// moveTime is about how long a move makes a machine unavailable, and returnTrip how long a move to standby and back.
	moveTime   = 1500 * time.Millisecond
	returnTrip = 2 * moveTime
	// meanWindow is the time over which the load of a pool is averaged: one and a half rounds of the bursts seen, in which four
	// queues get 10 s each.
	meanWindow = time.Minute
	// burstFactor is the least load that a burst reaches, relative to the mean of the pool. The bursts seen reach five times the
	// mean.
	burstFactor = 2
	// maxTurns is the number of bursts that are remembered, which are two rounds of the eight queues seen.
	maxTurns = 16
	// profileStep is the interval of the loads that are kept of a burst, and maxProfile their number, for twice the length of the
	// bursts seen.
	profileStep = 500 * time.Millisecond
	maxProfile  = 40
	// minCertainty is the certainty from which a forecast is used. A machine that is held in vain is idle for the time of a move,
	// and one that is returned and called back is paid for during a move, so the odds must be even.
	minCertainty = 0.5
	// judgedForecasts is the number of last forecasts from which the certainty is computed, one round of the bursts seen.
	judgedForecasts = 4
	// maxWrong is the number of wrong forecasts in a row after which none is used until one was right.
	maxWrong = 2
)

// turns is a model of demand in which pools get bursts of load in turn. It learns the interval between the beginnings of the
// bursts and the order of the pools. It has no certain forecast of other demand. Loads are in thousandths of a core.
type turns struct {
	// means holds the mean load of each pool over observedFor, which is at most meanWindow. observedAt is the time of the last
	// observation.
	means                   map[string]float64
	observedFor, observedAt time.Duration
	// loads measures the present load.
	loads rates
	// silentAt is the last time at which nothing arrived in any pool, because callers were cut off or nothing was observed.
	silentAt time.Duration
	// leader is the pool that has its turn, successor the one that has had the largest load since then. Either may be nil.
	leader, successor *burst
	// past holds the last bursts that began at multiples of interval, oldest first; interval is 0 if there are less than two.
	// stray is the last burst, if it began at another time.
	past     []*burst
	stray    *burst
	interval time.Duration
	// next is the forecast that is not judged yet, nil if there is none.
	next *forecast
	// outcomes tells of the last forecasts whether they were right. wrongInARow counts those after the last right one.
	outcomes    []bool
	wrongInARow int
	// right and wrong count the forecasts that were judged.
	right, wrong int
}

// burst is a burst of one pool.
type burst struct {
	pool  string
	began time.Duration
	// turn is its number. Turns without a burst are counted.
	turn int
	// loads holds its load every profileStep since it began.
	loads []float64
	// high is set once the load has reached burstFactor.
	high bool
	// delayed is set if callers were cut off right before, so that it may have begun late.
	delayed bool
}

// forecast is the next burst that is expected. Its pool is empty if the order of the pools is not known.
type forecast struct {
	burst
	certainty float64
	// wrong is set once it was judged as wrong.
	wrong bool
}

func newTurns() *turns {
	return &turns{means: make(map[string]float64), loads: make(rates), silentAt: -meanWindow}
}

// observe adds the work that has arrived in all until now, by pool.
func (t *turns) observe(now time.Duration, arrived map[string]int64) {
	if len(t.loads) == 0 {
		t.observedAt = now
	}
	interval := now - t.observedAt
	t.observedAt = now
	t.observedFor = min(t.observedFor+interval, meanWindow)
	weight := float64(interval) / float64(max(t.observedFor, interval, 1))
	total, largest, most := 0.0, "", 0.0
	for pool, work := range arrived {
		t.loads.observe(now, pool, work)
		load := t.loads.rate(pool)
		total += load
		if load > most || load == most && pool < largest {
			largest, most = pool, load
		}
		t.means[pool] += (load - t.means[pool]) * weight
	}
	if total == 0 {
		t.silentAt, t.leader, t.successor = now, nil, nil
	} else {
		t.follow(now, largest, most, total)
	}
	t.judgeMissing(now)
}

// follow notes the pool that has the largest load. It has its turn once it has had the largest load for a return trip; no machine
// needs to be moved for a shorter burst.
func (t *turns) follow(now time.Duration, pool string, load, total float64) {
	if t.observedFor <= rateWindow {
		// The burst in progress, if there is one, began at an unknown time.
		t.leader = &burst{pool: pool, began: now}
	}
	if t.leader != nil && t.leader.pool == pool {
		t.leader.add(now, load)
		t.successor = nil
		return
	}
	if t.successor == nil || t.successor.pool != pool {
		t.successor = &burst{pool: pool, began: now, delayed: now-t.silentAt < returnTrip}
	}
	b := t.successor
	b.add(now, load)
	b.high = b.high || load >= burstFactor*t.means[pool] && load >= total/2
	if b.high && now-b.began >= returnTrip {
		t.leader, t.successor = b, nil
		t.begin(now, b)
	}
}

// begin adds a burst. Two bursts in a row that do not fit to those before begin a new series.
func (t *turns) begin(now time.Duration, b *burst) {
	t.judge(b)
	switch {
	case t.fits(b):
		t.stray = nil
	case b.delayed:
		return
	case t.stray == nil:
		t.stray = b
		return
	default:
		t.past, t.interval = []*burst{t.stray}, 0
		t.stray = nil
		t.fits(b)
	}
	t.past = append(t.past, b)
	if len(t.past) > maxTurns {
		t.past = slices.Delete(t.past, 0, 1)
	}
	t.predict(now)
}

// fits reports whether a burst began at a multiple of the interval after the last one, give or take a move, and numbers it. The
// second burst sets the interval, and later ones adjust it.
func (t *turns) fits(b *burst) bool {
	if len(t.past) == 0 {
		return true
	}
	first, last := t.past[0], t.past[len(t.past)-1]
	gap, count := b.began-last.began, 1
	if t.interval > 0 {
		count = max(int(math.Round(float64(gap)/float64(t.interval))), 1)
		if (gap - time.Duration(count)*t.interval).Abs() > moveTime {
			return false
		}
	}
	b.turn = last.turn + count
	if !b.delayed || t.interval == 0 {
		t.interval = (b.began - first.began) / time.Duration(b.turn-first.turn)
	}
	return true
}

// predict makes the forecast of the next burst.
func (t *turns) predict(now time.Duration) {
	t.next = nil
	if t.interval == 0 {
		return
	}
	last := t.past[len(t.past)-1]
	f := &forecast{burst: burst{turn: last.turn + 1, began: last.began + t.interval}}
	for now-f.began > moveTime {
		f.turn++
		f.began += t.interval
	}
	if round := t.round(); round > 0 {
		for _, b := range t.past {
			if b.turn == f.turn-round {
				f.pool, f.loads = b.pool, b.loads
			}
		}
	}
	right := 1
	for _, ok := range t.outcomes {
		if ok {
			right++
		}
	}
	if t.wrongInARow < maxWrong {
		f.certainty = float64(right) / float64(len(t.outcomes)+2)
	}
	t.next = f
}

// round returns the number of turns after which the order of the pools repeats, 0 if it is not known. A pool may have several turns in
// a round.
func (t *turns) round() int {
	at := make(map[int]string, len(t.past))
	for _, b := range t.past {
		at[b.turn] = b.pool
	}
	last := t.past[len(t.past)-1].turn
	for round := 1; round <= last-t.past[0].turn; round++ {
		repeats, differs := false, false
		for turn, pool := range at {
			if before, ok := at[turn-round]; ok {
				repeats, differs = repeats || before == pool, differs || before != pool
			}
		}
		if repeats && !differs {
			return round
		}
	}
	return 0
}

// judge compares a burst that has begun with the forecast. A delayed one proves nothing.
func (t *turns) judge(b *burst) {
	if t.next == nil || b.delayed {
		return
	}
	onTime := (t.next.began - b.began).Abs() <= moveTime
	switch right := onTime && (t.next.pool == "" || t.next.pool == b.pool); {
	case right:
		t.record(true)
	case !t.next.wrong:
		t.next.wrong = true
		t.record(false)
	}
}

// judgeMissing ends a forecast whose burst did not begin within a move of its time. It was wrong unless callers were cut off meanwhile.
func (t *turns) judgeMissing(now time.Duration) {
	if t.next == nil || now-t.next.began <= moveTime {
		return
	}
	if t.successor != nil && (t.successor.began-t.next.began).Abs() <= moveTime {
		// It is too early to tell whether this is the burst.
		return
	}
	if t.silentAt < t.next.began-moveTime && !t.next.wrong {
		t.record(false)
	}
	t.predict(now)
}

// record adds the outcome of a forecast.
func (t *turns) record(right bool) {
	t.outcomes = append(t.outcomes, right)
	if len(t.outcomes) > judgedForecasts {
		t.outcomes = t.outcomes[1:]
	}
	if right {
		t.right++
		t.wrongInARow = 0
	} else {
		t.wrong++
		t.wrongInARow++
	}
}

// expected returns the next burst while its forecast is certain enough to be used, else nil.
func (t *turns) expected() *forecast {
	if t.next == nil || t.next.certainty < minCertainty || t.wrongInARow >= maxWrong {
		return nil
	}
	return t.next
}

// add adds the load of a burst at a time.
func (b *burst) add(now time.Duration, load float64) {
	for len(b.loads) < maxProfile && time.Duration(len(b.loads))*profileStep <= now-b.began {
		b.loads = append(b.loads, load)
	}
}

// load returns the load at a time after the beginning; 0 if it is not known.
func (b *burst) load(at time.Duration) float64 {
	if i := int(at / profileStep); i < len(b.loads) {
		return b.loads[i]
	}
	return 0
}

// callsAhead returns the load for which a pool gets machines before its burst begins: what the last burst of the pool reached
// within a second, weighted by certainty. Machines are called a move ahead, and until the forecast has been judged.
func (t *turns) callsAhead(now time.Duration, pool string) float64 {
	f := t.expected()
	if f == nil || f.pool != pool || now < f.began-moveTime {
		return 0
	}
	return f.certainty * f.load(rateWindow)
}

// rising returns the load that a pool in a burst is expected to have when machines that are called now take tasks, at least its
// present load: past bursts are scaled by what has arrived since the beginning, and the least result counts. The excess is weighted
// by certainty. A load far below the mean is no burst yet.
func (t *turns) rising(now time.Duration, pool string, load float64) float64 {
	b := t.successor
	if b == nil {
		b = t.leader
	}
	f := t.expected()
	if f == nil || b == nil || b.pool != pool || load < t.means[pool]/burstFactor {
		return load
	}
	after, expected := now-b.began, math.Inf(1)
	for _, past := range t.past {
		if past != b && past.until(after) > 0 {
			expected = min(expected, past.load(after+calledDelay)*b.until(after)/past.until(after))
		}
	}
	if math.IsInf(expected, 1) {
		return load
	}
	return load + f.certainty*max(0, expected-load)
}

// until returns the sum of the loads up to a time after the beginning.
func (b *burst) until(at time.Duration) float64 {
	sum := 0.0
	for _, load := range b.loads[:min(int(at/profileStep)+1, len(b.loads))] {
		sum += load
	}
	return sum
}

// holdsIdle reports whether idle machines are held, because a burst is about to begin in some pool. A machine that was sent to standby
// more than a move ahead of the burst has arrived there when the burst begins, and can be called without delay.
func (t *turns) holdsIdle(now time.Duration) bool {
	f := t.expected()
	return f != nil && now >= f.began-moveTime
}

// lends reports whether idle machines of a pool are moved to another one before any in standby: the burst of the first has ended, and
// the other has its turn or gets it next.
func (t *turns) lends(from, to string) bool {
	f := t.expected()
	if f == nil || from == to || t.leader != nil && t.leader.pool == from && t.successor == nil {
		return false
	}
	has := f.pool == to || t.leader != nil && t.leader.pool == to || t.successor != nil && t.successor.pool == to
	return has && slices.ContainsFunc(t.past, func(b *burst) bool { return b.pool == from })
}
