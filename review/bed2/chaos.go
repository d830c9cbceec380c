package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// chaos plays jobs of all kinds beside random disturbances and checks each start. It is a search, no case.
func chaos(b *bed) (int, error) {
	b.fleet.checks = true
	if err := b.begin(9, lookups, batches); err != nil {
		return 0, err
	}
	end := time.Now().Add(45 * time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		for time.Now().Before(end) {
			group.Go(func() { b.randomJob() })
			time.Sleep(time.Duration(50+rand.IntN(400)) * time.Millisecond)
		}
	})
	if b.trouble {
		for time.Now().Before(end) {
			group.Go(func() { b.randomTrouble() })
			time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
		}
	}
	group.Wait()
	broken := b.judge()
	return broken + len(b.fleet.breaches), nil
}

// gangs plays gangs at a full pool with cancels, hopeless jobs, manifests and new executors, and counts the members that waited alone. It
// is a search, no case.
func gangs(b *bed) (int, error) {
	b.fleet.checks = true
	if err := b.begin(6, lookups, batches); err != nil {
		return 0, err
	}
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(2 * time.Second)
			b.configure(lookups, batches)
			if n%4 == 3 && n < 16 {
				b.fleet.addMachines(1, lookups.service, zones)
				b.record.line("an executor is added")
			}
		}
	})
	for time.Now().Before(end) {
		group.Go(func() {
			size := 2 + rand.IntN(10)
			w := work{MS: 300 + rand.IntN(2500), CPU: 500 + rand.IntN(4000), Memory: 256, Gang: size, Checkpoints: true}
			j := b.submitPlain(batches, w, size)
			if j == nil {
				return
			}
			j.hopeless = true
			if rand.IntN(4) == 0 {
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				status, _ := b.call(b.nodes[rand.IntN(3)], http.MethodDelete, batches, j.id, nil)
				b.fleet.mu.Lock()
				b.fleet.cancelledAt[j.id] = time.Now()
				b.fleet.mu.Unlock()
				b.record.line("DELETE job %s: %d", j.id, status)
			}
		})
		time.Sleep(time.Duration(50+rand.IntN(300)) * time.Millisecond)
	}
	group.Wait()
	broken := b.judge()
	b.record.line("%d members waited alone", b.fleet.alone)
	return broken + len(b.fleet.breaches) + b.fleet.alone, nil
}

// randomJob hands in a job and sometimes cancels it.
func (b *bed) randomJob() {
	var w work
	var steps []map[string]any
	var counts []int
	for i := range 1 + rand.IntN(3) {
		x := work{MS: 200 + rand.IntN(3000), Uneven: 30, CPU: 200 + rand.IntN(2500), Memory: 128}
		count := 1 + rand.IntN(6)
		step := map[string]any{"Cpu": x.CPU, "MemMb": x.Memory, "EstimateMs": x.MS}
		if rand.IntN(3) == 0 {
			x.Checkpoints, x.MS = true, 3000+rand.IntN(4000)
			step["Checkpointing"] = true
		}
		switch rand.IntN(4) {
		case 0:
			x.Gang, step["Gang"] = count, true
		case 1:
			x.Spread, step["AntiAffinity"] = 1, 1
		}
		if i > 0 && rand.IntN(4) > 0 {
			x.After, step["After"] = []int{i - 1}, []int{i - 1}
		}
		step["Count"] = count
		w.Steps, steps, counts = append(w.Steps, x), append(steps, step), append(counts, count)
	}
	w.CPU = 3000
	id, more := randomHex(16), map[string]any{}
	times, interval, first := 1, time.Duration(0), time.Now()
	if rand.IntN(5) == 0 {
		times, interval, first = 2+rand.IntN(4), time.Duration(500+rand.IntN(2000))*time.Millisecond, time.Now().Add(time.Second)
		more["RepeatCount"], more["StartAtMs"], more["IntervalMs"] = times, first.UnixMilli(), interval.Milliseconds()
	}
	b.fleet.mu.Lock()
	b.fleet.counts[id] = counts
	b.fleet.mu.Unlock()
	j := b.submitAs(id, batches, w, steps, more)
	if j == nil {
		return
	}
	b.mu.Lock()
	j.due = func() []string {
		var items []string
		for k := range times {
			if time.Now().Before(first.Add(time.Duration(k) * interval)) {
				continue
			}
			for s, n := range counts {
				for i := range n {
					items = append(items, fmt.Sprintf("%s.%d.%d.%d", id, k, s, i))
				}
			}
		}
		return items
	}
	b.mu.Unlock()
	if rand.IntN(10) > 0 {
		return
	}
	time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
	for range 5 {
		n := b.nodes[rand.IntN(len(b.nodes))]
		status, _ := b.call(n, http.MethodDelete, batches, id, nil)
		b.record.line("DELETE job %s at %s: %d", id, n.name, status)
		if status == http.StatusOK || status == http.StatusGone {
			b.fleet.mu.Lock()
			b.fleet.cancelledAt[id] = time.Now()
			b.fleet.mu.Unlock()
			j.hopeless = true
			return
		}
		time.Sleep(time.Second)
	}
}

// randomTrouble makes one disturbance.
func (b *bed) randomTrouble() {
	switch rand.IntN(9) {
	case 0, 1:
		if n := b.owner(); n != nil && n.ready() {
			b.kill(n, time.Duration(200+rand.IntN(3000))*time.Millisecond)
		}
	case 2:
		if n := b.owner(); n != nil {
			p := n.process.Process
			b.record.line("SIGSTOP to %s", n.name)
			_ = p.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(3500)) * time.Millisecond)
			_ = p.Signal(syscall.SIGCONT)
			b.record.line("SIGCONT to %s", n.name)
		}
	case 3:
		if e := b.fleet.any(); e != nil {
			b.fleet.crash(e, time.Duration(200+rand.IntN(5000))*time.Millisecond)
		}
	case 4:
		if e := b.fleet.any(); e != nil {
			b.record.line("%s is dark", e.id)
			e.setDark(true)
			time.Sleep(time.Duration(500+rand.IntN(7000)) * time.Millisecond)
			e.setDark(false)
			b.record.line("%s is back", e.id)
		}
	case 5:
		b.record.line("the store is down")
		b.store.down.Store(true)
		time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
		b.store.down.Store(false)
		b.record.line("the store is back")
	case 6:
		b.record.line("answers of the store are lost")
		b.store.lateLost.Store(rand.IntN(2) == 0)
		b.store.lost.Store(35)
		time.Sleep(time.Duration(1000+rand.IntN(3500)) * time.Millisecond)
		b.store.lost.Store(0)
		b.record.line("answers of the store come again")
	case 7:
		b.record.line("orders are carried out late")
		b.fleet.setLate(0.055)
		time.Sleep(5 * time.Second)
		b.fleet.setLate(0)
	case 8:
		if e := b.fleet.any(); e != nil {
			b.fleet.restartInPlace(e)
		}
	}
}

func (e *executor) setDark(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = on
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) setBusy(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = on
}

func (e *executor) setGrey(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grey = on
}

// any returns an executor that is up.
func (f *fleet) any() *executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 20 {
		if e := f.machines[rand.IntN(len(f.machines))].executor; e != nil {
			return e
		}
	}
	return nil
}

func (f *fleet) setLate(share float64) {
	f.mu.Lock()
	machines := append([]*machine{}, f.machines...)
	f.mu.Unlock()
	for _, m := range machines {
		if e := m.executor; e != nil {
			e.mu.Lock()
			e.late = share
			e.mu.Unlock()
		}
	}
}

// restartInPlace lets an executor start again under its id. It then holds and knows nothing of before.
func (f *fleet) restartInPlace(e *executor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.record.line("executor %s starts again under its id, %d runs are lost", e.id, len(e.runs))
	for _, r := range e.runs {
		f.left(e, r, "lost")
	}
	e.runs, e.highest, e.ends, e.lastEnd = make(map[string]*run), make(map[string]int), nil, 0
	e.fence, e.deadline, e.born, e.clock0, e.sequence = 0, 0, time.Now(), rand.Int64N(1000000)+1000, 0
	close(e.changed)
	e.changed = make(chan struct{})
}
