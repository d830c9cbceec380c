package main

import "time"

// holders: the service of machines does not answer for 4 s. Meanwhile the first request comes to the machine with the most processor time,
// and the holder hands over to it. No process is disturbed, so both stay in touch.
func holders(w *world, trouble bool) {
	w.configure(1, 4, "alpha")
	var machines []string
	for i := range 4 {
		machines = append(machines, w.addExecutor("alpha", i, resources{16000, 32768, 0}).machine)
	}
	w.cpuShares = []string{"0.192", "0.192", "0.192", "0.8"}
	var before *node
	for try := 0; before == nil || before == w.nodes[3]; try++ {
		if try == 8 {
			w.fail("the machine with the most processor time gives the orders from the start")
		}
		w.startOver()
		// All machines start within 0.3 s of each other.
		w.startNodes(3, bounds{statusS: 120})
		time.Sleep(200 * time.Millisecond)
		w.startNodes(1, bounds{statusS: 120})
		time.Sleep(4500 * time.Millisecond)
		before = w.owner()
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		w.machines.setSilent(true)
	}
	w.store.put("op", "wave/1", map[string]any{"Wave": 1, "Machines": machines[:3], "DurationS": 40, "Cap": 1})
	w.log("wave requested", "machines", machines[:3])
	time.Sleep(3900 * time.Millisecond)
	// That machine asks the one that gives the orders for the state of the job, and becomes known to it.
	const id = "0000000000000a01"
	w.submit(w.nodes[3], id, "alpha", 300*time.Millisecond, jobBody{
		Spec: "stamp", Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 300}},
	})
	w.await(10*time.Second, "the holder has changed", func() bool {
		w.state(w.nodes[3], id)
		return w.owner() != nil && w.owner() != before
	})
	w.log("holder changed", "from", before.name, "to", w.owner().name)
	if trouble {
		w.machines.setSilent(false)
	}
	time.Sleep(25 * time.Second)
	w.machines.mu.Lock()
	defer w.machines.mu.Unlock()
	last := make(map[string]machineOrder)
	for _, o := range w.machines.orders {
		if before, ok := last[o.machine]; ok && before.holder != o.holder && o.at.Sub(before.at) < 3*time.Second {
			w.violate("ONE: %s ordered %s %.2f s after %s had, both in touch; LeaseMs is 3,000", o.holder, o.machine, o.at.Sub(before.at).Seconds(), before.holder)
		}
		last[o.machine] = o
	}
}
