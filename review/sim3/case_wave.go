package main

import (
	"fmt"
	"strings"
	"time"
)

// wave: the service of machines does not answer for 4 s. Meanwhile a machine comes, and is due for upkeep 3 s later.
func wave(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	for i := range 8 {
		w.addExecutor("alpha", i, resources{16000, 32768, 0})
	}
	w.startNodes(3, bounds{statusS: 120})
	time.Sleep(5 * time.Second)
	const waves = 3
	for n := range waves {
		if trouble {
			w.machines.setSilent(true)
		}
		machine := w.addExecutor("alpha", 10+n, resources{16000, 32768, 0}).machine
		time.Sleep(3 * time.Second)
		name := fmt.Sprintf("wave/%d", n+1)
		w.store.put("op", name, map[string]any{"Wave": n + 1, "Machines": []string{machine}, "DurationS": 26, "Cap": 1})
		w.log("wave requested", "wave", name, "machine", machine)
		time.Sleep(time.Second)
		w.machines.setSilent(false)
		w.await(20*time.Second, name+" is completed", func() bool { return strings.Contains(string(w.store.values("status")[name]), "completed") })
		w.log("wave is said to be completed", "wave", name)
		// The machine stays, and has time for its upkeep.
		time.Sleep(10 * time.Second)
		begun := false
		w.machines.mu.Lock()
		for _, o := range w.machines.orders {
			begun = begun || o.machine == machine
		}
		w.machines.mu.Unlock()
		if !begun {
			w.violate("MIXED: %s is said to be completed, and %s, which stays, has not begun its upkeep", name, machine)
		}
	}
}
