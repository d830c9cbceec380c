package pools

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// fleet replays arrivals on machines that PlanMoves moves. A machine has room for four tasks, each of which takes a second.
type fleet struct {
	s       Snapshot
	running [][]time.Duration
	until   []time.Duration
	queues  map[string][]time.Duration
	sentAt  map[string]time.Duration
	// returns are moves to standby, reversed those of them that were reversed within 5 s. late are tasks that waited for more than
	// 600 ms, ahead moves before a burst. paid are machine-seconds in pools.
	returns, reversed, late, ahead int
	paid                           float64
}

const fleetStep = 100 * time.Millisecond

func newFleet(machines int, names ...string) *fleet {
	f := &fleet{running: make([][]time.Duration, machines), until: make([]time.Duration, machines), queues: make(map[string][]time.Duration), sentAt: make(map[string]time.Duration)}
	for _, name := range names {
		f.s.Pools = append(f.s.Pools, Pool{Name: name, Spread: 4})
	}
	f.s.Pools = append(f.s.Pools, Pool{Name: "off", Standby: true})
	for i := range machines {
		f.s.Machines = append(f.s.Machines, standbyMachine(fmt.Sprintf("s%03d", i)))
	}
	return f
}

// step lets tasks arrive in each pool, runs the machines for a step and carries out the plan.
func (f *fleet) step(a *Arrivals, arrive map[string]int) {
	f.s.Now += fleetStep
	now := f.s.Now
	for i := range f.s.Pools {
		p := &f.s.Pools[i]
		for range arrive[p.Name] {
			f.queues[p.Name] = append(f.queues[p.Name], now)
		}
		p.Arrived += 4000 * int64(arrive[p.Name])
	}
	for i := range f.s.Machines {
		m := &f.s.Machines[i]
		if m.State == workload.MachineMoving && now >= f.until[i] {
			m.State, m.Usable, m.Executor = workload.MachineUp, m.Pool != "off", ""
			if m.Usable {
				m.Executor, m.IdleFor, m.FreeCPU = "x", 0, 16000
			}
		}
		for len(f.running[i]) > 0 && f.running[i][0] <= now {
			f.running[i] = f.running[i][1:]
		}
		queue := f.queues[m.Pool]
		for m.Usable && len(f.running[i]) < 4 && len(queue) > 0 {
			if now-queue[0] > 600*time.Millisecond {
				f.late++
			}
			f.running[i], queue = append(f.running[i], now+time.Second), queue[1:]
		}
		f.queues[m.Pool] = queue
		m.Tasks, m.IdleFor = len(f.running[i]), m.IdleFor+fleetStep
		if m.Tasks > 0 {
			m.IdleFor = 0
		}
		m.FiniteCPU = 4000 * m.Tasks
		m.FreeCPU = 16000 - m.FiniteCPU
		if m.Pool != "off" {
			f.paid += fleetStep.Seconds()
		}
	}
	for i := range f.s.Pools {
		f.s.Pools[i].Waiting = 4000 * int64(len(f.queues[f.s.Pools[i].Name]))
	}
	for _, action := range PlanMoves(f.s, a).Actions {
		f.move(action)
	}
}

func (f *fleet) move(a Action) {
	for i := range f.s.Machines {
		if m := &f.s.Machines[i]; m.ID == a.Machine {
			m.State, m.Usable, m.Pool, m.IdleFor = workload.MachineMoving, false, a.Pool, 0
			f.until[i] = f.s.Now + moveTime + 300*time.Millisecond
		}
	}
	if a.Ahead {
		f.ahead++
	}
	if a.Pool == "off" {
		f.returns++
		f.sentAt[a.Machine] = f.s.Now
	} else if at, ok := f.sentAt[a.Machine]; ok && f.s.Now-at < 5*time.Second {
		f.reversed++
	}
}

// turnsAt returns the tasks that arrive in a step while pools have turns of 10.25 s, in which the load rises to ten times the mean
// and falls again, as in the bursts of the two grown deployments.
func turnsAt(now time.Duration, rng *rand.Rand, names []string) map[string]int {
	const length = 10250 * time.Millisecond
	arrive := make(map[string]int)
	for i, name := range names {
		perSecond := 3.0
		if int(now/length)%len(names) == i {
			x := float64(now%length) / float64(length)
			perSecond += 1000 * min(x, 1-x)
		}
		expected := perSecond * fleetStep.Seconds() * (0.7 + 0.6*rng.Float64())
		arrive[name] = int(expected + rng.Float64())
	}
	return arrive
}

var turnNames = []string{"a", "b", "c", "d"}

// replayTurns replays turns for 125 s, which are three rounds. Without the model, each plan is made as if nothing had been seen before.
func replayTurns(seed uint64, withModel bool) *fleet {
	f, rng, a := newFleet(200, turnNames...), rand.New(rand.NewPCG(seed, 2)), NewArrivals()
	for f.s.Now < 125*time.Second {
		if !withModel {
			a.turns = newTurns()
		}
		f.step(a, turnsAt(f.s.Now, rng, turnNames))
	}
	return f
}

// Guards against forecasts that do not pay: returns that are reversed, tasks that wait for machines as before, or machines that are
// paid for in vain.
func TestForecastsSpareReturnsAndWaits(t *testing.T) {
	for seed := range uint64(5) {
		without, with := replayTurns(seed, false), replayTurns(seed, true)
		for _, f := range []*fleet{without, with} {
			t.Logf("seed %d: %d returns, %d reversed, %d late tasks, %d called ahead, %.0f machine-seconds", seed, f.returns, f.reversed, f.late, f.ahead, f.paid)
		}
		assert.Equal(t, without.ahead, 0)
		assert.Assert(t, with.ahead > 0)
		assert.Assert(t, float64(with.reversed) < 0.85*float64(without.reversed))
		assert.Assert(t, float64(with.late) < 0.5*float64(without.late))
		assert.Assert(t, with.paid < 1.1*without.paid)
	}
}

// observeTurns lets a model see bursts of 10 s that begin at the given seconds, until the last one begins. Three pools get them in
// turn.
func observeTurns(begins ...float64) *turns {
	m, arrived := newTurns(), map[string]int64{"a": 0, "b": 0, "c": 0}
	for now := time.Duration(0); now.Seconds() < begins[len(begins)-1]; now += fleetStep {
		for _, begin := range begins {
			if x := now.Seconds() - begin; x >= 0 && x < 10 {
				arrived[string("abc"[int(begin/10)%3])] += int64(1000 * min(x, 10-x))
			}
		}
		arrived["c"]++
		m.observe(now, arrived)
	}
	return m
}

// Guards against forecasts at the wrong time or of the wrong pool, and against a round that is not recognised.
func TestTurnsAreForecast(t *testing.T) {
	m := observeTurns(5, 15, 25)
	assert.Assert(t, m.expected() != nil, "two turns are enough")
	assert.Equal(t, m.expected().pool, "", "the order is not known yet")
	m = observeTurns(5, 15, 25, 35, 45)
	f := m.expected()
	assert.Assert(t, (f.began-45*time.Second).Abs() < moveTime, "%s", f.began)
	assert.Equal(t, f.pool, "b")
	assert.Assert(t, f.certainty >= 0.75)
	assert.Assert(t, m.callsAhead(f.began-moveTime, "b") > 0)
	assert.Equal(t, m.callsAhead(f.began-moveTime-fleetStep, "b"), 0.0, "too early")
	assert.Equal(t, m.callsAhead(f.began-moveTime, "a"), 0.0)
	assert.Assert(t, (observeTurns(5, 15, 25, 39, 50).interval-10*time.Second).Abs() < time.Second/2, "a burst at another time changes nothing")
	assert.Assert(t, !m.holdsIdle(f.began-moveTime-fleetStep) && m.holdsIdle(f.began-moveTime))
}

// Guards against a round that seems to end with the second turn of a pool that has several in a round.
func TestRoundsMayHaveSeveralTurnsOfAPool(t *testing.T) {
	m := newTurns()
	for turn, want := range []int{0, 0, 2, 0, 4, 4, 4, 4} {
		m.past = append(m.past, &burst{pool: string("abac"[turn%4]), turn: turn})
		assert.Equal(t, m.round(), want, "turn %d", turn)
	}
}

// Guards against machine-seconds that are spent on forecasts after two wrong ones in a row, also if earlier ones were right, and
// against a model that never recovers.
func TestWrongForecastsAreNotUsed(t *testing.T) {
	assert.Assert(t, observeTurns(5, 15, 25, 35, 45, 55, 70).expected() != nil, "only one was wrong")
	m := observeTurns(5, 15, 25, 35, 45, 55, 82)
	assert.Equal(t, m.wrongInARow, 2)
	assert.Assert(t, m.expected() == nil)
	assert.Assert(t, observeTurns(5, 15, 25, 35, 45, 55, 85, 95, 105, 115).expected() != nil, "the turns went on")
	m = observeTurns(5, 15, 25, 35, 45, 55, 70, 74)
	assert.Equal(t, m.wrongInARow, 2, "65 was missing, 70 not expected")
	assert.Assert(t, m.expected() == nil)
}

// Guards against a forecast that counts as wrong twice, for a burst at another time and because its own is missing.
func TestForecastsAreWrongOnce(t *testing.T) {
	m := observeTurns(5, 15, 25, 35, 45, 55, 60, 72)
	assert.Equal(t, m.wrong, 1, "60 instead of 65")
}

// Guards against plans that change for pools whose demand is steady, and against a model that goes on to use forecasts of bursts
// that begin at irregular times.
func TestOtherDemandHasNoForecast(t *testing.T) {
	f, rng, a := newFleet(60, turnNames...), rand.New(rand.NewPCG(3, 4)), NewArrivals()
	for range 600 {
		f.step(a, map[string]int{"a": rng.IntN(30), "b": rng.IntN(20), "c": rng.IntN(9), "d": rng.IntN(2)})
		assert.Assert(t, a.turns.expected() == nil)
	}
	begins, used := []float64{5}, 0
	for range 40 {
		begins = append(begins, begins[len(begins)-1]+10+25*rng.Float64())
		if observeTurns(begins...).expected() != nil {
			used++
		}
	}
	assert.Assert(t, used <= 4, "%d of 40 forecasts were used", used)
}

// Guards against an owner that has to learn all turns anew after a takeover.
func TestTurnsAreLearnedFromInheritedJobs(t *testing.T) {
	var past []PastArrival
	for now := time.Duration(0); now < 45*time.Second; now += fleetStep {
		x := float64(now%(10*time.Second)) / float64(time.Second)
		past = append(past, PastArrival{turnNames[int(now/(10*time.Second))%3], now, int64(1000 * min(x, 10-x))})
	}
	a := NewArrivals()
	a.Replay(45*time.Second, turnNames, past)
	f := a.turns.expected()
	assert.Assert(t, f != nil)
	assert.Assert(t, (f.began-50*time.Second).Abs() < moveTime, "%s", f.began)
	assert.Equal(t, f.pool, "c")
}
