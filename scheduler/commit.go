package scheduler

// Write is a record to be stored for a job.
type Write struct {
	Job    string
	Record *Record
	// Version is the version of the stored record; 0 means that there is none.
	Version uint64
}

// Commit holds changed records that must become durable before the ends of runs that they cover are acknowledged to the
// executors. An executor reports an end until it is acknowledged, so none is lost if the owner fails before.
type Commit struct {
	Writes []Write
	// Ends holds, by executor, the last end of a run that the writes cover.
	Ends map[string]EndMark
}

// EndMark identifies the end of a run by the incarnation of the executor and the number that it gave the end.
type EndMark struct {
	BornUnixMS int64
	Number     int64
}

// TakeCommit returns the changes since the last commit, at most limit records, or nil if there are none.
// The owner has one commit in progress at a time.
func (c *Core) TakeCommit(limit int) *Commit {
	if len(c.dirty) == 0 && !c.acksPending {
		return nil
	}
	commit := &Commit{}
	n := min(limit, len(c.dirty))
	for _, j := range c.dirty[:n] {
		j.dirty, j.writeQueued = false, false
		commit.Writes = append(commit.Writes, Write{Job: j.spec.ID, Record: j.record(), Version: j.version})
	}
	c.dirty = append(c.dirty[:0:0], c.dirty[n:]...)
	if len(c.dirty) > 0 {
		// The remaining records may belong to processed ends, so ends are acknowledged with the last part only.
		return commit
	}
	commit.Ends = make(map[string]EndMark)
	for id, e := range c.executors {
		if e.lastEnd > e.ackedEnd {
			commit.Ends[id] = EndMark{e.incarnation, e.lastEnd}
			e.ackedEnd = e.lastEnd
		}
	}
	c.acksPending = false
	return commit
}

// Committed records that a commit is durable at version.
func (c *Core) Committed(commit *Commit, version uint64) {
	for _, w := range commit.Writes {
		j := c.jobs[w.Job]
		if j == nil {
			continue
		}
		j.version = version
		if w.Record.Status.Final() {
			j.durableStatus = w.Record.Status
		}
	}
	for id, end := range commit.Ends {
		if e := c.executors[id]; e != nil && e.incarnation == end.BornUnixMS {
			e.durableEnd = max(e.durableEnd, end.Number)
		}
	}
}
