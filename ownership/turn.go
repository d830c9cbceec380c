package ownership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxJitter is the largest random delay, which keeps candidates of the same rank from writing at the same time.
	maxJitter = 60 * time.Millisecond
	// maxPreferenceDelay is the delay of a host with a preference of 0; it is several times maxJitter.
	maxPreferenceDelay = 250 * time.Millisecond
	// minSlot is the shortest slot, which is how long a candidate waits for the one ahead of it. A takeover at a store that
	// responds in time is visible sooner.
	minSlot = 200 * time.Millisecond
	// slotLatencies is the length of a slot at a slow store, in latencies of the store: a takeover writes two partitions, and then
	// the other candidates must read of it.
	slotLatencies = 4
	// unnamedSlots is the number of slots over which the candidates that the owner has not named spread their attempts. On
	// average each slot has twice as many candidates as the one before, so that of up to 2^unnamedSlots candidates only a few
	// are in the first one.
	unnamedSlots = 6
	// preferenceSlots is by how many slots an unnamed candidate with a preference of 0 is later than one with 1.
	preferenceSlots = 4
	// MaxSuccessors is the number of successors that an owner names at most. All of them may be lost together with it.
	MaxSuccessors = 3
)

// shouldTakeOver reports whether this process is to take the lease now. Candidates try one after the other: a slow store
// applies simultaneous attempts one by one, and many of them would keep it busy for longer than a new owner's lease lasts.
func (m *Manager) shouldTakeOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leaseFree() {
		m.attemptAt = 0
		return false
	}
	now := m.opts.Now()
	if m.lease.Holder == m.holder && !m.lease.Released {
		// An earlier takeover by this process was applied although its response was lost. No other candidate takes the lease
		// now, so there is nothing to wait for.
		return true
	}
	if m.attemptAt == 0 {
		m.attemptAt = now + takeoverDelay(m.lease.Successors, m.opts, m.storeLatency, rand.Float64())
	}
	return now >= m.attemptAt
}

// takeoverDelay returns how long a candidate waits before it takes a free lease: named successors go first in their order,
// then the others, those with a higher preference earlier. random, from 0 to 1, keeps candidates of the same rank apart.
func takeoverDelay(successors []string, opts Options, latency time.Duration, random float64) time.Duration {
	slot := max(minSlot, slotLatencies*latency)
	jitter := time.Duration(random * float64(maxJitter))
	if len(successors) == 0 {
		return preferenceDelay(opts) + jitter
	}
	if rank := slices.Index(successors, opts.Name); rank >= 0 {
		return time.Duration(rank)*slot + jitter
	}
	slots := float64(len(successors)) + preferenceSlots*(1-opts.Preference) + max(0, unnamedSlots+math.Log2(random))
	return time.Duration(slots*float64(slot)) + jitter
}

// preferenceDelay returns the delay that lets hosts with more processor time go first if no owner has named successors.
func preferenceDelay(opts Options) time.Duration {
	return time.Duration((1 - opts.Preference) * float64(maxPreferenceDelay))
}

func (m *Manager) recordLatency(latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeLatency = max(latency, 0)
}

// successors returns at most MaxSuccessors names from Options.Successors.
func (m *Manager) successors() []string {
	if m.opts.Successors == nil {
		return nil
	}
	names := m.opts.Successors()
	return names[:min(len(names), MaxSuccessors)]
}
