package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// poolPeriod is a time during which a host was active in one pool. It lies between two reads that show the same
// generation of the assignment.
type poolPeriod struct {
	generation uint64
	pool       string
	from, to   time.Time
}

// poolObserver records which host was in which pool, from the assignment rows of all data centres.
type poolObserver struct {
	mu      sync.Mutex
	periods map[string][]poolPeriod
	// overBudget describes the samples in which planned moves, drains and reboots made more hosts of a pool unavailable
	// than its disruption budget allows (P1).
	overBudget []string
	samples    int
	// stop ends the observation and waits for its goroutine.
	stop func()
}

// observePools reads all assignments periodically until stop is called. maxUnavailable is the disruption budget of each
// pool.
func (tf *testFleet) observePools(maxUnavailable int) *poolObserver {
	ctx, cancel := context.WithCancel(tf.ctx)
	o := &poolObserver{periods: make(map[string][]poolPeriod)}
	done := make(chan struct{})
	o.stop = func() { cancel(); <-done }
	tf.t.Cleanup(o.stop)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			before := time.Now()
			// A list is a consistent snapshot of all rows.
			rows, err := tf.table.List(ctx, "assign/", "", cloud.MaxListLimit)
			if err == nil {
				o.addSample(rows, before, time.Now(), maxUnavailable)
			}
			time.Sleep(sampleInterval)
		}
	}()
	return o
}

// addSample adds one snapshot of the rows, which was read between before and after.
func (o *poolObserver) addSample(rows []cloud.Row, before, after time.Time, maxUnavailable int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples++
	unavailable := make(map[string][]string)
	for _, row := range rows {
		var a structs.Assignment
		if json.Unmarshal(row.Value, &a) != nil {
			continue
		}
		switch a.Phase {
		case structs.PhaseReleasing, structs.PhaseDraining, structs.PhaseRebooting:
			unavailable[a.Pool] = append(unavailable[a.Pool], fmt.Sprintf("%s %s", a.Host, a.Phase))
		case structs.PhaseActive:
			o.extendPeriod(a, before, after)
		}
	}
	for pool, hosts := range unavailable {
		if len(hosts) > maxUnavailable {
			o.overBudget = append(o.overBudget, fmt.Sprintf("%s: %s", pool, strings.Join(hosts, ", ")))
		}
	}
}

// extendPeriod extends the last period of a host to before, a time at which the assignment was certainly valid. For a
// new generation it begins a period at after, the end of the read.
func (o *poolObserver) extendPeriod(a structs.Assignment, before, after time.Time) {
	periods := o.periods[a.Host]
	if n := len(periods); n > 0 && periods[n-1].generation == a.Generation {
		periods[n-1].to = before
		return
	}
	o.periods[a.Host] = append(periods, poolPeriod{generation: a.Generation, pool: a.Pool, from: after, to: after})
}

// countWrongService counts the executions that fall into a recorded period of the host, and those of them whose
// service is not that of the host's pool at that time (P2).
func (o *poolObserver) countWrongService(host string, executions []targetserver.Execution) (wrong, known int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range executions {
		for _, p := range o.periods[host] {
			if e.Started.After(p.from) && e.Started.Before(p.to) {
				known++
				if !strings.HasSuffix(p.pool, "-"+e.Service) {
					wrong++
				}
			}
		}
	}
	return wrong, known
}

// poolChanges returns the number of times that a host changed its pool.
func (o *poolObserver) poolChanges() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, periods := range o.periods {
		for i := 1; i < len(periods); i++ {
			if periods[i].pool != periods[i-1].pool {
				n++
			}
		}
	}
	return n
}
