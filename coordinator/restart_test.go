package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// slowMachines is a machine service whose first list without the executor of a machine takes 550 ms. The executor starts again 100 ms
// after that list was read, and does not answer holds before the list is returned.
type slowMachines struct {
	*testMachines
	machine, executor string

	mu sync.Mutex
	// lostAt is when the executor has been without contact for long enough; listed is set when the list is returned.
	lostAt    time.Time
	restarted bool
	listed    bool
}

func (m *slowMachines) List(ctx context.Context) ([]workload.Machine, int, error) {
	list, pages, err := m.testMachines.List(ctx)
	m.mu.Lock()
	slow := !m.restarted && !m.lostAt.IsZero() && time.Now().After(m.lostAt)
	m.restarted = m.restarted || slow
	m.mu.Unlock()
	if !slow {
		return list, pages, err
	}
	time.Sleep(100 * time.Millisecond)
	m.fleet.Add(m.executor, capacity)
	m.name(m.executor)
	time.Sleep(450 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	return list, pages, err
}

// name sets the executor that lists name for the machine.
func (m *slowMachines) name(executor string) {
	m.testMachines.mu.Lock()
	defer m.testMachines.mu.Unlock()
	x := m.machines[m.machine]
	x.Executor = executor
	m.machines[m.machine] = x
}

// fault drops holds at the executor until the list is returned.
func (m *slowMachines) fault(executor, order string) workers.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if executor == m.executor && order == "hold" && m.restarted && !m.listed {
		return workers.DropOrder
	}
	return workers.None
}

// Guards against two runs of a task at once: an executor starts again under its ID and starts a task after a list without it was read, and
// before the owner gets that list.
func TestTasksStartedAfterAListWasReadRunOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := prepareCluster(t, func(f *workers.Fleet) session.Client { return f })
		c.configure()
		for _, i := range []string{"0", "1"} {
			c.addExecutor("x"+i, "m"+i)
		}
		m := &slowMachines{testMachines: c.machines, machine: "m0", executor: "x0"}
		c.machineService = m
		c.startHosts(1)
		c.fleet.SetFault(m.fault)
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 4 * time.Second, workload.EndDone })
		time.Sleep(3 * time.Second)
		c.fleet.Crash("x0")
		m.name("")
		m.mu.Lock()
		m.lostAt = time.Now().Add(1500 * time.Millisecond)
		m.mu.Unlock()
		c.submit("job", plainStep(6))
		c.awaitAll([]string{"job"}, workload.StatusCompleted, 30*time.Second)
		c.checkViolations()
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Assert(t, m.restarted)
	})
}

// Guards against a task that starts again after its completion was acknowledged: an executor starts again under its ID while the response
// to a hold is under way, runs a task, and the next hold acknowledges the ends of the former incarnation by their numbers.
func TestEndsOfTheNextIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 20 * time.Millisecond, workload.EndDone })
		c.fleet.SeparateClocks(func() float64 { return 1 }, 6*time.Second)
		c.fleet.SetDelays(func(_, order string) (request, response time.Duration) {
			if order == "hold" {
				return time.Millisecond, 300 * time.Millisecond
			}
			return time.Millisecond, time.Millisecond
		})
		time.Sleep(3 * time.Second)
		c.submit("first", plainStep(1))
		for starts := 0; starts == 0; starts, _ = c.fleet.Counts() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		c.fleet.Restart("x0")
		c.submit("second", plainStep(1))
		c.awaitAll([]string{"first", "second"}, workload.StatusCompleted, 30*time.Second)
		c.checkViolations()
	})
}
