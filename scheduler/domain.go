package scheduler

// failureDomain is the data centre and the rack of the first finite task of a job. Placement prefers them for its other tasks: a data
// centre that is cut off or a rack that fails then delays the jobs that are in it, not each job with a task there. Of jobs with twelve
// tasks spread over three data centres, one that is cut off would delay nearly all, else a third.
type failureDomain struct{ dataCentre, rack string }

// Penalties of executors outside the failure domain of a job, as a share of CPU left free; see penalty. Both together are less than
// an idle executor, so that packing still frees machines.
const (
	otherDataCentrePenalty = 0.5
	otherRackPenalty       = 0.2
)

// distance returns the penalty of an executor for a finite task of the job.
func (d failureDomain) distance(e *executor) float64 {
	switch {
	case d.dataCentre == "" && d.rack == "":
		return 0
	case d.dataCentre != e.info.DataCentre:
		return otherDataCentrePenalty + otherRackPenalty
	case d.rack != e.info.Rack:
		return otherRackPenalty
	}
	return 0
}

// join records where a task is placed, if it is the first finite one of the job. The domain is open again if all first starts are refused.
func (d *failureDomain) join(t *task, e *executor) {
	if !t.step.spec.LongRunning && d.dataCentre == "" && d.rack == "" {
		d.dataCentre, d.rack = e.info.DataCentre, e.info.Rack
	}
}
