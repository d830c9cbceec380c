package proofs

import (
	"errors"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/internal/testenv"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

var (
	soakTime = testenv.Duration("SOAK_TIME", 8*time.Second)
	soakSeed = testenv.Uint64("SOAK_SEED", 20261204)
)

// soak causes random faults. Entry hosts, targets, the platform and the operators have a goroutine each, so that
// faults of different parts overlap.
type soak struct {
	*world
	until time.Time

	mu     sync.Mutex
	counts map[string]int
}

// cause is one fault with its end.
type cause struct {
	name string
	run  func(rng *rand.Rand)
}

// loop runs random causes until the end of the soak.
func (s *soak) loop(group *sync.WaitGroup, stream uint64, causes []cause) {
	rng := rand.New(rand.NewPCG(soakSeed, stream))
	group.Go(func() {
		for time.Now().Before(s.until) && !s.t.Failed() {
			c := causes[rng.IntN(len(causes))]
			s.mu.Lock()
			s.counts[c.name]++
			s.mu.Unlock()
			c.run(rng)
			s.wait(rng, time.Second)
		}
	})
}

// wait pauses for a random time up to limit.
func (s *soak) wait(rng *rand.Rand, limit time.Duration) {
	s.pass(time.Duration(rng.Int64N(int64(limit))))
}

func (s *soak) randomEntry(rng *rand.Rand) *localfleet.Entry {
	return s.Entries[rng.IntN(len(s.Entries))]
}

func (s *soak) randomTarget(rng *rand.Rand) *localfleet.Target {
	return s.Targets[rng.IntN(len(s.Targets))]
}

func (s *soak) entryFaults() []cause {
	pause := func(rng *rand.Rand, e *localfleet.Entry) {
		s.must(e.Pause())
		s.wait(rng, 9*time.Second)
		s.must(e.Resume())
	}
	return []cause{
		{"entry killed", func(rng *rand.Rand) {
			e := s.randomEntry(rng)
			s.must(e.Kill())
			s.wait(rng, time.Second)
			// A start may wait for the platform to heal; the load goes on meanwhile.
			s.must(e.Start())
		}},
		{"data centre's entries killed", func(rng *rand.Rand) {
			first := 2 * rng.IntN(2)
			s.must(errors.Join(s.Entries[first].Kill(), s.Entries[first+1].Kill()))
			s.wait(rng, time.Second)
			s.must(errors.Join(s.Entries[first].Start(), s.Entries[first+1].Start()))
		}},
		{"entry stopped", func(rng *rand.Rand) {
			e := s.randomEntry(rng)
			// A stop under faults may end with an error, for example when the store is down at deregistration.
			_ = e.Stop(hangLimit)
			s.must(e.Start())
		}},
		{"entry paused", func(rng *rand.Rand) { pause(rng, s.randomEntry(rng)) }},
		{"leader paused", func(rng *rand.Rand) { pause(rng, s.entry(s.leader([]string{"dc1", "dc2"}[rng.IntN(2)]).Holder)) }},
	}
}

func (s *soak) targetFaults() []cause {
	with := func(f targetserver.Faults) func(*rand.Rand) {
		return func(rng *rand.Rand) {
			t := s.randomTarget(rng)
			s.must(t.SetFaults(f))
			s.wait(rng, 2*time.Second)
			s.must(t.SetFaults(targetserver.Faults{}))
		}
	}
	return []cause{
		{"target frozen", with(targetserver.Faults{Freeze: true})},
		{"target loses answers", with(targetserver.Faults{LoseAnswers: true})},
		{"target crosses answers", with(targetserver.Faults{CrossAnswers: true})},
		{"target truncates", with(targetserver.Faults{Truncate: true})},
		{"target fails all", with(targetserver.Faults{FailAll: true})},
		{"target late and crossing", with(targetserver.Faults{Delay: 400 * time.Millisecond, CrossAnswers: true})},
		{"target silent", func(rng *rand.Rand) { s.must(s.randomTarget(rng).SilenceConnections()) }},
		{"target killed", func(rng *rand.Rand) {
			t := s.randomTarget(rng)
			s.killTarget(t)
			s.wait(rng, time.Second)
			s.must(t.Start())
			s.world.until("restart of "+t.Host, func() error { return t.SetFaults(targetserver.Faults{}) })
		}},
	}
}

func (s *soak) storeFaults() []cause {
	with := func(f memory.Faults) func(*rand.Rand) {
		return func(rng *rand.Rand) {
			dc := []string{"", "dc1", "dc2"}[rng.IntN(3)]
			s.platformFaults(dc, f)
			s.wait(rng, 4*time.Second)
			s.platformFaults(dc, memory.Faults{})
			s.wait(rng, 3*time.Second)
		}
	}
	return []cause{
		{"store down", with(memory.Faults{Down: true})},
		{"store refuses writes", with(memory.Faults{RefuseWrites: true})},
		{"store loses answers", with(memory.Faults{LoseAnswers: 100})},
		{"store drops writes", with(memory.Faults{DropWrites: 30})},
		{"store slow", with(memory.Faults{Latency: 500 * time.Millisecond})},
		{"store slower than the time-out", with(memory.Faults{Latency: 2100 * time.Millisecond, LoseAnswers: 30})},
	}
}

// operators submit tickets that may be rejected or stay unknown; what counts is that all observers agree.
func (s *soak) operators() []cause {
	incarnations := make(map[string]uint64)
	try := func(args ...string) { _, _, _, _ = s.RunTamarack(s.ctx, append(args, "--timeout", "2s")...) }
	return []cause{
		{"host drained", func(rng *rand.Rand) {
			t := s.randomTarget(rng)
			try("drain", t.Host)
			s.wait(rng, 2*time.Second)
			try("drain", t.Host, "--undo")
		}},
		{"host leaves by list", func(rng *rand.Rand) {
			t := s.randomTarget(rng)
			state := structs.HostState{Name: t.Host, DataCentre: t.DataCentre, Incarnation: 1 + incarnations[t.Host], Live: true, Leaving: true}
			s.must(s.SetHostState(state))
			s.wait(rng, 2*time.Second)
			incarnations[t.Host]++
			state.Incarnation, state.Leaving = state.Incarnation+1, false
			s.must(s.SetHostState(state))
		}},
		{"home pool changed", func(rng *rand.Rand) {
			t := s.randomTarget(rng)
			pool := t.DataCentre + "-" + services[rng.IntN(len(services))]
			path, err := s.WriteFile("move.yaml", s.declaration("host", t.Host, "pool: "+t.Pool, "pool: "+pool))
			s.must(err)
			try("apply", "--title", "move", path)
		}},
		{"operators race", func(rng *rand.Rand) {
			path, err := s.WriteFile("team.yaml", "kind: team\nname: racing\nspec: {name: racing, max_concurrent: "+strings.Repeat("1", 1+rng.IntN(5))+"}\n")
			s.must(err)
			var group sync.WaitGroup
			for range 2 {
				group.Go(func() { try("apply", "--title", "race", path) })
			}
			group.Wait()
		}},
	}
}

// heal ends all faults.
func (s *soak) heal() {
	for _, dc := range []string{"", "dc1", "dc2"} {
		s.platformFaults(dc, memory.Faults{})
	}
	ctx := s.ctx
	for _, e := range s.Entries {
		s.must(s.WaitReady(ctx, e))
	}
	for _, t := range s.Targets {
		s.accept("drain", t.Host, "--undo")
	}
}

// Guards against violations that only a combination of faults causes: all parts fail at random, alone, together
// and repeatedly, under load, while memberships and versions are observed (P1, P2, P3, P4, P5, P8). `make soak`
// runs it for longer with a new seed.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	w := start(t)
	t.Logf("seed %d, faults for %s", soakSeed, soakTime)
	observed := w.observeMemberships(1)
	s := &soak{world: w, until: time.Now().Add(soakTime), counts: make(map[string]int)}
	d := demand(soakSeed, soakTime)
	d.Deadline = 10 * time.Second
	wait := w.load(d, repeat())
	var group sync.WaitGroup
	for i, causes := range [][]cause{s.entryFaults(), s.targetFaults(), s.storeFaults(), s.operators()} {
		s.loop(&group, uint64(i), causes)
	}
	group.Wait()
	s.heal()
	records := wait()
	s.report(records)
	observed.stop()
	w.judge(records)
	w.inEffect()
	w.served()
	strangers, known := s.strangers(observed)
	t.Logf("%d samples of assignments, %d moves, %d executions with known membership", observed.samples, observed.moves(), known)
	assert.Equal(t, strangers, 0, "executions of another service than that of the pool")
	assert.Equal(t, len(observed.overBudget), 0, "%v", observed.overBudget)
	assert.Assert(t, known > 0)
}

func (s *soak) strangers(observed *memberships) (strangers, known int) {
	for _, t := range s.Targets {
		list, err := loadgen.Executions(s.ctx, t.ControlAddress)
		s.must(err)
		n, k := observed.strangers(t.Host, append(list, s.lost[t.Host]...))
		strangers, known = strangers+n, known+k
	}
	return strangers, known
}

func (s *soak) report(records []loadgen.Record) {
	names := make([]string, 0, len(s.counts))
	total := 0
	for name, n := range s.counts {
		names = append(names, name)
		total += n
	}
	sort.Strings(names)
	for _, name := range names {
		s.t.Logf("%-32s %d", name, s.counts[name])
	}
	s.t.Logf("%d faults, %d requests", total, len(records))
}
