// Command case-5 plays case 5 of the review: a task that lasts fails while the only machine of its pool is due for upkeep.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/tamarackworks/tamarackworks/review/bed"
)

const (
	// failsAfter is how long one of the tasks runs until it fails by its own fault.
	failsAfter = 10 * time.Second
	// waveAfter is the time from the acceptance of the job to the request of the wave, durationS what the wave is given.
	waveAfter = 4 * time.Second
	durationS = 26
	// owed is the bound of the rule: a task that lasts has to run again from 6 s after its last run, and 3 s without it break the rule.
	owed = 9 * time.Second
	// watched is how long the case waits for it.
	watched = 20 * time.Second
)

var (
	size     = bed.Size{CPU: 1500, Mem: 2000}
	capacity = bed.Size{CPU: 16000, Mem: 32768}
)

func main() { bed.Main(play) }

func play(b *bed.Bed) (int, error) {
	q := bed.Queue{Name: "q1", Host: "jobs.example", Prefix: "/q1/", Service: "s1", MaxAttempts: 4}
	b.WorkOf = func(task string, run int) bed.Work {
		if strings.HasSuffix(task, ".1") && run == 1 {
			return bed.Work{Size: size, For: failsAfter, How: "failed", Lasts: true}
		}
		return bed.Work{Size: size, For: time.Hour, How: "done", Lasts: true}
	}
	e, err := b.AddExecutor("0-1", "s1", "r1", capacity)
	if err != nil {
		return 0, err
	}
	for i := 1; i <= 3; i++ {
		b.AddStandbyMachine(fmt.Sprintf("%d-1", i), "r1", capacity)
	}
	b.Manifest(1, []bed.Queue{q}, map[string]any{"Name": "s1", "AdmissionCheck": true},
		map[string]any{"Name": bed.Standby, "AdmissionCheck": true, "Standby": true})
	for i, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.AddNode(fmt.Sprintf("edge-%d", i+1), zone, 0.4); err != nil {
			return 0, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	id := bed.JobID()
	if err := b.Submit(q, id, map[string]any{"Spec": "lasts", "Steps": []any{map[string]any{
		"Count": 4, "Cpu": size.CPU, "MemMb": size.Mem, "EstimateMs": 500, "LongRunning": true, "MayMiss": 1,
	}}}); err != nil {
		return 0, err
	}
	time.Sleep(waveAfter)
	if b.Running(id) != 4 || len(b.Runs(id)) != 4 {
		return 0, fmt.Errorf("the tasks do not run")
	}
	if b.Trouble {
		b.Store.Put("op", "wave/1", map[string]any{"Wave": 1, "Machines": []string{"m0"}, "DurationS": durationS, "Cap": 1})
		b.Record.Add("operator", "wave/1 for machine m0 is confirmed")
	}
	time.Sleep(failsAfter - waveAfter + watched)
	return judge(b, e, id+".0.0.1"), nil
}

// judge applies what LOST says of a task that lasts.
func judge(b *bed.Bed, e *bed.Executor, task string) int {
	var last bed.Run
	for _, r := range b.Runs(task) {
		last = r
	}
	b.Record.Add("judge", "the last run of %s began at %s and ended %s; %d of %d thousandths of a core are reserved on %s",
		task, last.Began.Format("15:04:05.0"), last.How, e.Used(), e.Capacity.CPU, e.ID)
	if last.Ended.IsZero() {
		return bed.ExitHeld
	}
	if idle := time.Since(last.Ended); idle > owed {
		b.Record.Add("judge", "LOST: it has not run for %.1f s", idle.Seconds())
		return bed.ExitBroken
	}
	return bed.ExitHeld
}
