package scheduler

import (
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/workload"
)

// ErrRecord means that a record cannot be encoded or decoded, or does not fit its job.
var ErrRecord = errors.New("scheduler: unreadable record")

// Record is the stored progress of a job, from which a later owner goes on. A job without a record has made none.
type Record struct {
	Status      workload.Status    `json:"s,omitempty"`
	Occurrences []OccurrenceRecord `json:"o,omitempty"`
	Retries     []RetryRecord      `json:"r,omitempty"`
}

// OccurrenceRecord holds which tasks of one occurrence are done.
type OccurrenceRecord struct {
	Number int  `json:"k"`
	Done   bool `json:"d,omitempty"`
	// Steps holds, for each step, hexadecimal bytes with one bit for each task, lowest bit first; a set bit means done. It is
	// empty for a step without such tasks.
	Steps []string `json:"t,omitempty"`
}

// RetryRecord holds the failures of a task, the crashes of executors under it, and the checkpoint to resume from.
type RetryRecord struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	// FailedRuns holds the numbers of the failed runs, because an executor may list the end of a run again to a later owner.
	FailedRuns []int  `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Crashes and LateCrashes count the executors that crashed under the task; see crashCounts.
	Crashes     int `json:"x,omitempty"`
	LateCrashes int `json:"y,omitempty"`
}

// DecodeRecord reads a stored record.
func DecodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(ErrRecord, err.Error())
	}
	return &r, nil
}

// Encode returns the form that DecodeRecord reads.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(ErrRecord, err.Error())
	}
	return data, nil
}

// record returns the record of a job as of now. That of a final job holds only its status.
func (j *job) record() *Record {
	r := &Record{Status: j.status}
	if j.status.Final() {
		return r
	}
	for k := range j.doneOccs {
		r.Occurrences = append(r.Occurrences, OccurrenceRecord{Number: k, Done: true})
	}
	for _, o := range j.occs {
		rec := OccurrenceRecord{Number: o.number}
		for _, s := range o.steps {
			rec.Steps = append(rec.Steps, encodeDone(s))
			for _, t := range s.tasks {
				if t.state != taskDone && (len(t.failedRuns) > 0 || t.checkpoint != "" || t.crashes != crashCounts{}) {
					r.Retries = append(r.Retries, RetryRecord{
						Occurrence: o.number, Step: s.index, Index: t.id.Index, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint,
						Crashes: t.crashes.recent, LateCrashes: t.crashes.late,
					})
				}
			}
		}
		r.Occurrences = append(r.Occurrences, rec)
	}
	sort.Slice(r.Occurrences, func(a, b int) bool { return r.Occurrences[a].Number < r.Occurrences[b].Number })
	sort.Slice(r.Retries, func(a, b int) bool {
		x, y := r.Retries[a], r.Retries[b]
		if x.Occurrence != y.Occurrence {
			return x.Occurrence < y.Occurrence
		}
		if x.Step != y.Step {
			return x.Step < y.Step
		}
		return x.Index < y.Index
	})
	return r
}

// encodeDone returns which tasks of a step are done, in the form of OccurrenceRecord.Steps.
func encodeDone(s *step) string {
	if s.remaining == len(s.tasks) {
		return ""
	}
	bits := make([]byte, (len(s.tasks)+7)/8)
	for i, t := range s.tasks {
		if t.state == taskDone {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(bits)
}

// restore applies a stored record to a new job. The error wraps ErrRecord.
func (j *job) restore(r *Record) error {
	j.status, j.durableStatus = r.Status, r.Status
	if j.status.Final() {
		return nil
	}
	for _, rec := range r.Occurrences {
		if rec.Done {
			j.doneOccs[rec.Number], j.started = true, true
			continue
		}
		if err := j.occurrence(rec.Number).restore(rec.Steps); err != nil {
			return err
		}
	}
	for _, rec := range r.Retries {
		o := j.occs[rec.Occurrence]
		if o == nil || rec.Step >= len(o.steps) || rec.Index >= len(o.steps[rec.Step].tasks) {
			return errors.Wrapf(ErrRecord, "retries of unknown task %d.%d.%d", rec.Occurrence, rec.Step, rec.Index)
		}
		t := o.steps[rec.Step].tasks[rec.Index]
		t.failedRuns, t.checkpoint = rec.FailedRuns, rec.Checkpoint
		t.crashes = crashCounts{recent: rec.Crashes, late: rec.LateCrashes}
		for _, run := range rec.FailedRuns {
			t.endedRun = max(t.endedRun, run)
		}
		// An executor may have crashed before it began the run.
		j.started = j.started || len(rec.FailedRuns) > 0 || rec.Checkpoint != ""
	}
	return nil
}

// restore marks tasks as done. steps has the form of OccurrenceRecord.Steps.
func (o *occurrence) restore(steps []string) error {
	if len(steps) > len(o.steps) {
		return errors.Wrapf(ErrRecord, "%d steps in an occurrence of a job with %d", len(steps), len(o.steps))
	}
	for i, digits := range steps {
		bits, err := hex.DecodeString(digits)
		if err != nil {
			return errors.Wrap(ErrRecord, err.Error())
		}
		for n, t := range o.steps[i].tasks {
			if n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 {
				t.setState(taskDone)
				o.steps[i].remaining--
				o.remaining--
				o.job.started = true
			}
		}
	}
	return nil
}
