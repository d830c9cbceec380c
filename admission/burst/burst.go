// Package burst simulates a burst of requests to entry hosts that share the slots of targets, and compares ways to
// divide the slots. The real router and admission run against simulated targets. Run must be called in a bubble of
// testing/synctest, so that the time is virtual and a seed gives the same figures.
package burst

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	service                       = "a"
	entries, targets, targetSlots = 3, 17, 8
	meanRunTime                   = 200 * time.Millisecond
	// oneWayDelay is the network delay between two hosts.
	oneWayDelay = time.Millisecond
)

// Option is a way to divide the slots of targets between entry hosts.
type Option struct {
	Name string
	// slots returns the number of slots of a target that an entry host may use on its own.
	slots func(entry, target int) int
	// heartbeats makes entry hosts exchange their counts of queued and running requests. lend lets an entry host use free
	// slots of the others, without the round trip that a loan takes, so the waits are a lower bound. forward forwards each
	// request to the entry host that owns a random target.
	heartbeats, lend, forward bool
}

// evenShare splits the 8 slots of a target into 3, 3 and 2. The entry host with 2 slots changes from target to target.
func evenShare(e, t int) int { return (targetSlots + (e+t)%entries) / entries }

// Options are the options that are compared. In option a, every entry host may use all slots of each target, and heartbeats
// let the routers divide them by load. In option b, the slots are divided in fixed shares, without and with lending. In
// option c, each target is owned by one entry host, to which requests are forwarded.
var Options = []Option{
	{Name: "a", slots: func(int, int) int { return targetSlots }, heartbeats: true},
	{Name: "b without lending", slots: evenShare},
	{Name: "b", slots: evenShare, lend: true},
	{Name: "c", slots: func(e, t int) int { return targetSlots * ((t + e + 1) % entries / 2) }, forward: true},
}

// Workload describes the requests of a run.
type Workload struct {
	Seed uint64
	// Mean is the load outside the burst as a fraction of the capacity of all targets; the burst is five times as much.
	Mean float64
	// Skew is the fraction of the requests that all arrive at the first entry host; the others are spread evenly. It has no
	// effect if requests are forwarded.
	Skew float64
}

// Result is the outcome of a run.
type Result struct {
	// P50 and P99 are quantiles of the waits from arrival to the last dispatch, of the requests that arrived during the burst
	// and were done.
	P50, P99 time.Duration
	// Refused counts the attempts that targets refused. Arrived counts requests, each of which is done or rejected.
	Refused, Arrived, Done int
	Rejected               map[admission.Reason]int
}

// Run simulates an option with the mean load for 2 s, five times the mean for 5 s and the mean for 6 s.
func Run(o Option, load Workload) Result {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // makes the order of events at the same instant reproducible
	s := newSimulation(o, load)
	arrived := s.sendLoad()
	quantile := func(q float64) time.Duration { return time.Duration(s.waits.ValueAtQuantile(q)) * time.Microsecond }
	return Result{
		P50: quantile(50), P99: quantile(99),
		Refused: s.refused, Arrived: arrived, Done: s.done, Rejected: s.rejected,
	}
}

type fixedView struct{ v *structs.View }

func (f *fixedView) View() *structs.View { return f.v }

// lender acquires slots from its own router, or from the router of a peer if its own has none.
type lender struct {
	*router.Router
	peers []*router.Router
}

func (l *lender) Acquire(service string, tried []string) (s *router.Slot, err error) {
	for _, r := range append([]*router.Router{l.Router}, l.peers...) {
		if s, err = r.Acquire(service, tried); err == nil {
			break
		}
	}
	return s, err
}

// simulation is the state of a run: the entry hosts and the simulated targets.
type simulation struct {
	Option
	load      Workload
	views     []*fixedView
	routers   []*router.Router
	admission []*admission.Admission

	mu sync.Mutex
	// running is the number of requests that run on each target.
	running map[string]int
	// waits holds the waits of Result in microseconds.
	waits    *hdrhistogram.Histogram
	refused  int // by targets
	done     int
	rejected map[admission.Reason]int
}

func newSimulation(o Option, load Workload) *simulation {
	s := &simulation{Option: o, load: load, running: map[string]int{}, rejected: map[admission.Reason]int{}, waits: hdrhistogram.New(1, 60_000_000, 3)}
	for e := range entries {
		v := &structs.View{
			Services:         map[string]*structs.Service{service: {Name: service, DeclaredRunTimeMS: int(meanRunTime.Milliseconds())}},
			TargetsByService: map[string][]*structs.Host{},
		}
		for i := range targets {
			if n := o.slots(e, i); n > 0 {
				v.TargetsByService[service] = append(v.TargetsByService[service], &structs.Host{Name: fmt.Sprintf("h%d", i), Slots: n})
			}
		}
		s.views = append(s.views, &fixedView{v})
		s.routers = append(s.routers, router.New(router.Options{Views: s.views[e], Seed: s.load.Seed + uint64(e), Entry: fmt.Sprint(e)}))
	}
	for e, r := range s.routers {
		opts := admission.Options{Slots: r, Views: s.views[e]}
		if o.lend {
			opts.Slots = &lender{r, []*router.Router{s.routers[(e+1)%entries], s.routers[(e+2)%entries]}}
		}
		s.admission = append(s.admission, admission.New(opts))
	}
	return s
}

// attempt sends a request to a target, which refuses it when all its slots are in use.
func (s *simulation) attempt(host string, run time.Duration) router.Result {
	// The jitter keeps events from happening at the same instant, where their order would depend on the Go scheduler.
	time.Sleep(oneWayDelay + run%oneWayDelay)
	defer time.Sleep(oneWayDelay)
	s.mu.Lock()
	if s.running[host] >= targetSlots {
		defer s.mu.Unlock()
		s.refused++
		return router.Result{Outcome: structs.OutcomeNotRun, Rejected: true}
	}
	s.running[host]++
	s.mu.Unlock()
	time.Sleep(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[host]--
	return router.Result{Outcome: structs.OutcomeDone, RunTime: run}
}

// serve handles a request that entry host e received, and records its wait if measured is set.
func (s *simulation) serve(e int, run time.Duration, measured bool) {
	start := time.Now()
	if s.forward {
		time.Sleep(oneWayDelay)
	}
	var tried []string
	p, err := s.admission[e].Enter(context.Background(), admission.Request{
		Service: service, Priority: structs.PriorityUrgent, Deadline: start.Add(10 * time.Second),
	})
	for err == nil {
		wait := time.Since(start)
		tried = append(tried, p.Slot().Host().Name)
		res := s.attempt(p.Slot().Host().Name, run)
		if res.Rejected {
			if err = p.Retry(res, tried); err == nil {
				continue
			}
		}
		p.Close(res)
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.done++
			if measured {
				_ = s.waits.RecordValue(wait.Microseconds()) // never fails: waits end before the deadline, which is in range
			}
			return
		}
	}
	var rejected *admission.RejectedError
	if errors.As(err, &rejected) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rejected[rejected.Reason]++
	}
}

// queued returns the number of requests in the queue of entry host e.
func (s *simulation) queued(e int) int {
	n := 0
	for _, l := range s.admission[e].Loads() {
		n += l.QueuedUrgent + l.QueuedBatch
	}
	return n
}

// sendLoad sends the requests of the workload, waits until all have ended and returns their number.
func (s *simulation) sendLoad() (arrived int) {
	rng := rand.New(rand.NewPCG(s.load.Seed, 0))
	rate := s.load.Mean * targets * targetSlots / meanRunTime.Seconds()
	var wg sync.WaitGroup
	defer wg.Wait()
	start, nextHeartbeat := time.Now(), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 13*time.Second; elapsed = time.Since(start) {
		for ; s.heartbeats && elapsed >= nextHeartbeat; nextHeartbeat += 500 * time.Millisecond {
			for e, from := range s.routers {
				queued := map[string]int{service: s.queued(e)}
				from.SetQueued(fmt.Sprint(e), queued)
				for _, to := range append(s.routers[:e:e], s.routers[e+1:]...) {
					to.SetQueued(fmt.Sprint(e), queued)
					to.SetPeerLoads(fmt.Sprint(e), from.Loads())
				}
			}
		}
		inBurst, factor := elapsed >= 2*time.Second && elapsed < 7*time.Second, 1.0
		if inBurst {
			factor = 5
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate / factor * 1e9))
		e, owner := rng.IntN(entries), rng.IntN(targets)
		if rng.Float64() < s.load.Skew {
			e = 0
		}
		if s.forward {
			e = (2*entries + 1 - owner%entries) % entries
		}
		run := time.Duration(rng.ExpFloat64() * float64(meanRunTime))
		arrived++
		wg.Go(func() { s.serve(e, run, inBurst) })
	}
	return arrived
}
