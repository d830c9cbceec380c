package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/structs"
)

var testNow = time.Unix(1_800_000_000, 0)

// fleet returns n pools with size hosts each and a spare pool with spare hosts, four hosts to a rack.
func fleet(n, size, spare int) Snapshot {
	var s Snapshot
	add := func(pool structs.Pool, hosts int) {
		s.Pools = append(s.Pools, Pool{Pool: pool, ServiceTime: time.Second})
		for range hosts {
			i := len(s.Hosts)
			s.Hosts = append(s.Hosts, Host{
				Name: fmt.Sprintf("h%04d", i), Rack: fmt.Sprintf("r%03d", i%((n*size+spare+3)/4)), HomePool: pool.Name, Pool: pool.Name,
				Phase: structs.PhaseActive, Live: true, Slots: 8, Cores: 16, MemoryMB: 32768,
			})
		}
	}
	for i := range n {
		name := fmt.Sprintf("p%03d", i)
		add(structs.Pool{Name: name, Service: name, MinHosts: 1, MaxUnavailable: max(1, size/4)}, size)
	}
	add(structs.Pool{Name: "spare", Spare: true, MaxUnavailable: spare}, spare)
	return s
}

// A backlog that clears in time by itself must not cause moves, and no more hosts may move than would have work.
func TestMovesOnlyWhenTheBacklogWillNotClear(t *testing.T) {
	s := fleet(2, 4, 8)
	s.Pools[0].Backlog, s.Pools[0].ArrivalRate = 10, 10
	assert.Equal(t, len(Moves(s, testNow, ProfileBuffer())), 0)
	s.Pools[0].Backlog, s.Pools[0].ArrivalRate = 60, 60
	moves := Moves(s, testNow, ProfileBuffer())
	assert.Assert(t, len(moves) > 0)
	for _, m := range moves {
		assert.Equal(t, m.From, "spare")
	}
	s.Pools[0].Backlog, s.Pools[0].ArrivalRate, s.Pools[0].ServiceTime = 3, 1, time.Minute
	assert.Assert(t, len(Moves(s, testNow, ProfileBuffer())) <= 4)
}

// Borrowed hosts must return after the hysteresis time, not earlier, and a pool with a backlog has no low load.
func TestReturnsWaitForHysteresis(t *testing.T) {
	s := fleet(2, 4, 4)
	s.Hosts[8].Pool = "p000"
	p := ProfileBuffer()
	s.History = Observe(s.History, s, testNow)
	assert.Equal(t, len(Moves(s, testNow.Add(p.Hysteresis-1), p)), 0)
	moves := Moves(s, testNow.Add(p.Hysteresis), p)
	assert.DeepEqual(t, moves, []Move{{Host: "h0008", From: "p000", To: "spare", Reason: ReasonReturn}})
	s.Pools[0].Backlog = 1
	s.History = Observe(s.History, s, testNow)
	assert.Equal(t, len(s.History.LowSince), 2)
}

// observeRate returns the history after the first pool had an arrival rate for a number of heartbeats.
func observeRate(s Snapshot, rate float64, heartbeats int) History {
	h := s.History
	for range heartbeats {
		s.Pools[0].ArrivalRate = rate
		now := testNow
		if !h.At.IsZero() {
			now = h.At.Add(500 * time.Millisecond)
		}
		h = Observe(h, s, now)
	}
	return h
}

// Once the length of bursts is known, a pool must borrow fewer hosts than for a load that goes on indefinitely. Before any
// burst was observed, the load must be expected to go on.
func TestMovesAreSizedByLearnedBursts(t *testing.T) {
	s := fleet(2, 4, 12)
	s.History = observeRate(s, 10, 100)
	first := s
	first.Pools = append([]Pool(nil), s.Pools...)
	first.History = observeRate(s, 100, 4)
	first.Pools[0].Backlog, first.Pools[0].ArrivalRate = 40, 100
	s.History = observeRate(s, 100, 20)
	s.History = observeRate(s, 10, 20)
	assert.Assert(t, s.History.Loads["p000"].BurstLength >= 9*time.Second, s.History.Loads["p000"].BurstLength)
	s.History = observeRate(s, 100, 4)
	s.Pools[0].Backlog = 40
	unknown := len(Moves(first, first.History.At, ProfileMoves()))
	known := len(Moves(s, s.History.At, ProfileMoves()))
	assert.Assert(t, known < unknown, "%d moves with a known length, %d without", known, unknown)
}

// A host must not be taken from a pool at its home size while a pool above its home size can give one. A pool below its
// home size must be refilled after the refill delay, not earlier.
func TestPoolsAboveHomeSizeGiveFirst(t *testing.T) {
	s := fleet(3, 4, 0)
	for i := range s.Pools {
		s.Pools[i].MaxUnavailable = 4
	}
	s.Hosts[4].Pool, s.Hosts[5].Pool = "p002", "p002"
	s.Pools[0].Backlog, s.Pools[0].ArrivalRate = 20, 44
	for _, m := range Moves(s, testNow, ProfileMoves()) {
		assert.Equal(t, m.From, "p002")
	}
	s.Pools[0].Backlog, s.Pools[0].ArrivalRate = 0, 1
	s.History.LowSince = map[string]time.Time{"p002": testNow}
	assert.Equal(t, len(Moves(s, testNow, ProfileMoves())), 0)
	moves := Moves(s, testNow.Add(2*time.Second), ProfileMoves())
	assert.Equal(t, len(moves), 2)
	assert.Equal(t, moves[0].Reason, ReasonRefill)
}

// drawSnapshot returns a fleet in an arbitrary state.
func drawSnapshot(t *rapid.T) Snapshot {
	s := fleet(rapid.IntRange(1, 5).Draw(t, "pools"), rapid.IntRange(1, 6).Draw(t, "size"), rapid.IntRange(0, 6).Draw(t, "spare"))
	s.History.LowSince = make(map[string]time.Time)
	for i := range s.Pools {
		p := &s.Pools[i]
		p.MinHosts = rapid.IntRange(0, 4).Draw(t, "min")
		p.MaxUnavailable = rapid.IntRange(0, 4).Draw(t, "budget")
		p.Backlog = rapid.SampledFrom([]int{0, 0, 1, 50, 1000}).Draw(t, "backlog")
		p.ArrivalRate = rapid.Float64Range(0, 200).Draw(t, "rate")
		if rapid.Bool().Draw(t, "low") {
			s.History.LowSince[p.Name] = testNow.Add(-time.Hour)
		}
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		h.Pool = s.Pools[rapid.IntRange(0, len(s.Pools)-1).Draw(t, "pool")].Name
		h.Phase = rapid.SampledFrom([]structs.Phase{"active", "active", "active", "releasing", "draining", "rebooting", "down"}).Draw(t, "phase")
		h.Live = rapid.IntRange(0, 4).Draw(t, "live") > 0
		h.Leaving = rapid.IntRange(0, 8).Draw(t, "leaving") == 0
		if h.Phase == structs.PhaseReleasing {
			h.NextPool = s.Pools[rapid.IntRange(0, len(s.Pools)-1).Draw(t, "next")].Name
		}
	}
	return s
}

// In any snapshot, moves and exits together must not exceed a disruption budget, moves must not reduce a pool below its
// minimum size, and no host may be planned twice or while it is out of service.
func TestDecisionsKeepBudgetsAndMinimumSizes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSnapshot(rt)
		hosts, pools := make(map[string]*Host), make(map[string]*Pool)
		usable, unavailable := make(map[string]int), make(map[string]int)
		for i := range s.Pools {
			pools[s.Pools[i].Name] = &s.Pools[i]
		}
		for i := range s.Hosts {
			h := &s.Hosts[i]
			hosts[h.Name] = h
			if h.usable() {
				usable[h.Pool]++
			} else {
				unavailable[h.Pool]++
			}
		}
		removed := make(map[string]bool)
		remove := func(name, pool string) {
			h := hosts[name]
			assert.Assert(rt, h.usable() && !removed[name] && h.Pool == pool)
			removed[name] = true
			usable[pool]--
			unavailable[pool]++
			assert.Assert(rt, unavailable[pool] <= pools[pool].MaxUnavailable)
		}
		for _, m := range Moves(s, testNow, rapid.SampledFrom([]Profile{ProfileBuffer(), ProfileMoves()}).Draw(rt, "profile")) {
			remove(m.Host, m.From)
			assert.Assert(rt, m.From != m.To && usable[m.From] >= pools[m.From].MinHosts)
		}
		for i := range s.Hosts {
			if removed[s.Hosts[i].Name] {
				s.Hosts[i].Phase = structs.PhaseReleasing
			}
		}
		s.Waves = []Wave{{Wave: structs.Wave{Name: "a", MaxParallel: 3}}, {Wave: structs.Wave{Name: "b", MaxParallel: 1}}}
		for _, plan := range NextExits(s, testNow) {
			for _, e := range plan.Exits {
				remove(e.Host, e.Pool)
				assert.Equal(rt, pools[e.Pool].Backlog, 0)
			}
		}
	})
}
