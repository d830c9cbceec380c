package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// counts: one of nine executors, the only one with a label, refuses all starts for 6.5 s. Jobs that need the label wait, and the length of
// their queue is asked for.
func counts(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	var busy atomic.Bool
	for i := range 9 {
		if i > 0 {
			w.addExecutor("alpha", i, resources{16000, 32768, 0})
			continue
		}
		w.addExecutorOfKind("b", "alpha", i, resources{16000, 32768, 0}).answer = func(path string) int {
			if busy.Load() && path == "/run-start" {
				return http.StatusServiceUnavailable
			}
			return 0
		}
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	busy.Store(trouble)
	w.log("executor refuses starts", "on", trouble)
	time.AfterFunc(6500*time.Millisecond, func() { busy.Store(false); w.log("executor takes starts") })
	const jobs = 8
	accepted := 0
	for n := range jobs {
		if w.submit(w.nodes[n%3], fmt.Sprintf("%016x", 0xf00+n), "alpha", 800*time.Millisecond, jobBody{
			Spec: "preview", Steps: []step{{Count: 2, CPU: 900, MemMB: 1300, EstimateMs: 800, Requirements: "b"}},
		}) == http.StatusOK {
			accepted++
		}
	}
	// visible_ms and 2 s, and some more.
	time.Sleep(5500 * time.Millisecond)
	begun := make(map[string]bool)
	w.mu.Lock()
	for _, r := range w.runs {
		id, _, _ := stepOf(r.task)
		begun[id] = true
	}
	w.mu.Unlock()
	waiting := accepted - len(begun)
	for _, n := range w.nodes {
		if p := w.pending(n, "alpha"); p >= 0 && 2*p < waiting {
			w.violate("MIXED: %s gives %d as Pending; %d jobs were accepted over 5 s before, and %d of them have not begun", n.name, p, accepted, waiting)
		}
	}
}
