package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// cases are the scripts by name. Each returns the number of breaches.
var cases = map[string]func(*bed) (int, error){
	"checkpoints": checkpoints, "schedule": schedule, "gang": gangCrash, "advice": adviceOfMany, "occurrences": occurrences,
	"crashes": crashes, "chaos": chaos, "gangs": gangs, "grey": greyGang, "pending": pending, "ends": unlistedEnds, "block": adviceBlocks, "hopeless": hopelessGang,
}

var (
	lookups = queue{name: "r-lookup", host: "pule25.example", prefix: "/puxa400/", service: "huvo11a"}
	batches = queue{name: "r-batch", host: "jepu9.example", prefix: "/wuhu344/", service: "huvo11a"}
)

// begin writes the manifest, adds executors and starts the nodes.
func (b *bed) begin(executors int, queues ...queue) error {
	b.configure(queues...)
	b.fleet.addMachines(executors, lookups.service, zones)
	if err := b.start(); err != nil {
		return err
	}
	for deadline := time.Now().Add(10 * time.Second); b.owner() == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("no node leads")
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// lookUp hands in a small job each half second for a time.
func (b *bed) lookUp(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		go b.submitPlain(lookups, work{MS: 500, CPU: 500, Memory: 256}, 2)
	}
}

// submitPlain hands in a job with one step of equal work items.
func (b *bed) submitPlain(q queue, w work, count int) *job {
	step := map[string]any{"Count": count, "Cpu": w.CPU, "MemMb": w.Memory, "EstimateMs": w.MS}
	if w.Checkpoints {
		step["Checkpointing"] = true
	}
	if w.Gang > 0 {
		step["Gang"] = true
	}
	return b.submit(q, w, []map[string]any{step}, nil)
}

// checkpoints: one large job of checkpointing work items comes between small jobs. Without the trouble the same work comes as twenty jobs.
func checkpoints(b *bed) (int, error) {
	if err := b.begin(12, lookups, batches); err != nil {
		return 0, err
	}
	b.lookUp(4 * time.Second)
	jobs, items := 1, 4000
	if !b.trouble {
		jobs, items = 20, 200
	}
	for range jobs {
		if b.submitPlain(batches, work{MS: 60000, Uneven: 70, CPU: 20, Memory: 32, Checkpoints: true}, items) == nil {
			return 0, fmt.Errorf("the large job is not accepted")
		}
	}
	b.lookUp(24 * time.Second)
	return b.judge(), nil
}

// scheduled hands in a job whose steps run several times.
func (b *bed) scheduled(w work, first time.Time, times int, interval time.Duration) *job {
	j := b.submit(batches, w, []map[string]any{{"Count": 1, "Cpu": w.CPU, "MemMb": w.Memory, "EstimateMs": w.MS}}, map[string]any{
		"RepeatCount": times, "StartAtMs": first.UnixMilli(), "IntervalMs": interval.Milliseconds(),
	})
	if j == nil {
		return nil
	}
	j.due = func() []string {
		var items []string
		for k := range times {
			if time.Now().After(first.Add(time.Duration(k) * interval)) {
				items = append(items, fmt.Sprintf("%s.%d.0.0", j.id, k))
			}
		}
		return items
	}
	return j
}

// schedule: the queue is full while occurrences of scheduled jobs become due; then the process that leads is killed.
func schedule(b *bed) (int, error) {
	if err := b.begin(6, lookups, batches); err != nil {
		return 0, err
	}
	// Each work item takes most of an executor. The pool is full for 16 s, but for two executors that become free after 6 s.
	full := work{CPU: 12000, Memory: 4096}
	for i := range 6 {
		w := full
		if w.MS = 16000; i < 2 {
			w.MS = 6000
		}
		if b.submitPlain(batches, w, 1) == nil {
			return 0, fmt.Errorf("a job is not accepted")
		}
	}
	w := full
	w.MS = 5000
	for range 2 {
		if b.scheduled(w, time.Now().Add(500*time.Millisecond), 16, 250*time.Millisecond) == nil {
			return 0, fmt.Errorf("a scheduled job is not accepted")
		}
	}
	time.Sleep(8 * time.Second)
	if b.trouble {
		b.kill(b.owner(), time.Second)
	}
	time.Sleep(42 * time.Second)
	return b.judge(), nil
}

// gangCrash: the executor that runs a gang crashes and comes back, twice.
func gangCrash(b *bed) (int, error) {
	if err := b.begin(9, lookups, batches); err != nil {
		return 0, err
	}
	j := b.submitPlain(batches, work{MS: 15000, CPU: 1000, Memory: 512, Gang: 12}, 12)
	if j == nil {
		return 0, fmt.Errorf("the gang is not accepted")
	}
	for crash := 0; b.trouble && crash < 2; crash++ {
		var e *executor
		for deadline := time.Now().Add(20 * time.Second); e == nil; time.Sleep(50 * time.Millisecond) {
			if e = b.fleet.busiest(j.id); e == nil && time.Now().After(deadline) {
				return 0, fmt.Errorf("the gang does not run")
			}
		}
		time.Sleep(4 * time.Second)
		b.fleet.crash(e, 3*time.Second)
	}
	time.Sleep(30 * time.Second)
	return b.judge(), nil
}

// adviceOfMany: the policy of a queue lets about one executor in ten run a step, for these jobs none of the first twelve by id. Without
// the trouble it lets all of them.
func adviceOfMany(b *bed) (int, error) {
	const asked, jobs = 12, 3
	b.fleet.advice.everyNth.Store(10)
	q := batches
	q.advice = true
	if err := b.begin(30, lookups, q); err != nil {
		return 0, err
	}
	executors := b.fleet.executorIDs()
	drawn := 0
	for n := 0; n < jobs; drawn++ {
		id := randomHex(16)
		first, others := 0, 0
		for i, e := range executors {
			switch {
			case !b.fleet.advice.allows(id+".0.0", e):
			case i < asked:
				first++
			default:
				others++
			}
		}
		if first > 0 || others < 2 {
			continue
		}
		n++
		if !b.trouble {
			b.fleet.advice.everyNth.Store(1)
		}
		w := work{MS: 1000, CPU: 500, Memory: 256, Advice: true}
		b.submitAs(id, q, w, []map[string]any{{"Count": 2, "Cpu": w.CPU, "MemMb": w.Memory, "EstimateMs": w.MS}}, nil)
		time.Sleep(3 * time.Second)
		b.fleet.advice.everyNth.Store(10)
	}
	if !b.trouble {
		b.fleet.advice.everyNth.Store(1)
	}
	b.record.line("%d ids were drawn for %d jobs of which the policy approves two executors or more, none of the first %d", drawn, jobs, asked)
	time.Sleep(10 * time.Second)
	return b.judge(), nil
}

// occurrences: a job that is to run several thousand times. Without the trouble, ten such jobs share the same number of times.
func occurrences(b *bed) (int, error) {
	if err := b.begin(12, lookups, batches); err != nil {
		return 0, err
	}
	jobs, times, interval := 1, 5000, 10*time.Millisecond
	if !b.trouble {
		jobs, times, interval = 10, 500, 100*time.Millisecond
	}
	for range jobs {
		if b.scheduled(work{MS: 100, CPU: 100, Memory: 64}, time.Now().Add(time.Second), times, interval) == nil {
			return 0, fmt.Errorf("a scheduled job is not accepted")
		}
	}
	b.lookUp(65 * time.Second)
	status, _ := b.call(b.nodes[0], http.MethodGet, lookups, "", nil)
	b.record.line("GET queue: %d", status)
	return b.judge(), nil
}

// crashes: the executor that runs a work item crashes and comes back, four times.
func crashes(b *bed) (int, error) {
	if err := b.begin(6, lookups, batches); err != nil {
		return 0, err
	}
	j := b.submitPlain(batches, work{MS: 20000, CPU: 2000, Memory: 512}, 1)
	if j == nil {
		return 0, fmt.Errorf("the job is not accepted")
	}
	for crash := 0; b.trouble && crash < 4; crash++ {
		var e *executor
		for deadline := time.Now().Add(20 * time.Second); e == nil; time.Sleep(50 * time.Millisecond) {
			if e = b.fleet.busiest(j.id); e == nil && time.Now().After(deadline) {
				b.record.line("the work item runs nowhere before crash %d", crash+1)
				return b.judge(), nil
			}
		}
		time.Sleep(4 * time.Second)
		b.fleet.crash(e, 3*time.Second)
	}
	time.Sleep(15 * time.Second)
	return b.judge(), nil
}

// adviceBlocks: lasting jobs of a queue with a policy share the executors with another queue that has none. Without the trouble, the
// policy lets all executors run them.
func adviceBlocks(b *bed) (int, error) {
	if b.trouble {
		b.fleet.advice.everyNth.Store(10)
	}
	q := batches
	q.advice = true
	if err := b.begin(30, lookups, q); err != nil {
		return 0, err
	}
	for range 12 {
		w := work{MS: 1000000, CPU: 500, Memory: 256, Advice: true}
		b.submit(q, w, []map[string]any{{"Count": 1, "Cpu": w.CPU, "MemMb": w.Memory, "EstimateMs": 500, "LongRunning": true}}, nil)
	}
	time.Sleep(2 * time.Second)
	b.lookUp(12 * time.Second)
	return b.judge(), nil
}

// hopelessGang: a gang that no pool can hold waits in a queue of the first priority. Jobs of a queue of the next priority share the
// executors, which are idle.
func hopelessGang(b *bed) (int, error) {
	second := lookups
	second.priority = 1
	if err := b.begin(9, second, batches); err != nil {
		return 0, err
	}
	if b.trouble {
		j := b.submitPlain(batches, work{MS: 60000, CPU: 4000, Memory: 512, Gang: 40}, 40)
		if j == nil {
			return 0, fmt.Errorf("the gang is not accepted")
		}
		j.hopeless = true
	}
	for range 16 {
		b.submitPlain(second, work{MS: 500, CPU: 4000, Memory: 512}, 2)
		time.Sleep(500 * time.Millisecond)
	}
	return b.judge(), nil
}

// unlistedEnds: many small work items end while the store is down, so that executors hold more ends than they list at a time.
func unlistedEnds(b *bed) (int, error) {
	b.fleet.checks = true
	if err := b.begin(9, lookups, batches); err != nil {
		return 0, err
	}
	j := b.submitPlain(batches, work{MS: 6000, Uneven: 30, CPU: 20, Memory: 32}, 3000)
	if j == nil {
		return 0, fmt.Errorf("the large job is not accepted")
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		b.record.line("the store is down")
		b.store.down.Store(true)
		time.Sleep(4 * time.Second)
		b.store.down.Store(false)
		b.record.line("the store is back")
	}
	time.Sleep(12 * time.Second)
	return b.judge() + len(b.fleet.breaches), nil
}

// greyGang: one executor fails all that it starts, among that a gang.
func greyGang(b *bed) (int, error) {
	if err := b.begin(9, lookups, batches); err != nil {
		return 0, err
	}
	var e *executor
	if b.trouble {
		first := b.fleet.executorIDs()[0]
		for _, m := range b.fleet.machines {
			if m.executor.id == first {
				e = m.executor
			}
		}
		b.record.line("executor %s fails all that it starts", first)
		e.setGrey(true)
	}
	if b.submitPlain(batches, work{MS: 3000, CPU: 1000, Memory: 512, Gang: 6}, 6) == nil {
		return 0, fmt.Errorf("the gang is not accepted")
	}
	time.Sleep(6 * time.Second)
	if e != nil {
		e.setGrey(false)
		b.record.line("executor %s is sound again", e.id)
	}
	time.Sleep(6 * time.Second)
	return b.judge(), nil
}

// pending: the only executor with the label that some jobs require refuses starts for a time.
func pending(b *bed) (int, error) {
	if err := b.begin(9, lookups, batches); err != nil {
		return 0, err
	}
	m := b.fleet.machines[4]
	m.extra = "camera"
	time.Sleep(3 * time.Second)
	e := m.executor
	e.setBusy(b.trouble)
	for range 6 {
		w := work{MS: 500, CPU: 500, Memory: 256}
		b.submit(batches, w, []map[string]any{{"Count": 1, "Cpu": w.CPU, "MemMb": w.Memory, "EstimateMs": w.MS, "Requirements": "camera"}}, nil)
	}
	time.Sleep(5500 * time.Millisecond)
	broken := 0
	for _, n := range b.nodes {
		waiting := 0
		for _, j := range b.jobs {
			if b.dueItems(j) > 0 {
				waiting++
			}
		}
		status, body := b.call(n, http.MethodGet, batches, "", nil)
		var answer struct{ Pending int }
		if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
			continue
		}
		b.record.line("GET queue from %s: Pending %d, %d jobs were accepted over 5 s before and have not begun", n.name, answer.Pending, waiting)
		if 2*answer.Pending < waiting {
			broken++
			b.record.line("MIXED: under half of them")
		}
	}
	e.setBusy(false)
	time.Sleep(2 * time.Second)
	return broken + b.judge(), nil
}
