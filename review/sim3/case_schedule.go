package main

import (
	"fmt"
	"net/http"
	"time"
)

// schedule: a scheduled job comes whose progress outgrows a row of the store. Ordinary jobs of another queue come all the time.
func schedule(w *world, trouble bool) {
	w.configure(1, 4, "alpha", "beta")
	for i := range 3 {
		w.addExecutor("alpha", i, resources{16000, 32768, 0})
		w.addExecutor("beta", i, resources{16000, 32768, 0})
	}
	var refusedAt time.Time
	var takeovers int
	w.store.onTooLarge = func(r row) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if refusedAt.IsZero() {
			refusedAt = time.Now()
		}
		w.log("value too large", "row", r.Table+"/"+r.Key, "bytes", len(r.Value))
	}
	w.store.onCommit = func(puts, _ []row) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range puts {
			if r.Table == "tamarack_owner" && r.Key == "fence" {
				takeovers++
				w.log("takeover", "fence", string(r.Value))
			}
		}
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	const id = "00000000000000c1"
	count := 4000
	if !trouble {
		count = 2000
	}
	const interval = 10 * time.Millisecond
	w.submit(w.nodes[0], id, "alpha", 100*time.Millisecond, jobBody{
		Spec: "heartbeat of the ledger", Steps: []step{{Count: 1, CPU: 500, MemMB: 256, EstimateMs: 100}},
		RepeatCount: count, StartAtMs: time.Now().UnixMilli(), IntervalMs: interval.Milliseconds(),
	})
	began := time.Now()
	due := began.Add(time.Duration(count) * interval)
	var ordinary []string
	for n := 0; time.Since(began) < 60*time.Second; n++ {
		id := fmt.Sprintf("%016x", 0xd000+n)
		if w.submit(w.nodes[n%3], id, "beta", 500*time.Millisecond, jobBody{
			Spec: "stamp", Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500}, {Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, After: []int{0}}},
		}) == http.StatusOK {
			ordinary = append(ordinary, id)
		}
		time.Sleep(900 * time.Millisecond)
	}
	// finish_s after the end of the traffic.
	time.Sleep(14 * time.Second)
	incomplete := 0
	for _, id := range ordinary {
		if state, _ := w.state(w.nodes[1], id); state != "completed" {
			incomplete++
		}
	}
	state, _ := w.state(w.nodes[1], id)
	done := make(map[string]bool)
	var last time.Time
	for _, r := range w.runsOf(id) {
		last = latest(last, latest(r.from, r.to))
		if r.how == "done" {
			done[r.task] = true
		}
	}
	w.mu.Lock()
	ends, unseen := 0, 0
	for _, r := range w.runs {
		if refusedAt.IsZero() || r.listedAt.Before(refusedAt) || time.Since(r.listedAt) < 4*time.Second {
			continue
		}
		ends++
		if r.ackedAt.IsZero() || r.ackedAt.Sub(r.listedAt) > 4*time.Second {
			unseen++
		}
	}
	w.log("at the end", "state", state, "occurrences", count, "done", len(done), "idle_s", time.Since(last).Seconds(), "all_due_s_ago", time.Since(due).Seconds(),
		"ordinary_jobs", len(ordinary), "not_completed", incomplete, "takeovers", takeovers,
		"ends_listed_since_the_first_refusal", ends, "of_them_not_taken_note_of_in_4_s", unseen)
	w.mu.Unlock()
	if state != "completed" && len(done) < count && time.Since(last) > 7*time.Second {
		w.violate("LOST: %d of %d occurrences have run; the others are due for %.0f s, nothing of the job has run for %.1f s, and the executors are idle; %d takeovers",
			len(done), count, time.Since(due).Seconds(), time.Since(last).Seconds(), takeovers)
	}
	if incomplete > 0 {
		w.violate("LOST: %d of %d ordinary jobs of another queue are not completed 14 s after the end of the traffic", incomplete, len(ordinary))
	}
	if ends > 0 && 5*unseen > ends {
		w.violate("Acks: %d of %d ends that were listed since the first refusal were not taken note of within 4 s", unseen, ends)
	}
}
