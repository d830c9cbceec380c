// Package interference makes a report from the logs of a deployment's processes: how long serving tasks were above their
// objectives, how long best-effort tasks were slowed down, and which images raised the tail latency of which. It is made of the
// lines "interference" that package scheduler writes.
package interference

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// ErrInput means that the logs cannot be read or have no line that the report is made of.
var ErrInput = errors.New("interference: invalid input")

const (
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// message is the message of the lines. It must match the one of package scheduler.
	message = "interference"
)

// Report sums the totals of all terms of ownership in the logs.
type Report struct {
	Totals
	// ServingAboveShare and PacedDownShare are shares of the time of the tasks.
	ServingAboveShare float64  `json:"serving_above_share"`
	PacedDownShare    float64  `json:"paced_down_share"`
	Effects           []Effect `json:"effects"`
}

// Totals are the totals of one term, or their sum. Times are in milliseconds.
type Totals struct {
	ServingMS        int64 `json:"serving_ms"`
	AboveObjectiveMS int64 `json:"above_objective_ms"`
	BestEffortMS     int64 `json:"best_effort_ms"`
	PacedDownMS      int64 `json:"paced_down_ms"`
	KeptApart        int   `json:"kept_apart"`
	// PenaltyOff is set if placement did not take the predictions into account, in any term.
	PenaltyOff bool `json:"penalty_off"`
}

// Effect is what the logs say of a pair of images.
type Effect struct {
	Serving string `json:"serving"`
	Beside  string `json:"beside"`
	// Rise is by how much the ratio of tail latency to objective rises if the image beside uses all CPU of an executor, by the last
	// line that names the pair, and Highest the largest rise of any line.
	Rise    float64 `json:"rise"`
	Highest float64 `json:"highest"`
	// KeptApart is how often the pair was kept apart in placement.
	KeptApart int `json:"kept_apart"`
}

// logLine is the part of a log line that the report uses.
type logLine struct {
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
	Fields    struct {
		Instance string `json:"instance"`
		Epoch    uint64 `json:"epoch"`
		Penalty  bool   `json:"penalty"`
		Totals
		Effects []Effect `json:"effects"`
	} `json:"fields"`
}

// term identifies a term of ownership. The totals of the lines restart with each.
type term struct {
	instance string
	epoch    uint64
}

// pair identifies an Effect.
type pair struct{ serving, beside string }

// Read makes a report from the logs of one or more processes, given in any order. Text before the JSON object of a line is
// ignored, and so are lines that are cut.
func Read(logs ...io.Reader) (*Report, error) {
	var lines []logLine
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			var l logLine
			start := bytes.IndexByte(s.Bytes(), '{')
			if start >= 0 && bytes.Contains(s.Bytes(), []byte(message)) && json.Unmarshal(s.Bytes()[start:], &l) == nil && l.Message == message {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(ErrInput, err.Error())
		}
	}
	if len(lines) == 0 {
		return nil, errors.Wrap(ErrInput, "the logs have no line about interference")
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	return sum(lines), nil
}

// sum makes the report from lines in order of time.
func sum(lines []logLine) *Report {
	last := make(map[term]Totals)
	apart := make(map[term]map[pair]int)
	effects := make(map[pair]*Effect)
	for _, l := range lines {
		of := term{l.Fields.Instance, l.Fields.Epoch}
		totals := l.Fields.Totals
		totals.PenaltyOff = !l.Fields.Penalty
		last[of] = totals
		if apart[of] == nil {
			apart[of] = make(map[pair]int)
		}
		for _, x := range l.Fields.Effects {
			id := pair{x.Serving, x.Beside}
			if effects[id] == nil {
				effects[id] = &Effect{Serving: x.Serving, Beside: x.Beside}
			}
			effects[id].Rise, effects[id].Highest = x.Rise, max(effects[id].Highest, x.Rise)
			apart[of][id] = x.KeptApart
		}
	}
	r := &Report{Effects: []Effect{}}
	for of, t := range last {
		r.ServingMS += t.ServingMS
		r.AboveObjectiveMS += t.AboveObjectiveMS
		r.BestEffortMS += t.BestEffortMS
		r.PacedDownMS += t.PacedDownMS
		r.KeptApart += t.KeptApart
		r.PenaltyOff = r.PenaltyOff || t.PenaltyOff
		for id, n := range apart[of] {
			effects[id].KeptApart += n
		}
	}
	r.ServingAboveShare = float64(r.AboveObjectiveMS) / float64(max(r.ServingMS, 1))
	r.PacedDownShare = float64(r.PacedDownMS) / float64(max(r.BestEffortMS, 1))
	for _, x := range effects {
		r.Effects = append(r.Effects, *x)
	}
	slices.SortFunc(r.Effects, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(b.Highest, a.Highest), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Beside, b.Beside))
	})
	return r
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table of the pairs and lines with the totals.
func (r *Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "serving\tbeside\trise\thighest\tkept apart")
	for _, x := range r.Effects {
		fmt.Fprintf(out, "%s\t%s\t%.2f\t%.2f\t%d\n", x.Serving, cmp.Or(x.Beside, "(tasks without image, finite tasks)"), x.Rise, x.Highest, x.KeptApart)
	}
	penalty := "on"
	if r.PenaltyOff {
		penalty = "off"
	}
	fmt.Fprintf(out, "\nserving: %.1f task-seconds, %.4f of them above the objective\n", float64(r.ServingMS)/1000, r.ServingAboveShare)
	fmt.Fprintf(out, "best effort: %.1f task-seconds, %.4f of them slowed down\n", float64(r.BestEffortMS)/1000, r.PacedDownShare)
	fmt.Fprintf(out, "placements kept apart: %d, penalty %s\n", r.KeptApart, penalty)
	return out.Flush()
}
