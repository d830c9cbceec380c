package coordinator

import "github.com/tamarackworks/tamarackworks/rowstore"

// jobOrigin tells whether a former owner may have started tasks of a job.
type jobOrigin string

const (
	// originNew jobs are delivered by the feed after the state is loaded.
	originNew jobOrigin = "new"
	// originInherited jobs were stored before this owner loaded them, and a former owner may have started them.
	originInherited jobOrigin = "inherited"
	// originUnstarted jobs were stored before this owner loaded them, and no former owner can have started them.
	originUnstarted jobOrigin = "unstarted"
)

// originOf returns the origin of a job that is loaded. A former owner may have started it if it has a record, if one of its rows is
// not later than the acceptance cutoff, or if the cutoff is 0, which means unknown; see ownership.Term.
func originOf(oldestRow uint64, recorded bool, acceptedAfter uint64) jobOrigin {
	if recorded || acceptedAfter == 0 || oldestRow <= acceptedAfter {
		return originInherited
	}
	return originUnstarted
}

// oldestVersions returns the lowest version of the rows of each job. A job may have a row in its primary and one in its fallback
// partition, and a former owner may have started it by either.
func oldestVersions(rows []rowstore.Row) map[string]uint64 {
	oldest := make(map[string]uint64, len(rows))
	for _, r := range rows {
		if v, ok := oldest[r.Name]; !ok || r.Version < v {
			oldest[r.Name] = r.Version
		}
	}
	return oldest
}
