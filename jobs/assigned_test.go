package jobs

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Guards against a task that starts on a host whose drain began after the snapshot was taken: the wave would have to
// wait for the task or abort it.
func TestNoStartOnDrainingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for _, host := range []string{"h0", "h1", "h2"} {
			env.writeAssignment(host, structs.PhaseDraining)
		}
		ctx := t.Context()
		s, _ := env.newLeader(nil)
		for range 4 {
			_, err := env.submit(ctx, "", "", true, false, 60000, false)
			assert.NilError(t, err)
		}
		runPasses(ctx, s, 3)
		env.updateSnapshot(0, func(i int, h *planner.Host) {
			if i < 3 {
				h.Phase = structs.PhaseDraining
			}
		})
		runPasses(ctx, s, 3)
		tasks, err := env.faultFree.Tasks(ctx, "dc")
		assert.NilError(t, err)
		assert.Assert(t, len(tasks) > 0)
		for _, task := range tasks {
			assert.Equal(t, task.Spec.Host, "h3")
		}
	})
}
