package main

import (
	"time"
)

// gang: one of nine executors goes down and up by turns while a gang runs on the three that have the label it needs.
func gang(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	var labelled []*executor
	for i := range 9 {
		if i < 3 {
			labelled = append(labelled, w.addExecutorOfKind("b", "alpha", i, resources{16000, 32768, 0}))
			continue
		}
		w.addExecutor("alpha", i, resources{16000, 32768, 0})
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	const id = "00000000000000e1"
	// Twelve work items of 4 cores, four on each executor with the label.
	w.submit(w.nodes[0], id, "alpha", 4*time.Second, jobBody{
		Spec: "layout", Steps: []step{{Count: 12, CPU: 4000, MemMB: 2400, EstimateMs: 4000, Gang: true, Requirements: "b"}},
	})
	running := func() int {
		n := 0
		for _, e := range labelled {
			n += len(e.running())
		}
		return n
	}
	w.await(8*time.Second, "the gang runs", func() bool { return running() == 12 })
	time.Sleep(time.Second)
	if trouble {
		flap(labelled[0], 4*time.Second)
	}
	w.log("no disturbance from here on")
	state := ""
	completed := w.within(40*time.Second, func() bool {
		time.Sleep(480 * time.Millisecond)
		state, _ = w.state(w.nodes[1], id)
		return state == "completed" || state == "failed"
	})
	var last time.Time
	for _, r := range w.runsOf(id) {
		last = latest(last, latest(r.from, r.to))
	}
	w.log("at the end", "state", state, "idle_s", time.Since(last).Seconds())
	switch {
	case state == "failed":
		w.violate("LOST: the job is shown as failed, and no run of it has ended failed")
	case !completed && time.Since(last) > 7*time.Second:
		w.violate("LOST: the gang has not run for %.1f s although all executors are free", time.Since(last).Seconds())
	}
}
