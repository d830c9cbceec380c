package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// newTestLeadership returns the state of an owner that never loses the ownership.
func newTestLeadership(ctx context.Context, now func() time.Duration) *leadership {
	l := newLeadership(ctx, Options{
		Now: now, WallMS: func() int64 { return 0 }, OwnsJobs: func() bool { return true },
		ArrivalLimit: now, MayContinue: func() bool { return true },
		Store: rows.New().Handle(),
		Log:   &log.Logger{Handler: discard.Default}, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, ownership.Term{Epoch: 1})
	l.passTimer = time.NewTimer(time.Hour)
	return l
}

// Guards against a panic if the ownership is lost just as a transaction begins. No attempt is made then, and the retry
// counter, which adds attempts minus one, must not decrease.
func TestCommitAfterOwnershipEndsDoesNotPanic(t *testing.T) {
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		l := newTestLeadership(ctx, func() time.Duration { return time.Second })
		cancel()
		_, err := l.commit(rowstore.Txn{}, minCommitHedge)
		assert.ErrorIs(t, err, context.Canceled)
	}
}

// Guards against an owner that spends its processor time on scheduling passes in a burst, in which events arrive one by one
// and a pass for each of them would look at all waiting jobs. A deferred pass must still run.
func TestPassesAreSpacedInABurst(t *testing.T) {
	now := time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	l.core.Configure(now, &workload.Configuration{Version: 1, Services: []workload.Service{{Name: "pool"}}})
	const arrivals, gap = 1000, 100 * time.Microsecond
	for i := range arrivals {
		job := &workload.Job{ID: fmt.Sprintf("j%d", i), Service: "pool", Steps: []workload.Step{{Count: 1}}}
		assert.NilError(t, l.core.AddJob(now, job, nil, 0, false))
		l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "pool"})
		l.scheduleAndCommit()
		now += gap
	}
	passes := testutil.ToFloat64(l.opts.Metrics.passes)
	assert.Assert(t, passes <= float64(arrivals*gap/minPassInterval), "%v passes", passes)
	assert.Assert(t, l.core.Changed())
	now += minPassInterval
	l.scheduleAndCommit()
	assert.Assert(t, !l.core.Changed(), "the deferred pass did not run")
}

// Guards against rows of the owner in the table of the lease: all hosts follow that table, and each change wakes them.
func TestOwnerRowsAreOutsideLeaseTable(t *testing.T) {
	for _, key := range []rowstore.Key{waveProgressKey, recentOrdersKey, executorRecordKey("x"), {Table: frontend.RecordTable, Name: "j"}} {
		assert.Assert(t, key.Table != ownership.Table, key.Table)
		assert.Equal(t, key.Partition, ownership.FenceKey.Partition, "must be in the partition of the fence, so that one transaction can check it")
	}
}

// Guards against an owner that stores the orders of one pass one by one, which takes too much processor time with thousands
// of machines, and against a row of orders that exceeds the limit of the store, after which the owner cannot commit anything.
func TestOrdersOfManyMachinesFitIntoOneRow(t *testing.T) {
	const machines, rowBytes = 3000, 64 << 10
	now := 10 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	l.opts.MachineDelay = 3 * time.Second
	l.machines.ordersAllowedAt = 0
	config := &workload.Configuration{Version: 1, Services: []workload.Service{{Name: "pool"}, {Name: "spare", Standby: true}}}
	l.core.Configure(now, config)
	l.machines.configure(config)
	list := make([]workload.Machine, machines)
	for i := range list {
		id := fmt.Sprintf("i-%010x", i)
		l.core.PutExecutor(now, workload.Executor{ID: id, Service: "pool", Capacity: capacity})
		l.core.Report(now, id, workload.Report{BornUnixMS: 1}, now, 0)
		list[i] = workload.Machine{ID: fmt.Sprintf("m-%05x", i), Pool: "pool", State: workload.MachineUp, Executor: id, Capacity: capacity}
	}
	now += 5 * time.Second
	l.machines.setList(list, now)
	l.planMachines(now)
	assert.Equal(t, len(l.machines.pendingOrders), maxRecentOrders)
	row := l.rows.dirty[recentOrdersKey]
	assert.Assert(t, len(row) > 0 && len(row) <= rowBytes, "%d bytes", len(row))
	now += l.opts.MachineDelay + recentOrderMargin + time.Second
	l.machines.listedAt = now
	l.planMachines(now)
	assert.Assert(t, len(l.machines.pendingOrders) > maxRecentOrders, "orders for the other machines did not follow")
}

// BenchmarkPlanMachines measures one planning pass over 3,000 machines, half of which are to move.
func BenchmarkPlanMachines(b *testing.B) {
	now := 10 * time.Second
	for b.Loop() {
		b.StopTimer()
		l := newTestLeadership(b.Context(), func() time.Duration { return now })
		l.machines.ordersAllowedAt = 0
		config := &workload.Configuration{Version: 1, Services: []workload.Service{{Name: "pool"}, {Name: "spare", Standby: true}}}
		l.core.Configure(now, config)
		l.machines.configure(config)
		list := make([]workload.Machine, 3000)
		for i := range list {
			id := fmt.Sprintf("i-%010x", i)
			if i%2 == 0 {
				l.core.PutExecutor(now, workload.Executor{ID: id, Service: "pool", Capacity: capacity})
				l.core.Report(now, id, workload.Report{BornUnixMS: 1}, now, 0)
			}
			list[i] = workload.Machine{ID: fmt.Sprintf("m-%05x", i), Pool: "pool", State: workload.MachineUp, Executor: id, Capacity: capacity}
		}
		l.machines.setList(list, now+time.Second)
		b.StartTimer()
		l.planMachines(now + time.Second)
	}
}

// Guards against a task that runs twice: the owner handles the news that the leases on an executor have expired only after another start has
// extended them, because it is behind with its events or the session was slow to emit this one.
func TestLeasesExpiredBeforeAStartDoNotEndItsRun(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		fleet := workers.New()
		fleet.Add("x", capacity)
		fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		l := newTestLeadership(ctx, func() time.Duration { return time.Since(began) + time.Second })
		l.opts.Executors, l.opts.MaxLease = fleet, 6*time.Second
		handleAll := func() {
			for len(l.events) > 0 {
				assert.NilError(t, l.handle(<-l.events))
			}
		}
		now := l.opts.Now()
		l.core.Configure(now, &workload.Configuration{Version: 1, Services: []workload.Service{{Name: testService}}})
		l.core.PutExecutor(now, workload.Executor{ID: "x", Service: testService, Capacity: capacity})
		l.executorRecords["x"] = executorRecord{Address: "addr-x", Service: testService}
		l.openSession("x", l.executorRecords["x"], true)
		time.Sleep(100 * time.Millisecond)
		handleAll()

		// The events of the silence, until the leases have expired, wait in the queue.
		fleet.SetUnreachable("x", true)
		time.Sleep(10 * time.Second)
		fleet.SetUnreachable("x", false)
		var expired []session.LeasesExpired
		for n := len(l.events); n > 0; n-- {
			e := <-l.events
			if x, ok := e.(session.LeasesExpired); ok {
				expired = append(expired, x)
				continue
			}
			l.events <- e
		}
		assert.Assert(t, len(expired) > 0)
		job := &workload.Job{ID: "j", Service: testService, Steps: []workload.Step{plainStep(1)}}
		assert.NilError(t, l.core.AddJob(l.opts.Now(), job, nil, 0, false))
		l.schedule(l.opts.Now())
		for _, command := range l.core.Commands() {
			l.executeCommand(l.opts.Now(), command)
		}
		time.Sleep(50 * time.Millisecond)
		handleAll()
		assert.Equal(t, len(fleet.Running()["x"]), 1)
		assert.Equal(t, len(l.core.TasksOn("x")), 1)

		assert.NilError(t, l.handle(expired[0]))
		assert.Equal(t, len(l.core.TasksOn("x")), 1, "the run goes on")
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against tasks that run twice after two takeovers: the owner between them hears from an executor that does not list all ended runs
// yet, and records, when contact is lost, that it may run only the tasks which that owner knows there.
func TestRecordsOfLostExecutorsCoverUnlistedEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newTestLeadership(ctx, func() time.Duration { return time.Second })
		l.opts.Executors = workers.New()
		inherited := map[string]executorRecord{"x": {Address: "addr-x", Service: testService, inherited: true}}
		l.executorRecords["x"] = inherited["x"]
		l.resumeInherited(inherited)
		hear := func(report workload.Report) executorRecord {
			assert.NilError(t, l.handle(session.Reported{Executor: "x", Report: report}))
			assert.NilError(t, l.handle(session.ContactLost{Executor: "x"}))
			return l.executorRecords["x"]
		}
		assert.Assert(t, !hear(workload.Report{BornUnixMS: 1, MoreEnds: true}).Lost, "a next owner would wait for no task of the executor")
		assert.Assert(t, hear(workload.Report{BornUnixMS: 1}).Lost)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against tasks that count as running for good on an executor that has ended: a report that was queued behind its end is handled.
func TestQueuedReportsOfEndedExecutorsAreIgnored(t *testing.T) {
	l := newTestLeadership(t.Context(), func() time.Duration { return time.Second })
	task := workload.TaskID{Job: "j"}
	job := &workload.Job{ID: "j", Service: "pool", Steps: []workload.Step{{Count: 1}}}
	assert.NilError(t, l.core.AddJob(time.Second, job, nil, 0, true))
	report := workload.Report{BornUnixMS: 1, Running: []workload.RunningTask{{Task: task, Run: 1}}}
	assert.NilError(t, l.handle(session.Reported{Executor: "x", Report: report}))
	assert.Equal(t, len(l.core.TasksOn("x")), 0)
}
