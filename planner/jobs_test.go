package planner

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/structs"
)

func queuedJob(id, service, team string, cores int) Job {
	return Job{Job: structs.Job{ID: id, State: structs.JobQueued, Spec: structs.JobSpec{Service: service, Team: team, Cores: cores, MemoryMB: 1024}}}
}

// Placement must use the observed resource use instead of the declared one, keep team quotas, and start first the jobs
// of the team with the fewest cores in use, so that one team does not take all hosts while another waits.
func TestPlacementUsesLearnedSizesAndQuotas(t *testing.T) {
	s := fleet(1, 1, 0)
	for i := range 4 {
		s.Jobs = append(s.Jobs, queuedJob(fmt.Sprint("a", i), "p000", "a", 8))
	}
	assert.Equal(t, len(PlaceJobs(s, testNow).Start), 2)
	s.Learned = map[string]Learned{"p000/a": Learned{}.WithUse(s.Jobs[0].Spec, 4, 512)}
	assert.Equal(t, len(PlaceJobs(s, testNow).Start), 4)
	s.Teams = map[string]structs.Team{"a": {Name: "a", MaxCores: 9}}
	assert.Equal(t, len(PlaceJobs(s, testNow).Start), 2)
	s.Jobs = append(s.Jobs, queuedJob("b", "p000", "b", 8))
	s.Jobs[0].State, s.Jobs[0].Worker = structs.JobRunning, "h0000"
	starts := PlaceJobs(s, testNow).Start
	assert.Equal(t, starts[0].Job, "b")
}

// An estimate must ignore meaningless declarations, and must use declarations that are wrong only by a constant factor.
func TestEstimateUsesTheBetterPredictor(t *testing.T) {
	var constant, meaningless Estimate
	for i := range 30 {
		declared := float64(1 + i%5)
		constant = constant.With(4*declared, declared)
		meaningless = meaningless.With(8, declared)
	}
	assert.Assert(t, math.Abs(constant.predict(3, 1)-12) < 0.01)
	assert.Assert(t, math.Abs(meaningless.predict(3, 1)-8) < 0.01)
	assert.Equal(t, Estimate{}.predict(3, 1), 3.0)
}

// A job must not start again on a worker where it failed, nor on a worker with recent failures while another is free. It
// must fail, instead of waiting forever, once it has failed on every worker that is large enough.
func TestPlacementAvoidsFailedWorkers(t *testing.T) {
	s := fleet(1, 3, 0)
	s.Hosts[1].RecentFailures = 2
	job := queuedJob("a", "p000", "a", 8)
	job.Starts, job.FailedWorkers = 1, []string{"h0000"}
	s.Jobs = []Job{job}
	assert.Equal(t, PlaceJobs(s, testNow).Start[0].Host, "h0002")
	s.Jobs[0].FailedWorkers = []string{"h0000", "h0002"}
	assert.Equal(t, PlaceJobs(s, testNow).Start[0].Host, "h0001")
	s.Jobs[0].FailedWorkers = []string{"h0000", "h0001", "h0002"}
	assert.Equal(t, len(PlaceJobs(s, testNow).Fail), 1)
}

// In any snapshot, a job must not start beyond the free cores of a host, nor on a host that is out of service or serves
// another service. A task that is not idempotent must not be stopped, and no job may appear in two decisions.
func TestPlacementsFit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSnapshot(rt)
		cores, service, decided := make(map[string]int), make(map[string]string), make(map[string]bool)
		for i := range s.Hosts {
			s.Hosts[i].InFlight = rapid.IntRange(0, 8).Draw(rt, "in flight")
		}
		for i := range rapid.IntRange(0, 30).Draw(rt, "jobs") {
			j := queuedJob(fmt.Sprint(i), s.Pools[rapid.IntRange(0, len(s.Pools)-1).Draw(rt, "pool")].Service, "a", rapid.IntRange(1, 20).Draw(rt, "cores"))
			j.Spec.Idempotent, j.Spec.Checkpointable = rapid.Bool().Draw(rt, "idempotent"), rapid.Bool().Draw(rt, "checkpointable")
			if h := &s.Hosts[rapid.IntRange(0, len(s.Hosts)-1).Draw(rt, "host")]; rapid.Bool().Draw(rt, "running") {
				j.State, j.Worker, j.Throttled = structs.JobRunning, h.Name, rapid.Bool().Draw(rt, "throttled")
				cores[h.Name] += j.Spec.Cores
			}
			s.Jobs = append(s.Jobs, j)
		}
		for _, p := range s.Pools {
			service[p.Name] = p.Service
		}
		plan := PlaceJobs(s, testNow)
		decideOnce := func(id string) {
			assert.Assert(rt, !decided[id])
			decided[id] = true
		}
		for _, p := range plan.Start {
			decideOnce(p.Job)
			h := &s.Hosts[slices.IndexFunc(s.Hosts, func(h Host) bool { return h.Name == p.Host })]
			job := &s.Jobs[slices.IndexFunc(s.Jobs, func(j Job) bool { return j.ID == p.Job })]
			cores[p.Host] += p.Cores
			assert.Assert(rt, h.usable() && cores[p.Host]+h.Cores*h.InFlight/h.Slots <= h.Cores)
			assert.Assert(rt, service[h.Pool] == "" || service[h.Pool] == job.Spec.Service)
		}
		for _, id := range slices.Concat(plan.Throttle, plan.Unthrottle, plan.Checkpoint, plan.Stop) {
			decideOnce(id)
		}
		for _, id := range plan.Stop {
			assert.Assert(rt, s.Jobs[slices.IndexFunc(s.Jobs, func(j Job) bool { return j.ID == id })].Spec.Idempotent)
		}
		for _, r := range plan.Refuse {
			decideOnce(r.Job)
			assert.Assert(rt, r.Reason != "")
		}
	})
}

// BenchmarkPass measures one full planning pass (Observe, Moves, NextExits, PlaceJobs) at a quarter of, half, once and
// twice the design size of 1,500 workers, 206 pools and 340 teams, with a burst in every tenth pool, two waves and two
// jobs per worker.
func BenchmarkPass(b *testing.B) {
	for _, quarter := range []int{1, 2, 4, 8} {
		s := designFleet(quarter)
		b.Run(fmt.Sprintf("hosts=%d", len(s.Hosts)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.History = Observe(s.History, s, testNow)
				Moves(s, testNow, ProfileBuffer())
				NextExits(s, testNow)
				PlaceJobs(s, testNow)
			}
		})
	}
}

// designFleet returns a loaded fleet; quarters is its size in quarters of the design size.
func designFleet(quarters int) Snapshot {
	s := fleet(205*quarters/4, 7, 65*quarters/4)
	s.Teams = make(map[string]structs.Team)
	teams := 340 * quarters / 4
	for i := range teams {
		s.Teams[fmt.Sprint("t", i)] = structs.Team{MaxCores: 64}
	}
	for i := range s.Pools {
		if i%10 == 0 {
			s.Pools[i].Backlog, s.Pools[i].ArrivalRate = 500, 200
		}
	}
	for i := range 2 * len(s.Hosts) {
		j := queuedJob(fmt.Sprint("j", i), s.Pools[i%(len(s.Pools)-1)].Name, fmt.Sprint("t", i%teams), 4+i%8)
		j.Spec.Idempotent = true
		if i%2 == 0 {
			j.State, j.Worker = structs.JobRunning, s.Hosts[i/2].Name
		}
		s.Jobs = append(s.Jobs, j)
	}
	s.Waves = []Wave{{Wave: structs.Wave{Name: "a", MaxParallel: 4}}, {Wave: structs.Wave{Name: "b", MaxParallel: 4}}}
	s.History.LowSince = make(map[string]time.Time)
	return s
}
