package main

import (
	"fmt"
	"time"
)

// suspects: an executor goes down and up twice. A job that lasts needs its label, and has four work items there.
func suspects(w *world, trouble bool) {
	const count = 4
	w.configure(1, 4, "alpha")
	labelled := w.addExecutorOfKind("b", "alpha", 0, resources{16000, 32768, 0})
	for i := 1; i < 9; i++ {
		w.addExecutor("alpha", i, resources{16000, 32768, 0})
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	const id = "00000000000000f1"
	w.submit(w.nodes[0], id, "alpha", 300*time.Millisecond, jobBody{
		Spec: "keeps the ledger", Steps: []step{{Count: count, CPU: 1500, MemMB: 2400, EstimateMs: 500, LongRunning: true, MayMiss: 1, Requirements: "b"}},
	})
	w.await(8*time.Second, "all work items run", func() bool { return len(labelled.running()) == count })
	time.Sleep(2 * time.Second)
	if trouble {
		flap(labelled, 2800*time.Millisecond)
	}
	calm := time.Now()
	w.log("no disturbance from here on")
	// A work item has to run within 6 s of its last run and 3 s more, once it has been calm for 7 s.
	const limit = 10 * time.Second
	for time.Since(calm) < 45*time.Second && len(labelled.running()) < count {
		time.Sleep(100 * time.Millisecond)
	}
	ended := make(map[string]time.Time)
	for _, r := range w.runsOf(id) {
		if r.how == "crash" {
			ended[r.task] = latest(ended[r.task], r.to)
		}
	}
	for n := range count {
		task := fmt.Sprintf("%s.0.0.%d", id, n)
		var began time.Time
		for _, r := range w.runsOf(id) {
			if r.task == task {
				began = latest(began, r.from)
			}
		}
		idle := began.Sub(latest(ended[task], calm))
		if began.Before(calm) && !ended[task].IsZero() && began.Before(ended[task]) {
			idle = time.Since(calm)
		}
		w.log("at the end", "task", task, "not_at_work_in_calm_s", idle.Seconds())
		if idle > limit {
			w.violate("LOST: %s was not at work for %.1f s of calm, with 11 cores and more free on its executor", task, idle.Seconds())
		}
	}
}
