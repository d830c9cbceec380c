package router

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/structs"
)

type viewSource struct{ atomic.Pointer[structs.View] }

func (v *viewSource) View() *structs.View { return v.Load() }

// newView returns a view with n targets for each of the given services.
func newView(n int, services ...string) *structs.View {
	v := &structs.View{Hosts: map[string]*structs.Host{}, TargetsByService: map[string][]*structs.Host{}}
	for _, s := range services {
		for i := range n {
			h := &structs.Host{Name: fmt.Sprintf("%s-%04d", s, i), Slots: 8}
			v.Hosts[h.Name] = h
			v.TargetsByService[s] = append(v.TargetsByService[s], h)
		}
	}
	return v
}

func newRouter(v *structs.View, opts Options) (*Router, *viewSource) {
	src := &viewSource{}
	src.Store(v)
	opts.Views = src
	return New(opts), src
}

// clock is a manual clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func done(s *Slot) { s.Done(Result{Outcome: structs.OutcomeDone}) }

// Guards against a request sent to a host after its release was confirmed: if Acquire didn't load the view
// again, a goroutine with the old view would get the released host.
func TestAcquireNeverReturnsHostReleasedBetweenSteps(t *testing.T) {
	for _, counted := range []bool{false, true} {
		r, src := newRouter(newView(1, "a"), Options{})
		inProgress := -1
		r.testHook = func(hookCounted bool) {
			if hookCounted == counted && inProgress < 0 {
				src.Store(newView(1, "b"))
				inProgress = r.InProgress("a-0000")
			}
		}
		_, err := r.Acquire("a", nil)
		assert.ErrorIs(t, err, ErrNoTarget)
		// The confirmation has to wait for the request that is counted but has no confirmed host yet.
		assert.Equal(t, inProgress == 1, counted)
		assert.Equal(t, r.InProgress("a-0000"), 0)
	}
}

// Guards against the same failure with concurrent goroutines: once a view without the host is published and
// its count is 0, no goroutine may get the host.
func TestNoUseOfHostAfterConfirmedRelease(t *testing.T) {
	with, without := newView(2, "a"), newView(1, "a")
	const host = "a-0001"
	r, src := newRouter(with, Options{})
	r.testHook = func(counted bool) {
		if !counted {
			time.Sleep(time.Microsecond) // widens the window in which a goroutine holds an old view
		}
	}
	var released atomic.Bool
	var violations atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !stop.Load() {
				s, err := r.Acquire("a", nil)
				if err != nil {
					continue
				}
				if s.Host().Name == host && released.Load() {
					violations.Add(1)
				}
				done(s)
			}
		})
	}
	for range 300 {
		time.Sleep(20 * time.Microsecond) // lets goroutines load the view with the host
		src.Store(without)
		for r.InProgress(host) != 0 {
			time.Sleep(time.Microsecond)
		}
		released.Store(true)
		time.Sleep(20 * time.Microsecond)
		released.Store(false)
		src.Store(newView(2, "a"))
	}
	stop.Store(true)
	wg.Wait()
	assert.Equal(t, violations.Load(), int64(0))
}

// Guards against more requests at a target than it has slots, a target that was tried already, requests
// counted twice or not at all, and a wrong error.
func TestAcquireKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "targets")
		r, _ := newRouter(newView(n, "a"), Options{Seed: 1})
		held := map[string]int{}
		var slots []*Slot
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(slots) > 0 && rapid.Bool().Draw(t, "done") {
				held[slots[0].Host().Name]--
				slots[0].Done(Result{Rejected: rapid.Bool().Draw(t, "rejected")})
				slots[0].Done(Result{}) // a second Done is ignored
				slots = slots[1:]
			} else {
				var tried []string
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID[int]).Draw(t, "tried") {
					tried = append(tried, fmt.Sprintf("a-%04d", i))
				}
				s, err := r.Acquire("a", tried)
				if err == nil {
					assert.Assert(t, !slices.Contains(tried, s.Host().Name))
					held[s.Host().Name]++
					slots = append(slots, s)
				} else {
					assert.Equal(t, errors.Is(err, ErrNoTarget), len(tried) == n)
					assert.Equal(t, errors.Is(err, ErrBusy), len(tried) < n)
				}
			}
			for name, count := range held {
				assert.Equal(t, r.InProgress(name), count)
				assert.Assert(t, count <= 8)
			}
		}
	})
}

// Guards against the ejection of all targets of a service when they fail at once, and against an ejected
// target that gets more than one probe at a time or is never probed again.
func TestEjectionIsCappedAndProbedBySingleRequests(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r, src := newRouter(newView(4, "a"), Options{Seed: 1, Now: c.now})
	for range 200 {
		s, err := r.Acquire("a", nil)
		assert.NilError(t, err)
		s.Done(Result{Outcome: structs.OutcomeUnknown, Failed: true})
	}
	assert.Equal(t, r.current().services["a"].ejected(), 2)
	count := func() (n int) {
		var held []*Slot
		for {
			s, err := r.Acquire("a", nil)
			if err != nil {
				break
			}
			held = append(held, s)
		}
		for _, s := range held {
			s.Done(Result{})
		}
		return len(held)
	}
	assert.Equal(t, count(), 16)
	c.t = c.t.Add(DefaultEjectMin)
	assert.Equal(t, count(), 18, "one probe for each ejected target")
	src.Store(newView(2, "a"))
	assert.Assert(t, r.current().services["a"].ejected() <= 1)
}

// Guards against a target that gets most requests because it fails fast: it is idle most of the time, so it
// looks less loaded than the others. Recent failures therefore count as load.
func TestFastFailingTargetDoesNotAttractWork(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r, _ := newRouter(newView(4, "a"), Options{Seed: 1, Now: c.now, EjectAfter: 1 << 30})
	var running []*Slot
	toFailing := 0
	for range 1000 {
		c.t = c.t.Add(time.Millisecond)
		s, err := r.Acquire("a", nil)
		assert.NilError(t, err)
		if s.Host().Name == "a-0000" {
			toFailing++
			s.Done(Result{Failed: true})
			continue
		}
		if running = append(running, s); len(running) > 12 {
			done(running[0])
			running = running[1:]
		}
	}
	assert.Assert(t, toFailing < 100, "%d of 1000 requests", toFailing)
}

// Guards against a peer's load that affects the selection of targets after PeerTTL.
func TestPeerLoadsSteerUntilTheyExpire(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r, _ := newRouter(newView(2, "a"), Options{Seed: 1, Now: c.now})
	r.current()
	r.SetPeerLoads("e2", []HostLoad{{Host: "a-0000", InProgress: 5}})
	seen := map[string]int{}
	pick := func() {
		for range 100 {
			s, err := r.Acquire("a", nil)
			assert.NilError(t, err)
			seen[s.Host().Name]++
			done(s)
		}
	}
	pick()
	assert.Equal(t, seen["a-0001"], 100)
	c.t = c.t.Add(DefaultPeerTTL)
	pick()
	assert.Assert(t, seen["a-0000"] > 10)
}

// Guards against shares that assign a slot to two entry hosts or to none: the shares that entry hosts
// compute from the same reports must add up to the slots.
func TestSharesAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"e1", "e2", "e3"}
		queued := rapid.SliceOfN(rapid.IntRange(0, 100), 3, 3).Draw(t, "queued")
		total := map[string]int64{}
		for _, self := range names {
			r, _ := newRouter(newView(20, "a"), Options{Entry: self})
			r.current()
			for i, entry := range names {
				r.SetQueued(entry, map[string]int{"a": queued[i]})
			}
			for _, entry := range names {
				if entry != self {
					r.SetPeerLoads(entry, nil)
				}
			}
			for name, target := range r.targets {
				total[name] += target.share.Load()
			}
		}
		for name, sum := range total {
			assert.Equal(t, sum, int64(8), name)
		}
	})
}

// newLargeRouter returns a router with 206 services and 1,500 targets, and the names of the services.
func newLargeRouter() (*Router, []string) {
	var services []string
	for i := range 206 {
		services = append(services, fmt.Sprintf("s%03d", i))
	}
	v := newView(7, services...)
	for i := range 1500 - 206*7 {
		h := &structs.Host{Name: fmt.Sprintf("x-%04d", i), Slots: 8}
		v.TargetsByService[services[0]] = append(v.TargetsByService[services[0]], h)
	}
	r, _ := newRouter(v, Options{})
	r.SetPeerLoads("e2", nil)
	return r, services
}

// Guards against allocations in Acquire and Done, which run for each attempt of a request.
func TestAcquireDoesNotAllocate(t *testing.T) {
	r, services := newLargeRouter()
	i := 0
	tried := []string{"s000-0001"}
	allocs := testing.AllocsPerRun(1000, func() {
		s, err := r.Acquire(services[i%len(services)], tried)
		if err != nil {
			t.Fatal(err)
		}
		done(s)
		i++
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkAcquire(b *testing.B) {
	r, services := newLargeRouter()
	b.Run("idle", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			s, _ := r.Acquire(services[i%len(services)], nil)
			done(s)
		}
	})
	b.Run("full", func(b *testing.B) {
		for {
			if _, err := r.Acquire(services[0], nil); err != nil {
				break
			}
		}
		b.ReportAllocs()
		for b.Loop() {
			_, _ = r.Acquire(services[0], nil)
		}
	})
}

// Guards against a target that stays ejected although it works again: requests that started before the
// ejection and hang on unresponsive connections must neither prevent the probe nor prolong the ejection when
// they time out later.
func TestAttemptsFromBeforeTheEjectionDoNotDelayTheProbe(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r, _ := newRouter(newView(2, "a"), Options{Seed: 1, Now: c.now})
	tried := []string{"a-0000"}
	var hanging []*Slot
	for range 8 {
		s, err := r.Acquire("a", tried)
		assert.NilError(t, err)
		hanging = append(hanging, s)
	}
	timeout := func(s *Slot) { s.Done(Result{Outcome: structs.OutcomeUnknown, Timeout: true}) }
	for _, s := range hanging[:DefaultEjectAfter] {
		timeout(s)
	}
	_, err := r.Acquire("a", tried)
	assert.ErrorIs(t, err, ErrBusy)

	c.t = c.t.Add(DefaultEjectMin)
	timeout(hanging[DefaultEjectAfter])
	probe, err := r.Acquire("a", tried)
	assert.NilError(t, err, "two attempts from before the ejection still hang")
	_, err = r.Acquire("a", tried)
	assert.ErrorIs(t, err, ErrBusy, "one probe at a time")
	timeout(probe)
	c.t = c.t.Add(DefaultEjectMin)
	_, err = r.Acquire("a", tried)
	assert.ErrorIs(t, err, ErrBusy, "a failed probe doubles the ejection")
	c.t = c.t.Add(DefaultEjectMin)
	probe, err = r.Acquire("a", tried)
	assert.NilError(t, err)
	done(probe)
	for _, s := range hanging[DefaultEjectAfter+1:] {
		timeout(s)
	}
	_, err = r.Acquire("a", tried)
	assert.NilError(t, err)
}
