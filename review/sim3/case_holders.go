package main

import (
	"syscall"
	"time"
)

// holders: the service of machines does not answer while the machine that gives orders is stopped and started.
func holders(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	var machines []string
	for i := range 4 {
		machines = append(machines, w.addExecutor("alpha", i, resources{16000, 32768, 0}).machine)
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(3 * time.Second)
	owner := w.owner()
	if owner == nil {
		w.fail("nobody owns the jobs")
	}
	if trouble {
		w.machines.setSilent(true)
	}
	w.store.put("op", "wave/1", map[string]any{"Wave": 1, "Machines": machines[:3], "DurationS": 40, "Cap": 1})
	w.log("wave requested", "machines", machines[:3])
	time.Sleep(4200 * time.Millisecond)
	owner.signal(syscall.SIGTERM)
	go owner.restart()
	time.Sleep(400 * time.Millisecond)
	if trouble {
		w.machines.setSilent(false)
	}
	time.Sleep(25 * time.Second)
	w.machines.mu.Lock()
	defer w.machines.mu.Unlock()
	last := make(map[string]machineOrder)
	for _, o := range w.machines.orders {
		if before, ok := last[o.machine]; ok && before.holder != o.holder && o.at.Sub(before.at) < 3*time.Second {
			w.violate("ONE: %s ordered %s %.2f s after %s had; LeaseMs is 3,000", o.holder, o.machine, o.at.Sub(before.at).Seconds(), before.holder)
		}
		last[o.machine] = o
	}
}
