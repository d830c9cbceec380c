package router

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	never = math.MaxInt64
	// limitIncrease, divided by the limit, is added to the limit for each success at the limit. The limit
	// thus grows by about 1 per run time of a request.
	limitIncrease = 1.0
	// limitIncreaseAboveShare replaces limitIncrease when the limit is at or above the share. Faster growth
	// overshoots within one heartbeat period, in which the other entry hosts do not know about the slots in use.
	limitIncreaseAboveShare = 0.3
	// limitDecayAboveShare is the fraction of the limit's excess over the share that is given up for each
	// success while no more requests than the share are in progress.
	limitDecayAboveShare = 0.1
	// limitDecreaseFactor multiplies a limit at or below the share after a refusal or a timeout. A smaller factor
	// leaves slots unused while the shares move between entry hosts: with 0.7 up to 452 of 6,847 callers of
	// TestSharingOfSlotsAtBurst (BURST_SKEW=0.4, seeds 1 to 4) were rejected, with 0.8 up to 102.
	limitDecreaseFactor = 0.8
)

// target is the state of one host. Fields that the selection reads without a lock are atomic. Attempts
// change limit, failures and ejection under mu; the router sets the shares and the load of the peers under
// its own mu. Times are nanoseconds since the start of the router.
type target struct {
	r *Router
	// roundingOffset in [0, 1) shifts the rounding of shares by host, so that the same entry host does not
	// get the larger part on every host.
	roundingOffset float64
	// incarnation is guarded by the router's mu.
	incarnation uint64

	// inProgress counts the requests of this entry host, peerInProgress those that peers reported.
	inProgress     atomic.Int64
	peerInProgress atomic.Int64
	// totalSlots is the number of slots of the host, share this entry host's share of them, and
	// availableSlots those that the peers do not use, at least the share.
	totalSlots, share, availableSlots atomic.Int64
	// limitBits is the concurrency limit as a float64, at least 1.
	limitBits atomic.Uint64
	// recentFailures counts as load until failuresExpireAt.
	recentFailures   atomic.Int64
	failuresExpireAt atomic.Int64
	// ejectedUntil is 0 for a target that is not ejected. After that time a single request probes the target.
	ejectedUntil     atomic.Int64
	probesInProgress atomic.Int64

	mu                  sync.Mutex
	slots               []*Slot
	nextSlot            int
	consecutiveFailures int
	ejectDuration       int64
	lastDecrease        int64
}

// Slot is the permission to send one request to a host. It must not be used after Done, because the router
// reuses it.
type Slot struct {
	target  *target
	host    *structs.Host
	service string
	started int64
	// probe is true if the target was ejected when the slot was taken.
	probe bool
	// active is true from the reservation of the slot to Done.
	active atomic.Bool
}

// Host returns the host to send to.
func (s *Slot) Host() *structs.Host { return s.host }

// Done releases the slot and records how the attempt ended. It must be called exactly once.
func (s *Slot) Done(res Result) {
	t, service := s.target, s.service
	r := t.r
	if !t.finishAttempt(s, res, r.now()) {
		return
	}
	if f := r.onFree.Load(); f != nil {
		(*f)(service)
	}
}

func newTarget(r *Router, h *structs.Host) *target {
	slots := slotCount(h)
	t := &target{r: r, slots: make([]*Slot, slots), roundingOffset: float64(xxhash.Sum64String(h.Name)%1024) / 1024}
	for i := range t.slots {
		t.slots[i] = &Slot{target: t}
	}
	t.setLimit(float64(slots))
	t.totalSlots.Store(slots)
	t.share.Store(slots)
	t.availableSlots.Store(slots)
	return t
}

func (t *target) limit() float64 { return math.Float64frombits(t.limitBits.Load()) }

// unexpiredFailures returns the number of recent failures, which counts as load.
func (t *target) unexpiredFailures(now int64) int64 {
	if now >= t.failuresExpireAt.Load() {
		return 0
	}
	return t.recentFailures.Load()
}

// score returns the load relative to the usable slots, and whether the target can take a request.
func (t *target) score(now int64) (float64, bool) {
	inProgress, usable := t.inProgress.Load(), t.usableSlots()
	if !t.canTake(inProgress, usable, now) {
		return 0, false
	}
	return float64(inProgress+t.peerInProgress.Load()+t.unexpiredFailures(now)) / usable, true
}

func (t *target) canTake(inProgress int64, usable float64, now int64) bool {
	if until := t.ejectedUntil.Load(); until != 0 {
		// Attempts that started before the ejection may hang for a long time, so they do not count as probes.
		return now >= until && t.probesInProgress.Load() == 0 && inProgress < t.totalSlots.Load()
	}
	return float64(inProgress) <= usable-1
}

// usableSlots returns the number of slots that this entry host may use at the moment, at least 1.
func (t *target) usableSlots() float64 { return min(t.limit(), float64(t.availableSlots.Load())) }

// take reserves a slot, or returns nil if the target can take no request.
func (t *target) take(h *structs.Host, service string, now int64) *Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.canTake(t.inProgress.Load(), t.usableSlots(), now) {
		return nil
	}
	s := t.nextUnusedSlot()
	s.host, s.service, s.started = h, service, now
	s.active.Store(true)
	t.inProgress.Add(1)
	if s.probe = t.ejectedUntil.Load() != 0; s.probe {
		t.probesInProgress.Add(1)
	}
	return s
}

// nextUnusedSlot cycles through the slots instead of reusing the last one, so that a second Done on a slot
// is likely to come before the slot is reused and to be ignored.
func (t *target) nextUnusedSlot() *Slot {
	for range t.slots {
		s := t.slots[t.nextSlot]
		t.nextSlot = (t.nextSlot + 1) % len(t.slots)
		if !s.active.Load() {
			return s
		}
	}
	s := &Slot{target: t}
	t.slots = append(t.slots, s)
	return s
}

func (t *target) release(s *Slot) bool {
	probe := s.probe // another request may take the slot once it is not active
	if !s.active.CompareAndSwap(true, false) {
		return false
	}
	t.inProgress.Add(-1)
	if probe {
		t.probesInProgress.Add(-1)
	}
	return true
}

func (t *target) finishAttempt(s *Slot, res Result, now int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	inProgress, started, probe := t.inProgress.Load(), s.started, s.probe
	if !t.release(s) {
		return false
	}
	switch {
	case res.Rejected:
		t.decreaseLimit(started, now)
	case res.Timeout:
		t.decreaseLimit(started, now)
		t.recordFailure(s.service, probe, now)
	case res.Failed:
		t.recordFailure(s.service, probe, now)
	case res.Outcome == structs.OutcomeDone:
		t.recordSuccess(inProgress)
	}
	return true
}

// decreaseLimit lowers a limit above the share to the share, and any other limit by a factor. Attempts that
// started before the last decrease are ignored, because they say nothing about the new limit.
func (t *target) decreaseLimit(started, now int64) {
	if started < t.lastDecrease {
		return
	}
	t.lastDecrease = now
	if share := float64(t.share.Load()); t.limit() > share {
		t.setLimit(share)
		return
	}
	t.setLimit(t.limit() * limitDecreaseFactor)
}

func (t *target) setLimit(l float64) { t.limitBits.Store(math.Float64bits(max(1, l))) }

// recordFailure counts a failure and ejects the target if it has too many. Only a failed probe prolongs an
// ejection, because other attempts started before it.
func (t *target) recordFailure(service string, probe bool, now int64) {
	t.recentFailures.Store(min(t.unexpiredFailures(now)+1, int64(len(t.slots))))
	t.failuresExpireAt.Store(now + int64(t.r.opts.FailureTTL))
	t.consecutiveFailures++
	if t.ejectedUntil.Load() != 0 && !probe {
		return
	}
	if probe || t.consecutiveFailures >= t.r.opts.EjectAfter {
		t.eject(service, now)
	}
}

// eject excludes the target from selection for the ejection time, unless more than half of the service's
// targets would then be ejected.
func (t *target) eject(service string, now int64) {
	t.r.ejectMu.Lock()
	defer t.r.ejectMu.Unlock()
	st := t.r.index.Load().services[service]
	if st == nil || (t.ejectedUntil.Load() == 0 && !st.canEject(t)) {
		return
	}
	t.ejectDuration = min(max(2*t.ejectDuration, int64(t.r.opts.EjectMin)), int64(t.r.opts.EjectMax))
	t.ejectedUntil.Store(now + t.ejectDuration)
}

// canEject reports whether t belongs to the service and at most half of the service's targets would be
// ejected with it.
func (st *serviceTargets) canEject(t *target) bool {
	return slices.Contains(st.targets, t) && 2*(st.ejected()+1) <= len(st.targets)
}

func (st *serviceTargets) ejected() int {
	n := 0
	for _, t := range st.targets {
		if t.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return n
}

// restoreExcessEjected ends ejections until at most half of the service's targets are ejected. More than half
// can be ejected after the service lost targets.
func (st *serviceTargets) restoreExcessEjected() {
	excess := st.ejected() - len(st.targets)/2
	for _, t := range st.targets {
		if excess > 0 && t.ejectedUntil.Swap(0) != 0 {
			excess--
		}
	}
}

func (t *target) recordSuccess(inProgress int64) {
	t.consecutiveFailures = 0
	t.ejectDuration = 0
	t.ejectedUntil.Store(0)
	t.recentFailures.Store(max(t.recentFailures.Load()-1, 0))
	limit, share := t.limit(), float64(t.share.Load())
	switch {
	case float64(inProgress) > limit-1:
		step := limitIncrease
		if limit >= share {
			step = limitIncreaseAboveShare
		}
		t.setLimit(min(limit+step/limit, float64(t.totalSlots.Load())))
	case limit > share && float64(inProgress) <= share:
		t.setLimit(limit - limitDecayAboveShare*(limit-share))
	}
}

func (t *target) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveFailures, t.ejectDuration, t.lastDecrease = 0, 0, 0
	t.ejectedUntil.Store(0)
	t.recentFailures.Store(0)
	t.setLimit(float64(t.totalSlots.Load()))
}
