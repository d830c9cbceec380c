package main

import (
	"fmt"
	"time"
)

// forgotten: the store is slow and forgets its history while finished jobs are removed.
func forgotten(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	for i := range 6 {
		w.addExecutor("alpha", i, resources{16000, 32768, 0})
	}
	w.startNodes(3, bounds{statusS: 10})
	time.Sleep(3 * time.Second)
	began := time.Now()
	go func() {
		if !trouble {
			return
		}
		time.Sleep(15 * time.Second)
		for time.Since(began) < 85*time.Second {
			w.store.setDelay(236 * time.Millisecond)
			w.log("store is slow")
			for range 2 {
				time.Sleep(2000 * time.Millisecond)
				w.store.dropHistory()
				w.log("history dropped")
			}
			time.Sleep(500 * time.Millisecond)
			w.store.setDelay(0)
			w.log("store is fast")
			time.Sleep(1500 * time.Millisecond)
		}
		w.store.setDelay(0)
	}()
	for n := 0; time.Since(began) < 85*time.Second; n++ {
		go w.submit(w.nodes[n%3], fmt.Sprintf("%016x", 0xa000+n), "alpha", 300*time.Millisecond, jobBody{
			Spec: "stamp", Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 300}},
		})
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	var twice []string
	seen := make(map[string]*seenRun)
	for _, r := range w.runs {
		if o := seen[r.task]; o != nil {
			first, second := o, r
			if r.from.Before(o.from) {
				first, second = r, o
			}
			if first.how == "done" && !first.ackedAt.IsZero() {
				twice = append(twice, fmt.Sprintf("TWICE: %s ended done and was taken note of, and started again %.1f s later", r.task, second.from.Sub(first.to).Seconds()))
			}
		}
		seen[r.task] = r
	}
	w.mu.Unlock()
	for _, t := range twice {
		w.violate("%s", t)
	}
}
