package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// maxLatencyUS is the largest latency that the histogram records, in microseconds.
	maxLatencyUS = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits is the number of significant decimal digits that the histogram keeps.
	latencyDigits = 3
)

// Summary aggregates the records of one run.
type Summary struct {
	Total    int                     `json:"total"`
	Outcomes map[structs.Outcome]int `json:"outcomes"`
	// Codes counts the requests by the error code of their last attempt; requests without a code are left out.
	Codes map[string]int `json:"codes"`
	// MissingRetryAfter counts requests with a rejection that had no Retry-After header.
	MissingRetryAfter int `json:"missing_retry_after"`
	// Late counts requests with outcome done whose latency exceeded their deadline.
	Late    int                                     `json:"late"`
	Latency map[structs.Priority]LatencyPercentiles `json:"latency"`
}

// LatencyPercentiles holds percentiles of the latency of requests with outcome done.
type LatencyPercentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	Max   time.Duration `json:"max"`
}

// Summarize aggregates records.
func Summarize(records []Record) Summary {
	s := Summary{
		Total:    len(records),
		Outcomes: make(map[structs.Outcome]int),
		Codes:    make(map[string]int),
		Latency:  make(map[structs.Priority]LatencyPercentiles),
	}
	histograms := make(map[structs.Priority]*hdrhistogram.Histogram)
	for _, rec := range records {
		s.Outcomes[rec.Outcome]++
		if rec.Code != "" {
			s.Codes[rec.Code]++
		}
		if rec.MissingRetryAfter {
			s.MissingRetryAfter++
		}
		if rec.Outcome != structs.OutcomeDone {
			continue
		}
		if rec.Latency.Milliseconds() > rec.Arrival.DeadlineMS {
			s.Late++
		}
		h, ok := histograms[rec.Priority]
		if !ok {
			h = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
			histograms[rec.Priority] = h
		}
		// RecordValue drops values above the maximum. Deadlines keep latencies far below it.
		_ = h.RecordValue(rec.Latency.Microseconds())
	}
	for priority, h := range histograms {
		s.Latency[priority] = percentiles(h)
	}
	return s
}

func percentiles(h *hdrhistogram.Histogram) LatencyPercentiles {
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return LatencyPercentiles{
		Count: h.TotalCount(), P50: quantile(50), P99: quantile(99), P999: quantile(99.9),
		Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\n", s.Total)
	for _, o := range []structs.Outcome{structs.OutcomeDone, structs.OutcomeNotRun, structs.OutcomeUnknown} {
		fmt.Fprintf(t, "%s\t%d\n", o, s.Outcomes[o])
	}
	fmt.Fprintf(t, "late\t%d\n", s.Late)
	for _, code := range sortedKeys(s.Codes) {
		fmt.Fprintf(t, "code %s\t%d\n", code, s.Codes[code])
	}
	for _, p := range []structs.Priority{structs.PriorityUrgent, structs.PriorityBatch} {
		if l, ok := s.Latency[p]; ok {
			fmt.Fprintf(t, "%s latency\tn=%d p50=%s p99=%s p99.9=%s max=%s\n", p, l.Count, l.P50, l.P99, l.P999, l.Max)
		}
	}
	return t.Flush()
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
