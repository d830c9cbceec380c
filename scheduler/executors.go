package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// PutExecutor makes the registration of an executor known.
func (c *Core) PutExecutor(now time.Duration, info workload.Executor) {
	e := c.executor(now, info.ID)
	if e.info.Service != info.Service {
		c.dirtySvc[e.info.Service] = true
	}
	if info.Draining && !e.info.Draining {
		c.decision(info.ID, "executor drains", map[string]any{"service": info.Service, "tasks": len(e.tasks)})
	}
	e.info, e.listed = info, true
	c.join(e)
	c.dirtySvc[info.Service] = true
	c.evacuate(now, e)
}

// Settle names an executor that may run tasks for an earlier owner until it reports or lapses. If the earlier owner had
// lost the contact, tasks are all that it may run; nil means that any task of the service may run there.
func (c *Core) Settle(now time.Duration, id, service string, tasks []workload.TaskID) {
	e := c.executor(now, id)
	if e.info.Service == "" {
		e.info.Service = service
		c.join(e)
	}
	s := settling{service: service}
	if tasks != nil {
		s.tasks = make(map[workload.TaskID]bool, len(tasks))
		for _, t := range tasks {
			s.tasks[t] = true
		}
	}
	c.settling[id] = s
}

// Suspend keeps new tasks off an executor until it is stored that it may run them, or undoes that.
func (c *Core) Suspend(now time.Duration, id string, on bool) {
	e := c.executor(now, id)
	e.suspended = on
	c.dirtySvc[e.info.Service] = true
}

// TasksOn returns the tasks that an executor may run.
func (c *Core) TasksOn(id string) []workload.TaskID {
	tasks := []workload.TaskID{}
	if e := c.executors[id]; e != nil {
		for t := range e.tasks {
			tasks = append(tasks, t.id)
		}
	}
	return tasks
}

func (c *Core) executor(now time.Duration, id string) *executor {
	e := c.executors[id]
	if e == nil {
		e = &executor{
			info: workload.Executor{ID: id}, silentSince: now, idleSince: now, fillPace: 100,
			tasks: make(map[*task]struct{}), stopSent: make(map[workload.TaskID]time.Duration),
		}
		c.executors[id] = e
	}
	return e
}

// RemoveExecutor notes that an executor is no longer registered. What runs there goes on until it lapses.
func (c *Core) RemoveExecutor(id string) {
	if e := c.executors[id]; e != nil {
		e.listed = false
	}
}

// ForgetExecutor drops an executor that runs nothing and is not registered.
func (c *Core) ForgetExecutor(id string) bool {
	e := c.executors[id]
	_, open := c.settling[id]
	if e == nil || e.listed || len(e.tasks) > 0 || open {
		return false
	}
	c.leave(e)
	delete(c.executors, id)
	return true
}

// join makes an executor a member of its service.
func (c *Core) join(e *executor) {
	if e.memberOf == e.info.Service {
		return
	}
	c.leave(e)
	e.memberOf = e.info.Service
	members := c.members[e.memberOf]
	at, _ := slices.BinarySearchFunc(members, e.info.ID, byID)
	c.members[e.memberOf] = slices.Insert(members, at, e)
}

// leave takes an executor out of the members of its service.
func (c *Core) leave(e *executor) {
	members := c.members[e.memberOf]
	if at, found := slices.BinarySearchFunc(members, e.info.ID, byID); found {
		c.members[e.memberOf] = slices.Delete(members, at, at+1)
	}
	e.memberOf = ""
}

func byID(e *executor, id string) int { return strings.Compare(e.info.ID, id) }

// EndExecutor drops an executor that has ended for sure, with all that ran on it.
func (c *Core) EndExecutor(now time.Duration, id string) {
	e := c.executors[id]
	if e == nil {
		return
	}
	for t := range e.tasks {
		c.decision(t.id.String(), "run ended with its executor", map[string]any{"executor": id, "run": t.run})
		c.requeue(now, t)
	}
	c.settled(id)
	c.leave(e)
	delete(c.executors, id)
}

// LoseContact notes that an executor does not answer.
func (c *Core) LoseContact(now time.Duration, id string) {
	if e := c.executors[id]; e != nil && e.contact {
		e.contact, e.silentSince = false, now
	}
}

// SilentSince returns since when an executor has not answered, and whether that is so.
func (c *Core) SilentSince(id string) (time.Duration, bool) {
	e := c.executors[id]
	if e == nil || e.contact {
		return 0, false
	}
	return e.silentSince, true
}

// Born returns the incarnation of an executor as far as it is known.
func (c *Core) Born(id string) int64 {
	e := c.executors[id]
	if e == nil {
		return 0
	}
	return max(e.info.BornUnixMS, e.born)
}

// Reconnect notes that the session with an executor was replaced. The outcomes of its starts are not reported any more;
// the next report tells what became of them.
func (c *Core) Reconnect(now time.Duration, id string) {
	e := c.executors[id]
	if e == nil {
		return
	}
	e.contact, e.silentSince = false, now
	for t := range e.tasks {
		if t.state == taskStarting {
			t.setState(taskRunning)
			t.startedAt, t.progressAt, t.confirmedAt = now, now, now
		}
	}
}

// Lapse notes that all leases on a silent executor have lapsed.
func (c *Core) Lapse(now time.Duration, id string) {
	e := c.executors[id]
	if e == nil {
		return
	}
	c.settled(id)
	for t := range e.tasks {
		if t.state == taskStarting {
			// The order's own outcome says when it cannot be carried out any more.
			continue
		}
		c.decision(t.id.String(), "run lapsed with its executor", map[string]any{"executor": id, "run": t.run})
		c.requeue(now, t)
	}
	c.dirtySvc[e.info.Service] = true
}

func (c *Core) settled(id string) {
	if s, ok := c.settling[id]; ok {
		delete(c.settling, id)
		c.dirtySvc[s.service] = true
		if len(c.settling) == 0 {
			c.markAll()
		}
	}
}
