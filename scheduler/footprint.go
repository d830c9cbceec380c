package scheduler

import (
	"time"
	"unsafe"

	"github.com/tamarackworks/tamarackworks/workload"
)

// The load that this file answers: many jobs, or jobs of many steps, tasks or due occurrences, arrive while nothing ends. A few bytes of a
// request declare thousands of tasks, so the memory of waiting jobs is bounded by what they take once they are known.

const (
	// mapBytes is the memory of a map with few entries.
	mapBytes = 320
	jobBytes = int64(unsafe.Sizeof(job{})+unsafe.Sizeof(workload.Job{})) + 2*mapBytes
	// stepBytes is that of a step without its tasks. Its map stays empty until a task is placed.
	stepBytes = int64(unsafe.Sizeof(step{})) + 64
	// taskBytes includes the pointer to the task.
	taskBytes       = int64(unsafe.Sizeof(task{})) + 16
	occurrenceBytes = int64(unsafe.Sizeof(occurrence{})) + 64
)

// maxLiveOccurrences bounds the occurrences of a recurring job that are due and not done, so that its record fits into a row. Further
// ones become due as these end.
const maxLiveOccurrences = 1000

// maxOccurrenceShare is the share of the memory for jobs that the occurrences of one job may take: one of this number.
const maxOccurrenceShare = 16

// Footprint returns about how many bytes of memory an accepted job takes until it ends, with one occurrence.
func Footprint(spec *workload.Job) int64 { return specFootprint(spec) + occurrenceFootprint(spec) }

// specFootprint returns the memory of a job without its occurrences.
func specFootprint(spec *workload.Job) int64 {
	n := jobBytes + int64(len(spec.ID)+len(spec.Payload)+len(spec.Route)+len(spec.Service)+len(spec.Organisation))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += int64(unsafe.Sizeof(*s)) + int64(len(s.After))*int64(unsafe.Sizeof(0)) + int64(len(s.Label)+len(s.DataRack)+len(s.Image))
	}
	return n
}

// occurrenceFootprint returns the memory of one occurrence of a job.
func occurrenceFootprint(spec *workload.Job) int64 {
	n := occurrenceBytes + int64(len(spec.Steps))*stepBytes
	for i := range spec.Steps {
		n += int64(spec.Steps[i].Count) * taskBytes
	}
	return n
}

// JobMemory returns about how many bytes of memory the known jobs take.
func (c *Core) JobMemory() int64 { return c.jobMemory }

// countMemory updates the memory that a job is counted with. Until a job is final it counts with one occurrence at least, which may yet
// become due.
func (c *Core) countMemory(j *job) {
	if j.specMemory == 0 {
		j.specMemory, j.occurrenceMemory = specFootprint(j.spec), occurrenceFootprint(j.spec)
	}
	occurrences := len(j.occs)
	if !j.status.Final() {
		occurrences = max(occurrences, 1)
	}
	memory := j.specMemory + int64(occurrences)*j.occurrenceMemory
	c.jobMemory += memory - j.memory
	j.memory = memory
}

// releaseEnded drops what is not needed any more of a job that has ended and has no task on an executor.
func (c *Core) releaseEnded(j *job) {
	if j.released || j.dirty || j.placedTasks > 0 {
		return
	}
	j.released = true
	spec := &workload.Job{ID: j.spec.ID}
	if j.status != workload.StatusCompleted {
		// Its runs may still be stopping, and count towards the cap of its organisation.
		spec.Steps = j.spec.Steps
	}
	j.spec = spec
	clear(j.occs)
	j.specMemory = 0
	c.countMemory(j)
}

// mayCreateOccurrence reports whether a further occurrence of a recurring job may become tasks while others of it are not done.
func (c *Core) mayCreateOccurrence(j *job) bool {
	live := int64(len(j.occs))
	if live == 0 || c.opts.JobMemory <= 0 {
		return live < maxLiveOccurrences
	}
	return live < maxLiveOccurrences && (live+1)*j.occurrenceMemory <= c.opts.JobMemory/maxOccurrenceShare
}

const (
	// smallJobBytes is the largest footprint of a job that may use the reserve for small jobs.
	smallJobBytes = 64 << 10
	// smallJobShare is the share of the memory for jobs that only small ones may use: one of this number.
	smallJobShare = 4
	// reservationTTL is how long room is kept for a job that a host stores.
	reservationTTL = 5 * time.Second
)

// roomReservation is the room that is kept for a job that is being stored.
type roomReservation struct {
	bytes int64
	until time.Duration
}

// JobRoom returns how many bytes of memory are left for jobs of any size; a negative value means that even the reserve for small ones is
// in use. ok is false if the memory for jobs has no bound.
func (c *Core) JobRoom(now time.Duration) (bytes int64, ok bool) {
	if c.opts.JobMemory <= 0 {
		return 0, false
	}
	for id, r := range c.reservations {
		if now >= r.until || c.jobs[id] != nil {
			c.reserved -= r.bytes
			delete(c.reservations, id)
		}
	}
	return c.opts.JobMemory - c.opts.JobMemory/smallJobShare - c.jobMemory - c.reserved, true
}

// ReserveJob reports whether there is room for a job with a footprint, and keeps it until the job is known or reservationTTL is over. A job
// that is known has its room. One job alone may exceed the bound.
func (c *Core) ReserveJob(now time.Duration, id string, bytes int64) bool {
	room, bounded := c.JobRoom(now)
	_, repeated := c.reservations[id]
	if !bounded || repeated || c.jobs[id] != nil {
		return true
	}
	if bytes <= smallJobBytes {
		room += c.opts.JobMemory / smallJobShare
	}
	if bytes > room && len(c.jobs)+len(c.reservations) > 0 {
		return false
	}
	c.reservations[id] = roomReservation{bytes, now + reservationTTL}
	c.reserved += bytes
	return true
}
