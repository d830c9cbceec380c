package frontend

import (
	"sync"
	"time"
)

const (
	// uncertainTTL is how long a job may be submitted again after an attempt with an unknown outcome. Callers give up within
	// some seconds.
	uncertainTTL = time.Minute
	// maxUncertain bounds the number of jobs that are remembered.
	maxUncertain = 50000
)

// uncertainJobs remembers the jobs that may have been stored by an attempt that got no response.
type uncertainJobs struct {
	mu sync.Mutex
	// until holds, by job, when the job is forgotten.
	until map[string]time.Time
}

// add remembers a job. If there are too many, it first forgets those whose time is over, and then any.
func (u *uncertainJobs) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.until == nil {
		u.until = make(map[string]time.Time)
	}
	if len(u.until) >= maxUncertain {
		for other, until := range u.until {
			if now.After(until) || len(u.until) >= maxUncertain {
				delete(u.until, other)
			}
		}
	}
	u.until[id] = now.Add(uncertainTTL)
}

// has reports whether a job is remembered.
func (u *uncertainJobs) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	until, ok := u.until[id]
	return ok && time.Now().Before(until)
}
