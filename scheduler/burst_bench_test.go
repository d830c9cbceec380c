package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// BenchmarkBurst measures handling the end of one task and the start of the next on a pool with a long queue.
func BenchmarkBurst(b *testing.B) {
	for _, jobs := range []int{50, 300, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			h := newHarness(b, 0)
			for i := range 85 {
				h.addExecutor(fmt.Sprintf("x%d", i), workload.Resources{CPUMilli: 32000, MemoryMB: 64000})
			}
			step := workload.Step{Count: 8, Size: workload.Resources{CPUMilli: 3100, MemoryMB: 2000}, Estimate: 800}
			n := 0
			add := func() {
				n++
				spec := &workload.Job{ID: fmt.Sprintf("j%d", n), Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{step}}
				if err := h.core.AddJob(h.now, spec, nil, 0, false); err != nil {
					b.Fatal(err)
				}
			}
			for range jobs + 105 {
				add()
			}
			h.runCommands()
			b.ReportAllocs()
			ended := 0
			for b.Loop() {
				id := fmt.Sprintf("x%d", ended%85)
				for task, x := range h.running[id] {
					h.report(id, workload.EndedTask{Task: task, Run: x.Run, Outcome: workload.EndDone})
					break
				}
				if ended++; ended%8 == 0 {
					add()
				}
				h.now += 500 * time.Microsecond
				h.core.TakeCommit(40)
				h.core.Decisions()
			}
		})
	}
}
