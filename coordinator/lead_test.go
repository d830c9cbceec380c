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
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/workload"
)

// newTestLead returns a term of an owner that never loses the ownership.
func newTestLead(ctx context.Context, now func() time.Duration) *lead {
	l := newLead(ctx, Options{
		Now: now, WallMS: func() int64 { return 0 }, Valid: func() bool { return true },
		ValidUntil: now, MayContinue: func() bool { return true },
		Store: rows.New().Handle(),
		Log:   &log.Logger{Handler: discard.Default}, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, ownership.Term{Epoch: 1})
	l.pass = time.NewTimer(time.Hour)
	return l
}

// Guards against a process that ends with a panic because the ownership is lost at the moment at which a transaction
// begins: no attempt was made, and the counter of repetitions cannot decrease.
func TestCommitOfAnEndedTermIsNoCrash(t *testing.T) {
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		l := newTestLead(ctx, func() time.Duration { return time.Second })
		cancel()
		_, err := l.commit(rowstore.Txn{})
		assert.ErrorIs(t, err, context.Canceled)
	}
}

// Guards against an owner that spends its processor time on scheduling passes in a burst: ends come one by one, and a pass
// for each of them looks at all waiting jobs. The pass that is put off must follow.
func TestPassesAreSpacedInABurst(t *testing.T) {
	now := time.Second
	l := newTestLead(t.Context(), func() time.Duration { return now })
	l.core.Configure(now, &workload.Configuration{Version: 1, Services: []workload.Service{{Name: "pool"}}})
	const arrivals, gap = 1000, 100 * time.Microsecond
	for i := range arrivals {
		job := &workload.Job{ID: fmt.Sprintf("j%d", i), Service: "pool", Steps: []workload.Step{{Count: 1}}}
		assert.NilError(t, l.core.AddJob(now, job, nil, 0, false))
		l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "pool"})
		l.advance()
		now += gap
	}
	passes := testutil.ToFloat64(l.opts.Metrics.passes)
	assert.Assert(t, passes <= float64(arrivals*gap/passGap), "%v passes", passes)
	assert.Assert(t, l.core.Changed())
	now += passGap
	l.advance()
	assert.Assert(t, !l.core.Changed(), "the last arrival was never looked at")
}

// Guards against rows of the owner that wake all hosts with each change: they follow the table of the lease.
func TestRowsOfTheOwnerWakeNoFollowers(t *testing.T) {
	for _, key := range []rowstore.Key{progressKey, ordersKey, rosterKey("x"), {Table: frontend.RecordTable, Name: "j"}} {
		assert.Assert(t, key.Table != ownership.Table, key.Table)
		assert.Equal(t, key.Part, ownership.FenceKey.Part, "one part, so that one transaction checks the fence")
	}
}

// Guards against an owner of thousands of machines that spends its processor time on storing the orders of one pass one by
// one, and against a row of orders beyond what the store takes: the owner could commit nothing any more.
func TestOrdersOfManyMachinesFitIntoOneRow(t *testing.T) {
	const machines, rowBytes = 3000, 64 << 10
	now := 10 * time.Second
	l := newTestLead(t.Context(), func() time.Duration { return now })
	l.opts.MachineDelay = 3 * time.Second
	l.machines.ordersFrom = 0
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
	l.machines.replace(list, now)
	l.planMachines(now)
	assert.Equal(t, len(l.machines.ordered), maxRecentOrders)
	row := l.rows.dirty[ordersKey]
	assert.Assert(t, len(row) > 0 && len(row) <= rowBytes, "%d bytes", len(row))
	now += l.opts.MachineDelay + recentMargin + time.Second
	l.machines.listedAt = now
	l.planMachines(now)
	assert.Assert(t, len(l.machines.ordered) > maxRecentOrders, "the others follow")
}

// BenchmarkPlanMachines measures a pass over a fleet of 3,000 machines, half of which are to move.
func BenchmarkPlanMachines(b *testing.B) {
	now := 10 * time.Second
	for b.Loop() {
		b.StopTimer()
		l := newTestLead(b.Context(), func() time.Duration { return now })
		l.machines.ordersFrom = 0
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
		l.machines.replace(list, now+time.Second)
		b.StartTimer()
		l.planMachines(now + time.Second)
	}
}
