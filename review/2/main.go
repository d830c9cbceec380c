// Command case-2 plays case 2 of the review: a queue goes to another service and back, and then a zone is cut off.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/tamarackworks/tamarackworks/review/bed"
)

const (
	firstTakes  = 3 * time.Second
	secondTakes = 20 * time.Second
	// cutFor is how long the zone is cut off; the sheet's days have up to 6.3 s.
	cutFor = 6 * time.Second
)

var (
	size     = bed.Size{CPU: 1000, Mem: 1000}
	capacity = bed.Size{CPU: 16000, Mem: 32768}
)

func main() { bed.Main(play) }

func play(b *bed.Bed) (int, error) {
	b.WorkOf = func(task string, _ int) bed.Work {
		if strings.Contains(task, ".0.0.") {
			return bed.Work{Size: size, For: firstTakes, How: "done"}
		}
		return bed.Work{Size: size, For: secondTakes, How: "done"}
	}
	inZone1, err := b.AddExecutor("0-1", "s2", "r1", capacity)
	if err != nil {
		return 0, err
	}
	for i := 1; i <= 3; i++ {
		if _, err := b.AddExecutor(fmt.Sprintf("%d-1", i), "s1", "r2", capacity); err != nil {
			return 0, err
		}
	}
	services := []map[string]any{{"Name": "s1", "AdmissionCheck": true}, {"Name": "s2", "AdmissionCheck": true}}
	q := bed.Queue{Name: "q1", Host: "jobs.example", Prefix: "/q1/", Service: "s1", MaxAttempts: 4}
	toS2 := q
	toS2.Service = "s2"
	b.Manifest(1, []bed.Queue{q}, services...)
	owner, err := b.AddNode("edge-1", "z1", 0.4)
	if err != nil {
		return 0, err
	}
	if !await(20*time.Second, func() bool { return b.LastWriter() == owner }) {
		return 0, fmt.Errorf("%s does not act for all", owner.Name)
	}
	for i, zone := range []string{"z2", "z3"} {
		if _, err := b.AddNode(fmt.Sprintf("edge-%d", i+2), zone, 0.4); err != nil {
			return 0, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if b.LastWriter() != owner {
		return 0, fmt.Errorf("%s is not the one that acts for all", owner.Name)
	}
	id := bed.JobID()
	if err := b.Submit(q, id, map[string]any{"Spec": "two steps", "Steps": []any{
		map[string]any{"Count": 1, "Cpu": size.CPU, "MemMb": size.Mem, "EstimateMs": firstTakes.Milliseconds()},
		map[string]any{"Count": 4, "Cpu": size.CPU, "MemMb": size.Mem, "EstimateMs": secondTakes.Milliseconds(), "After": []int{0}},
	}}); err != nil {
		return 0, err
	}
	// The queue goes to the other service while the first step runs, and back after the second one has started.
	time.Sleep(time.Second)
	b.Manifest(3, []bed.Queue{toS2}, services...)
	if !await(10*time.Second, func() bool { return b.Running(id+".0.1.") == 4 }) {
		return 0, fmt.Errorf("the second step does not start")
	}
	time.Sleep(time.Second)
	b.Manifest(4, []bed.Queue{q}, services...)
	time.Sleep(4 * time.Second)
	if b.Trouble {
		// The zone of edge-1 and of the executor is cut off.
		inZone1.CutFromAllBut(b.Epoch())
		owner.CutFromPlatform(true)
	}
	time.Sleep(cutFor)
	if b.Trouble {
		owner.CutFromPlatform(false)
		inZone1.CutFromAllBut(0)
	}
	time.Sleep(secondTakes)
	return judge(b, id), nil
}

// judge applies TWICE: two runs of one work item at the same time, on executors that are up.
func judge(b *bed.Bed, id string) int {
	code := bed.ExitHeld
	runs := b.Runs(id)
	for i, x := range runs {
		for _, y := range runs[i+1:] {
			if x.Task != y.Task {
				continue
			}
			from, to := y.Began, x.Ended
			if to.IsZero() || (!y.Ended.IsZero() && y.Ended.Before(to)) {
				to = y.Ended
			}
			if to.IsZero() {
				to = time.Now()
			}
			if from.Before(to) {
				b.Record.Add("judge", "TWICE: %s ran on %s (run %d) and on %s (run %d) at the same time, for %.2f s",
					x.Task, x.Executor, x.Number, y.Executor, y.Number, to.Sub(from).Seconds())
				code = bed.ExitBroken
			}
		}
	}
	return code
}

func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
