package coordinator

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// sighting is where a list showed an executor. The machine is empty if no list did; the pool is empty if it is unknown, too.
type sighting struct {
	executor, machine, pool string
}

// presence is what lists of machines show of an executor that does not respond.
type presence int

const (
	// mayRun means that the executor is listed, or that the lists do not tell.
	mayRun presence = iota
	// unconfirmed means that the executor is not listed, and that a later list can show whether it has ended.
	unconfirmed
	// ended means that the executor has certainly ended.
	ended
)

// machineEntry is what a list shows of one machine.
type machineEntry struct {
	state          workload.MachineState
	pool, executor string
}

// excludes reports whether the entry of the machine on which an executor was seen shows that the executor has ended. In the pool where
// it was seen, a machine that is up without the ID of an executor may still run it.
func (e machineEntry) excludes(x sighting) bool {
	switch e.state {
	case workload.MachineMoving, workload.MachineInMaintenance, workload.MachineDown:
		return e.executor != x.executor
	case workload.MachineUp:
		if e.executor == "" {
			return e.pool != "" && x.pool != "" && e.pool != x.pool
		}
		return e.executor != x.executor
	}
	return false
}

// survey is what one read of the list of machines shows. Its pages are read one after the other, at offsets into the machines of
// each moment. A machine that is removed meanwhile moves those behind it to the page before, which may have been read already.
type survey struct {
	requestedAt time.Duration
	pages       int
	machines    map[string]machineEntry
	executors   map[string]bool
	// vacant holds the pools of machines that are up without the ID of an executor.
	vacant map[string]bool
	// repeated is set if a machine was listed twice, unidentified if an entry had no machine ID.
	repeated, unidentified bool
}

func newSurvey(list []workload.Machine, pages int, requestedAt time.Duration) *survey {
	s := &survey{
		requestedAt: requestedAt, pages: pages, machines: make(map[string]machineEntry, len(list)),
		executors: make(map[string]bool, len(list)), vacant: make(map[string]bool),
	}
	for _, m := range list {
		_, listed := s.machines[m.ID]
		s.repeated = s.repeated || listed
		s.unidentified = s.unidentified || m.ID == ""
		s.machines[m.ID] = machineEntry{m.State, m.Pool, m.Executor}
		if m.Executor != "" {
			s.executors[m.Executor] = true
		} else if m.State == workload.MachineUp {
			s.vacant[m.Pool] = true
		}
	}
	return s
}

// lacks reports whether neither the executor nor a machine that may run it is listed.
func (s *survey) lacks(x sighting) bool {
	switch {
	case s.executors[x.executor] || s.unidentified:
		return false
	case x.machine != "":
		return s.lacksMachine(x.machine)
	case x.pool == "":
		return len(s.vacant) == 0
	}
	return !s.vacant[x.pool] && !s.vacant[""]
}

// completeBy reports whether the survey shows every machine that was there while its pages were read. later was requested after the
// last of them.
//
// The offset of a page is the number of entries before it. If no machine is listed twice and each listed one is also in later, there
// were as many machines before the offset as entries when the page was read. A machine that no earlier page showed then comes after
// them, in this page or behind it, and the last page leaves none behind. This holds for any number of pages and for machines that
// are added or removed without being listed; it takes for granted that a removed machine is not back under its ID in later.
func (s *survey) completeBy(later *survey) bool {
	if s.pages <= 1 {
		return true
	}
	if s.repeated {
		return false
	}
	for id := range s.machines {
		if _, ok := later.machines[id]; !ok {
			return false
		}
	}
	return true
}

// surveys holds the two last surveys.
type surveys struct {
	last, earlier *survey
	// earlierComplete is set if last shows that earlier is complete.
	earlierComplete bool
}

func (v *surveys) add(s *survey) {
	v.earlier, v.last = v.last, s
	v.earlierComplete = v.earlier != nil && v.earlier.completeBy(s)
}

// presenceOf concludes whether an executor has ended that has not responded since a time. It has if its machine is listed without
// it, or if both are missing from a complete list and from all later ones. The lists must have been requested listMargin after since.
func (v *surveys) presenceOf(x sighting, since time.Duration) presence {
	if v.last == nil || v.last.executors[x.executor] {
		return mayRun
	}
	inTime := v.last.requestedAt > since+listMargin
	if entry, listed := v.last.machines[x.machine]; listed && x.machine != "" {
		switch {
		case !entry.excludes(x):
			return mayRun
		case inTime:
			return ended
		}
		return unconfirmed
	}
	switch {
	case !v.last.lacks(x):
		return mayRun
	case v.proveAbsence(since, func(s *survey) bool { return s.lacks(x) }):
		return ended
	}
	return unconfirmed
}

// proveAbsence reports whether the surveys prove that something is absent which was known at a time: a complete survey that was requested
// listMargin later lacks it, and so do all later ones.
func (v *surveys) proveAbsence(knownAt time.Duration, lacks func(*survey) bool) bool {
	switch {
	case v.last == nil || !lacks(v.last):
		return false
	case v.last.pages <= 1 && v.last.requestedAt > knownAt+listMargin:
		return true
	}
	return v.earlierComplete && v.earlier.requestedAt > knownAt+listMargin && lacks(v.earlier)
}

// lacksMachine reports whether a machine is not listed.
func (s *survey) lacksMachine(id string) bool {
	_, listed := s.machines[id]
	return !listed && !s.unidentified
}
