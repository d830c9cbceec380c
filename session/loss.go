package session

import (
	"sync"
	"time"
)

const (
	// lossWindow is how long a lost response counts.
	lossWindow = 4 * time.Second
	// minLossyExecutors is the number of executors with a lost response within lossWindow from which the network counts as
	// lossy. One or two executors that stop responding do not change how the others are called.
	minLossyExecutors = 3
	// While the network is lossy, lossyHoldWait bounds the wait of holds and lossyHoldTimeout replaces holdTimeout, so that a
	// lost response delays the news of ended runs by half a second at most.
	lossyHoldWait    = 250 * time.Millisecond
	lossyHoldTimeout = 200 * time.Millisecond
)

// LossMonitor detects a lossy network: it records executors that left a hold unanswered and responded to the next one.
type LossMonitor struct {
	mu     sync.Mutex
	losses map[string]time.Duration
}

// NewLossMonitor returns a monitor without recorded losses.
func NewLossMonitor() *LossMonitor { return &LossMonitor{losses: make(map[string]time.Duration)} }

// record records that an executor left a hold unanswered and responded to the next one.
func (m *LossMonitor) record(executor string, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses[executor] = now
}

// lossy reports whether at least minLossyExecutors executors had a lost response within lossWindow, and forgets older ones.
func (m *LossMonitor) lossy(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, at := range m.losses {
		if now-at > lossWindow {
			delete(m.losses, id)
		}
	}
	return len(m.losses) >= minLossyExecutors
}
