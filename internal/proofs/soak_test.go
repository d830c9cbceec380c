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

// faultInjector injects random faults into a fleet until end. Entry hosts, targets, the store and the operators have a
// goroutine each, so that their faults overlap.
type faultInjector struct {
	*testFleet
	end time.Time

	mu sync.Mutex
	// counts holds the number of faults by the name of their action.
	counts map[string]int
}

// faultAction is a fault with a name. inject causes it and, unless it is momentary, ends it again.
type faultAction struct {
	name   string
	inject func(rng *rand.Rand)
}

// runActions runs random actions in a goroutine of the group until end or a failure of the test. The stream separates
// the random numbers of the goroutines.
func (fi *faultInjector) runActions(group *sync.WaitGroup, stream uint64, actions []faultAction) {
	rng := rand.New(rand.NewPCG(soakSeed, stream))
	group.Go(func() {
		for time.Now().Before(fi.end) && !fi.t.Failed() {
			action := actions[rng.IntN(len(actions))]
			fi.mu.Lock()
			fi.counts[action.name]++
			fi.mu.Unlock()
			action.inject(rng)
			fi.randomSleep(rng, time.Second)
		}
	})
}

// randomSleep sleeps for a random time below limit.
func (fi *faultInjector) randomSleep(rng *rand.Rand, limit time.Duration) {
	fi.sleep(time.Duration(rng.Int64N(int64(limit))))
}

func (fi *faultInjector) randomEntry(rng *rand.Rand) *localfleet.Entry {
	return fi.Entries[rng.IntN(len(fi.Entries))]
}

func (fi *faultInjector) randomTarget(rng *rand.Rand) *localfleet.Target {
	return fi.Targets[rng.IntN(len(fi.Targets))]
}

func (fi *faultInjector) entryFaultActions() []faultAction {
	pause := func(rng *rand.Rand, e *localfleet.Entry) {
		fi.must(e.Pause())
		fi.randomSleep(rng, 9*time.Second)
		fi.must(e.Resume())
	}
	return []faultAction{
		{"entry killed", func(rng *rand.Rand) {
			e := fi.randomEntry(rng)
			fi.must(e.Kill())
			fi.randomSleep(rng, time.Second)
			// Does not wait for readiness: the entry host may become ready only when the store recovers. The load
			// continues meanwhile.
			fi.must(e.Start())
		}},
		{"data centre's entries killed", func(rng *rand.Rand) {
			first := 2 * rng.IntN(2)
			fi.must(errors.Join(fi.Entries[first].Kill(), fi.Entries[first+1].Kill()))
			fi.randomSleep(rng, time.Second)
			fi.must(errors.Join(fi.Entries[first].Start(), fi.Entries[first+1].Start()))
		}},
		{"entry stopped", func(rng *rand.Rand) {
			e := fi.randomEntry(rng)
			// A stop may fail under faults, for example if the store is down when the entry host deregisters.
			_ = e.Stop(waitTimeout)
			fi.must(e.Start())
		}},
		{"entry paused", func(rng *rand.Rand) { pause(rng, fi.randomEntry(rng)) }},
		{"leader paused", func(rng *rand.Rand) {
			pause(rng, fi.entry(fi.leader([]string{"dc1", "dc2"}[rng.IntN(2)]).Holder))
		}},
	}
}

func (fi *faultInjector) targetFaultActions() []faultAction {
	with := func(f targetserver.Faults) func(*rand.Rand) {
		return func(rng *rand.Rand) {
			t := fi.randomTarget(rng)
			fi.must(t.SetFaults(f))
			fi.randomSleep(rng, 2*time.Second)
			fi.must(t.SetFaults(targetserver.Faults{}))
		}
	}
	return []faultAction{
		{"target frozen", with(targetserver.Faults{Freeze: true})},
		{"target loses answers", with(targetserver.Faults{LoseAnswers: true})},
		{"target crosses answers", with(targetserver.Faults{CrossAnswers: true})},
		{"target truncates", with(targetserver.Faults{Truncate: true})},
		{"target fails all", with(targetserver.Faults{FailAll: true})},
		{"target late and crossing", with(targetserver.Faults{Delay: 400 * time.Millisecond, CrossAnswers: true})},
		{"target silent", func(rng *rand.Rand) { fi.must(fi.randomTarget(rng).SilenceConnections()) }},
		{"target killed", func(rng *rand.Rand) {
			t := fi.randomTarget(rng)
			fi.killTarget(t)
			fi.randomSleep(rng, time.Second)
			fi.must(t.Start())
			fi.testFleet.waitFor("restart of "+t.Host, func() error { return t.SetFaults(targetserver.Faults{}) })
		}},
	}
}

func (fi *faultInjector) storeFaultActions() []faultAction {
	with := func(f memory.Faults) func(*rand.Rand) {
		return func(rng *rand.Rand) {
			dc := []string{"", "dc1", "dc2"}[rng.IntN(3)]
			fi.setPlatformFaults(dc, f)
			fi.randomSleep(rng, 4*time.Second)
			fi.setPlatformFaults(dc, memory.Faults{})
			fi.randomSleep(rng, 3*time.Second)
		}
	}
	return []faultAction{
		{"store down", with(memory.Faults{Down: true})},
		{"store refuses writes", with(memory.Faults{RefuseWrites: true})},
		{"store loses answers", with(memory.Faults{LoseResponses: 100})},
		{"store drops writes", with(memory.Faults{DropWrites: 30})},
		{"store slow", with(memory.Faults{Latency: 500 * time.Millisecond})},
		{"store slower than the time-out", with(memory.Faults{Latency: 2100 * time.Millisecond, LoseResponses: 30})},
	}
}

// operatorActions returns actions that drain and move hosts and submit conflicting tickets. The commands may fail, or
// their result may stay unknown; the test only requires that all entry hosts agree in the end.
func (fi *faultInjector) operatorActions() []faultAction {
	incarnations := make(map[string]uint64)
	tryCommand := func(args ...string) { _, _, _, _ = fi.RunTamarack(fi.ctx, append(args, "--timeout", "2s")...) }
	return []faultAction{
		{"host drained", func(rng *rand.Rand) {
			t := fi.randomTarget(rng)
			tryCommand("drain", t.Host)
			fi.randomSleep(rng, 2*time.Second)
			tryCommand("drain", t.Host, "--undo")
		}},
		{"host leaves by platform list", func(rng *rand.Rand) {
			t := fi.randomTarget(rng)
			state := structs.HostState{Name: t.Host, DataCentre: t.DataCentre, Incarnation: 1 + incarnations[t.Host], Live: true, Leaving: true}
			fi.must(fi.SetHostState(state))
			fi.randomSleep(rng, 2*time.Second)
			incarnations[t.Host]++
			state.Incarnation, state.Leaving = state.Incarnation+1, false
			fi.must(fi.SetHostState(state))
		}},
		{"home pool changed", func(rng *rand.Rand) {
			t := fi.randomTarget(rng)
			pool := t.DataCentre + "-" + services[rng.IntN(len(services))]
			path, err := fi.WriteFile("move.yaml", fi.editedDeclaration("host", t.Host, "pool: "+t.Pool, "pool: "+pool))
			fi.must(err)
			tryCommand("apply", "--title", "move", path)
		}},
		{"operators race", func(rng *rand.Rand) {
			path, err := fi.WriteFile("team.yaml", "kind: team\nname: racing\nspec: {name: racing, max_concurrent: "+strings.Repeat("1", 1+rng.IntN(5))+"}\n")
			fi.must(err)
			var group sync.WaitGroup
			for range 2 {
				group.Go(func() { tryCommand("apply", "--title", "race", path) })
			}
			group.Wait()
		}},
	}
}

// endFaults ends the faults of the store, waits until all entry hosts are ready, and undoes all drains.
func (fi *faultInjector) endFaults() {
	for _, dc := range []string{"", "dc1", "dc2"} {
		fi.setPlatformFaults(dc, memory.Faults{})
	}
	ctx := fi.ctx
	for _, e := range fi.Entries {
		fi.must(fi.WaitReady(ctx, e))
	}
	for _, t := range fi.Targets {
		fi.submitByCommand("drain", t.Host, "--undo")
	}
}

// Guards against violations that only a combination of faults causes (P1, P2, P3, P4, P5, P8). Entry hosts, targets,
// the store and operators fail at random, alone, together and repeatedly, under load, while the pools of the hosts
// and the fleet versions are observed. `make soak` runs the test for longer with a new seed.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	t.Logf("seed %d, faults for %s", soakSeed, soakTime)
	observer := tf.observePools(1)
	injector := &faultInjector{testFleet: tf, end: time.Now().Add(soakTime), counts: make(map[string]int)}
	d := mostlyKeyedDemand(soakSeed, soakTime)
	d.Deadline = 10 * time.Second
	wait := tf.startLoad(d, withRepeats())
	var group sync.WaitGroup
	for i, actions := range [][]faultAction{injector.entryFaultActions(), injector.targetFaultActions(), injector.storeFaultActions(), injector.operatorActions()} {
		injector.runActions(&group, uint64(i), actions)
	}
	group.Wait()
	injector.endFaults()
	records := wait()
	injector.logCounts(records)
	observer.stop()
	tf.checkOutcomes(records)
	tf.awaitTicketsInEffect()
	tf.awaitKeyedService()
	wrong, known := injector.countWrongService(observer)
	t.Logf("%d samples of assignments, %d moves, %d executions while the pool was known", observer.samples, observer.poolChanges(), known)
	assert.Equal(t, wrong, 0, "executions of another service than that of the pool")
	assert.Equal(t, len(observer.overBudget), 0, "%v", observer.overBudget)
	assert.Assert(t, known > 0)
}

// countWrongService sums up the counts of the observer over all targets, with the executions of killed runs.
func (fi *faultInjector) countWrongService(observer *poolObserver) (wrong, known int) {
	for _, t := range fi.Targets {
		list, err := loadgen.Executions(fi.ctx, t.ControlAddress)
		fi.must(err)
		n, k := observer.countWrongService(t.Host, append(list, fi.executionsBeforeKill[t.Host]...))
		wrong, known = wrong+n, known+k
	}
	return wrong, known
}

// logCounts logs how often each fault was injected.
func (fi *faultInjector) logCounts(records []loadgen.Record) {
	names := make([]string, 0, len(fi.counts))
	total := 0
	for name, n := range fi.counts {
		names = append(names, name)
		total += n
	}
	sort.Strings(names)
	for _, name := range names {
		fi.t.Logf("%-32s %d", name, fi.counts[name])
	}
	fi.t.Logf("%d faults, %d requests", total, len(records))
}
