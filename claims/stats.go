package claims

import "github.com/prometheus/client_golang/prometheus"

// Stats holds the counts of a store since its start.
type Stats struct {
	// Claims is the number of calls of Claim.
	Claims uint64
	// Commits is the number of transactions sent, and Rows the number of rows that they are known to have written.
	Commits uint64
	Rows    uint64
	// Reads is the number of rows read.
	Reads uint64
	// Ambiguous is the number of transactions whose response did not tell whether they were applied.
	Ambiguous uint64
}

// Stats returns the counts since the start.
func (s *Store) Stats() Stats {
	c := &s.committer.stats
	return Stats{
		Claims: c.claims.Load(), Commits: c.commits.Load(), Rows: c.rows.Load(),
		Reads: c.reads.Load(), Ambiguous: c.ambiguous.Load(),
	}
}

// registerMetrics registers the counts as metrics. It does nothing if r is nil.
func (s *Store) registerMetrics(r prometheus.Registerer) error {
	if r == nil {
		return nil
	}
	for _, m := range []struct {
		name, help string
		value      func(Stats) uint64
	}{
		{"tamarack_claims_total", "Claims asked for.", func(s Stats) uint64 { return s.Claims }},
		{"tamarack_claims_commits_total", "Transactions sent to the table.", func(s Stats) uint64 { return s.Commits }},
		{"tamarack_claims_rows_total", "Rows written to the table.", func(s Stats) uint64 { return s.Rows }},
		{"tamarack_claims_reads_total", "Rows read from the table.", func(s Stats) uint64 { return s.Reads }},
		{"tamarack_claims_ambiguous_total", "Transactions with an unknown result.", func(s Stats) uint64 { return s.Ambiguous }},
	} {
		opts := prometheus.CounterOpts{Name: m.name, Help: m.help}
		value := func() float64 { return float64(m.value(s.Stats())) }
		if err := r.Register(prometheus.NewCounterFunc(opts, value)); err != nil {
			return err
		}
	}
	return nil
}
