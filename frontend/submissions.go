package frontend

import (
	"sync"
	"time"
)

const (
	// submissionTTL is how long a submission that was not accepted is remembered. Callers repeat it for some seconds.
	submissionTTL = time.Minute
	// maxSubmissions bounds the number of submissions that are remembered.
	maxSubmissions = 50000
)

// submission is a job that was submitted without being accepted.
type submission struct {
	firstAt time.Duration
	// uncertain is set if an attempt without a response may have stored the job, or may yet store it.
	uncertain bool
}

// submissions remembers jobs that were submitted without being accepted, by ID.
type submissions struct {
	mu   sync.Mutex
	byID map[string]submission
	// attempts is the number of attempts of each job that are in progress on this host.
	attempts map[string]int
}

// begin counts an attempt to store a job as in progress, until the returned function is called.
func (s *submissions) begin(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = make(map[string]int)
	}
	s.attempts[id]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.attempts[id]--; s.attempts[id] <= 0 {
			delete(s.attempts, id)
		}
	}
}

// isCertain reports whether no attempt on this host may have stored a job, except the given number that are in progress.
func (s *submissions) isCertain(id string, now time.Duration, own int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.byID[id]
	return s.attempts[id] <= own && !(ok && x.uncertain && now-x.firstAt <= submissionTTL)
}

// record remembers a submission at a time. If there are too many, makeRoom drops some.
func (s *submissions) record(id string, now time.Duration, uncertain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]submission)
	}
	x, ok := s.byID[id]
	if !ok || now-x.firstAt > submissionTTL {
		x = submission{firstAt: now}
		s.makeRoom(now)
	}
	x.uncertain = x.uncertain || uncertain
	s.byID[id] = x
}

// makeRoom ensures that one more submission can be remembered; the caller holds the lock. It drops a tenth of the submissions at once,
// because each pass reads all of them. Uncertain ones go last: without them, a job that is stored could be refused.
func (s *submissions) makeRoom(now time.Duration) {
	if len(s.byID) < maxSubmissions {
		return
	}
	const target = maxSubmissions * 9 / 10
	for id, x := range s.byID {
		if now-x.firstAt > submissionTTL || !x.uncertain && len(s.byID) > target {
			delete(s.byID, id)
		}
	}
	for id := range s.byID {
		if len(s.byID) <= target {
			return
		}
		delete(s.byID, id)
	}
}

// get returns a submission, or false if none is remembered.
func (s *submissions) get(id string, now time.Duration) (submission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.byID[id]
	return x, ok && now-x.firstAt <= submissionTTL
}

// isUncertain reports whether an earlier attempt may have stored a job.
func (s *submissions) isUncertain(id string, now time.Duration) bool {
	x, ok := s.get(id, now)
	return ok && x.uncertain
}
