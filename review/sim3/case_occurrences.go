package main

import (
	"strings"
	"syscall"
	"time"
)

// owner returns the node that owns the jobs, by the row of the lease in the store.
func (w *world) owner() *node {
	lease := string(w.store.values("tamarack_owner")["lease"])
	for _, n := range w.nodes {
		if strings.Contains(lease, n.name+"/") {
			return n
		}
	}
	return nil
}

// occurrences: machines of the system are stopped and started in turn while due occurrences of a scheduled job wait for room.
func occurrences(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	// Room for three work items at a time.
	for i := range 3 {
		w.addExecutor("alpha", i, resources{4000, 8192, 0})
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	n := w.owner()
	if n == nil {
		w.fail("nobody owns the jobs")
	}
	other := w.nodes[0]
	if other == n {
		other = w.nodes[1]
	}
	// Another job holds the executors while the occurrences become due, one each 100 ms. Each takes 3 s of a whole executor.
	const count = 20
	const id = "00000000000000b1"
	w.submit(other, "00000000000000b0", "alpha", 3*time.Second, jobBody{
		Spec: "first", Steps: []step{{Count: 3, CPU: 4000, MemMB: 4096, EstimateMs: 3000}},
	})
	time.Sleep(200 * time.Millisecond)
	w.submit(other, id, "alpha", 3*time.Second, jobBody{
		Spec: "inventory", Steps: []step{{Count: 1, CPU: 4000, MemMB: 4096, EstimateMs: 3000}},
		RepeatCount: count, StartAtMs: time.Now().UnixMilli(), IntervalMs: 100,
	})
	w.await(10*time.Second, "three occurrences run", func() bool { return len(w.runsOf(id)) == 3 })
	time.Sleep(time.Second)
	if trouble {
		n.signal(syscall.SIGTERM)
		go n.restart()
	}
	done := func() int {
		occurrences := map[int]bool{}
		for _, r := range w.runsOf(id) {
			if _, k, _ := stepOf(r.task); r.how == "done" {
				occurrences[k] = true
			}
		}
		return len(occurrences)
	}
	// Twenty occurrences on three executors take seven rounds of 3 s; a takeover takes a second.
	completed := w.within(50*time.Second, func() bool {
		time.Sleep(480 * time.Millisecond)
		state, _ := w.state(other, id)
		return state == "completed"
	})
	var last time.Time
	for _, r := range w.runsOf(id) {
		last = latest(last, latest(r.from, r.to))
	}
	w.log("at the end", "occurrences_done", done(), "completed", completed, "idle_s", time.Since(last).Seconds())
	if !completed && time.Since(last) > 7*time.Second {
		w.violate("LOST: %d of %d occurrences have run; the others are due, nothing has run on any executor for %.1f s, and the job never completes", done(), count, time.Since(last).Seconds())
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
