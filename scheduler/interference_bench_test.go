package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// BenchmarkPlaceApart measures a pass that places a large best-effort step beside serving tasks that it disturbs.
func BenchmarkPlaceApart(b *testing.B) {
	for _, ignored := range []bool{true, false} {
		b.Run(fmt.Sprintf("ignored=%t", ignored), func(b *testing.B) {
			total := time.Duration(0)
			for b.Loop() {
				h := newHarness(b, 0)
				h.core.opts.IgnoreInterference = ignored
				for i := range 350 {
					h.addExecutor(fmt.Sprintf("x%d", i), workload.Resources{CPUMilli: 8000, MemoryMB: 64000})
				}
				h.teach(2)
				serving, filling := servingStep("api", "", 2000), fillingStep("noisy", "")
				serving.Count, filling.Count = 200, 400
				h.submit("api", serving)
				h.addJob("noisy", filling)
				start := time.Now()
				h.core.Schedule(h.now, h.now)
				total += time.Since(start)
			}
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us/pass")
		})
	}
}
