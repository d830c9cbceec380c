package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// testAdvice is an advice service. It serves one call at a time, which takes 5 ms and 1 ms for each executor, and permits about one executor in
// share, and at least one of executors, for each step. Some calls fail or are rejected.
type testAdvice struct {
	executors, share int
	faults           *randomFaults

	// turn holds a value while a call is served. A mutex would stop the clock of the bubble while a call sleeps.
	turn    chan struct{}
	mu      sync.Mutex
	issued  map[string]time.Time
	largest int
}

const permitValidity = 3 * time.Second

func (a *testAdvice) mayRun(step workload.StepID, executor string) bool {
	hash := func(values ...any) int {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, values...)
		return int(h.Sum32())
	}
	return hash(step, executor)%a.share == 0 || executor == fmt.Sprintf("x%d", hash(step)%a.executors)
}

// Permits implements Advice.
func (a *testAdvice) Permits(ctx context.Context, step workload.StepID, executors []string) (map[string]string, time.Duration, bool, error) {
	switch a.faults.intN(20) {
	case 0:
		<-ctx.Done()
		return nil, 0, false, errors.Wrap(session.ErrNoResponse, ctx.Err().Error())
	case 1, 2:
		return nil, 0, false, nil
	}
	a.turn <- struct{}{}
	time.Sleep(5*time.Millisecond + time.Duration(len(executors))*time.Millisecond)
	<-a.turn
	a.mu.Lock()
	defer a.mu.Unlock()
	a.largest = max(a.largest, len(executors))
	permits := make(map[string]string)
	for _, executor := range executors {
		if a.mayRun(step, executor) {
			permits[executor] = fmt.Sprintf("%v/%s", step, executor)
			a.issued[permits[executor]] = time.Now()
		}
	}
	return permits, permitValidity, true, nil
}

// permitClient rejects starts without a valid permit, as executors do.
type permitClient struct {
	session.Client
	advice *testAdvice
}

func (c permitClient) Start(ctx context.Context, to session.Endpoint, o session.StartOrder) (session.Response, error) {
	step := workload.StepID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step}
	c.advice.mu.Lock()
	at, ok := c.advice.issued[o.Permit]
	c.advice.mu.Unlock()
	if !ok || time.Since(at) > permitValidity || o.Permit != fmt.Sprintf("%v/%s", step, to.ID) {
		return session.Response{Result: session.NoPermit}, nil
	}
	return c.Client.Start(ctx, to, o)
}

// Guards against jobs with permits that are never done or run twice: few executors are permitted for each step, calls to the advice service
// fail, executors restart under their IDs, and owners change.
func TestJobsWithPermitsUnderRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= faultSeeds(t); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				const executors = 30
				f := &randomFaults{rng: rand.New(rand.NewPCG(seed, 54))}
				a := &testAdvice{executors: executors, share: 10, faults: f, turn: make(chan struct{}, 1), issued: make(map[string]time.Time)}
				c := prepareCluster(t, func(f *workers.Fleet) session.Client { return permitClient{f, a} })
				c.advice = a
				policy := workload.Policy{MaxAttempts: 3, SlackFactor: 2, Permits: &workload.PermitPolicy{DecisionTime: 5, PerExecutor: 1, Validity: workload.Millis(permitValidity.Milliseconds())}}
				config, _ := json.Marshal(workload.Configuration{
					Version: 1, Services: []workload.Service{{Name: testService, ChecksCapacity: true}},
					Routes: []workload.Route{{Name: "queue", Service: testService, Policy: policy}},
				})
				c.store.Put(rowstore.Key{Table: "operator", Name: "config"}, config)
				for i := range executors {
					c.addExecutor(fmt.Sprintf("x%d", i), fmt.Sprintf("m%d", i))
				}
				c.startHosts(3)
				runWithRandomFaults(t, seed, c)
				if a.largest > 100 {
					t.Errorf("a call named %d executors", a.largest)
				}
			})
		})
	}
}
