package main

import (
	"net/http"
	"time"
)

// crashes: one of nine executors goes down and up by turns. A job that lasts has one work item on each of them.
func crashes(w *world, trouble bool) {
	const count = 9
	w.configure(1, 4, "alpha")
	var alpha []*executor
	for i := range count {
		alpha = append(alpha, w.addExecutor("alpha", i, resources{16000, 32768, 0}))
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	const id = "00000000000000a1"
	w.submit(w.nodes[0], id, "alpha", 300*time.Millisecond, jobBody{
		Spec: "keeps the ledger", Steps: []step{{Count: count, CPU: 1500, MemMB: 2400, EstimateMs: 500, AntiAffinity: 1, LongRunning: true, MayMiss: 1}},
	})
	running := func() int {
		n := 0
		for _, e := range alpha {
			n += len(e.running())
		}
		return n
	}
	w.await(8*time.Second, "all work items run", func() bool { return running() == count })
	time.Sleep(2 * time.Second)
	if trouble {
		flap(alpha[0], 6500*time.Millisecond)
	} else {
		time.Sleep(6500 * time.Millisecond)
	}
	w.log("no disturbance from here on")
	time.Sleep(5 * time.Second)
	for range 20 {
		state, status := w.state(w.nodes[1], id)
		if status == http.StatusOK && state == "failed" {
			w.violate("LOST: the job is shown as failed; no run of it has ended failed, and work items that last have no limit of attempts")
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.log("at the end", "running", running())
}

// flap lets an executor go down and up by turns for a time, with a period of 1.4 s.
func flap(e *executor, during time.Duration) {
	for began := time.Now(); time.Since(began) < during; {
		e.crash()
		time.Sleep(700 * time.Millisecond)
		e.boot()
		time.Sleep(700 * time.Millisecond)
	}
}
