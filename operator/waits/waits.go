// Package waits makes a report from the logs of a deployment's processes: for each window of time and each queue, how many jobs
// were on time, late, failed or rejected and what the late and failed ones waited for, and for each pool, how its machines were
// used. The logs are those that the packages frontend, scheduler and coordinator write.
package waits

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrInput means that the options are invalid, or that the logs cannot be read or have no line that the report is made of.
var ErrInput = errors.New("waits: invalid input")

const (
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// MaxReversalTime is the time after a move to standby within which a move out of it counts as its reversal: the only
	// effect of the pair is that the machine lost the time of two moves.
	MaxReversalTime = 5 * time.Second
	// expiredFactor times the objective is the time after which the result of a job is of no use any more.
	expiredFactor = 3
)

// Options configure Read.
type Options struct {
	// Window is the length of the windows, which must be positive. The first one starts at the first line that the report is made of.
	Window time.Duration
}

// Report sums the jobs by window and by queue, and counts what machines did.
type Report struct {
	Windows []Window      `json:"windows"`
	Queues  []JobStats    `json:"queues"`
	Orders  MachineOrders `json:"moves"`
	Pools   []PoolUsage   `json:"pools"`
	// Skipped counts the lines that are neither empty nor log lines, for example because they are cut. Dropped sums the lines that
	// processes did not write because too many were waiting.
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
}

// Window sums the jobs that were accepted or rejected within Options.Window from Start on.
type Window struct {
	Start time.Time `json:"from"`
	JobStats
}

// JobStats counts jobs by their outcome. Queue is empty for a window.
type JobStats struct {
	Queue    string `json:"queue,omitempty"`
	Accepted int    `json:"accepted"`
	Rejected int    `json:"rejected"`
	// OnTime, Late and Expired jobs completed within the objective, within expiredFactor times the objective, and after that.
	OnTime    int `json:"on_time"`
	Late      int `json:"late"`
	Expired   int `json:"expired"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Open counts accepted jobs that have no line about their end in the logs.
	Open int `json:"open"`
	// Waits holds the time in milliseconds that late, expired and failed jobs waited, by cause and summed over these jobs. Its
	// entry "start" sums the slowest start of a task of each job, and its entry "retries" is a number of retries, not a time.
	Waits map[string]int64 `json:"waits_ms"`
}

// MachineOrders counts the orders to move or maintain a machine. FromStandby and ToStandby are moves out of and into the standby
// pool, Reversed are those FromStandby that came within MaxReversalTime of the move into it, and BetweenPools are all other moves.
type MachineOrders struct {
	FromStandby  int `json:"out"`
	ToStandby    int `json:"back"`
	Reversed     int `json:"reversed"`
	BetweenPools int `json:"between"`
	Maintenance  int `json:"upkeep"`
}

// PoolUsage is the time that the machines of a pool spent in each state, in machine-seconds.
type PoolUsage struct {
	Pool        string  `json:"pool"`
	Busy        float64 `json:"busy"`
	Idle        float64 `json:"idle"`
	Arriving    float64 `json:"coming"`
	Maintenance float64 `json:"upkeep"`
	Standby     float64 `json:"standby"`
}

// logLine is a line of a log. Its fields are decoded without a type, so numbers are of type float64.
type logLine struct {
	Fields    map[string]any `json:"fields"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// stringField returns a field, or an empty string if it is absent or no string.
func (l *logLine) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// intField returns a field without its fraction, or 0 if it is absent or no number.
func (l *logLine) intField(name string) int64 {
	n, _ := l.Fields[name].(float64)
	return int64(n)
}

// job is what the logs say about one job. Times are zero and endLine is nil if the logs have no such line.
type job struct {
	queue                  string
	acceptedAt, rejectedAt time.Time
	endLine                *logLine
}

// Read makes a report from the logs of one or more processes, given in any order. Text before the JSON object of a line is
// ignored.
func Read(opts Options, logs ...io.Reader) (*Report, error) {
	if opts.Window <= 0 {
		return nil, errors.Wrap(ErrInput, "the window must be longer than 0 s")
	}
	r := &logReader{jobs: make(map[string]*job), sentToStandbyAt: make(map[string]time.Time), pools: make(map[string]*usageSum)}
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(make([]byte, 0, maxLine), maxLine)
		for s.Scan() {
			r.parseLine(s.Bytes())
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(ErrInput, err.Error())
		}
	}
	if len(r.lines) == 0 {
		return nil, errors.Wrap(ErrInput, "the logs have no line about a job or machine")
	}
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].Timestamp.Before(r.lines[b].Timestamp) })
	for i := range r.lines {
		r.process(&r.lines[i])
	}
	return r.report(opts), nil
}

// logReader collects what the logs say about jobs and machines. Read parses all lines, then processes them in order of time.
type logReader struct {
	lines   []logLine
	skipped int
	dropped int
	jobs    map[string]*job
	orders  MachineOrders
	// sentToStandbyAt holds the time at which each machine was sent to standby, until it is moved elsewhere.
	sentToStandbyAt map[string]time.Time
	pools           map[string]*usageSum
}

// usageSum is the usage of a pool up to the last line about its machines.
type usageSum struct {
	lastLine logLine
	PoolUsage
}

// relevantMessages are the log messages that the report is made of. They are written by other packages and must match theirs.
var relevantMessages = map[string]bool{
	"job accepted": true, "job completed": true, "job failed": true, "job cancelled": true, "machine planned": true, "machines of a pool": true,
	"job rejected, it cannot be stored": true, "job rejected, its queue is closed": true,
}

// droppedMessage is the message of the lines that say how many lines a process dropped.
const droppedMessage = "log lines dropped"

// parseLine keeps a line if it is relevant, and counts it as skipped if it is no log line. A line about dropped ones has no time.
func (r *logReader) parseLine(text []byte) {
	if len(bytes.TrimSpace(text)) == 0 {
		return
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		r.skipped++
		return
	}
	var l logLine
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Message == "" {
		r.skipped++
		return
	}
	switch {
	case l.Message == droppedMessage:
		r.dropped += int(l.intField("count"))
	case relevantMessages[l.Message]:
		r.lines = append(r.lines, l)
	}
}

// process counts one line. The lines must come in order of time.
func (r *logReader) process(l *logLine) {
	switch {
	case l.Message == "machine planned":
		r.processMachineOrder(l)
	case l.Message == "machines of a pool":
		r.processPoolUsage(l)
	case l.Message == "job accepted":
		j := r.findOrAddJob(l.stringField("job"))
		if j.acceptedAt.IsZero() {
			j.acceptedAt, j.queue = l.Timestamp, l.stringField("queue")
		}
	case strings.HasPrefix(l.Message, "job rejected"):
		j := r.findOrAddJob(l.stringField("job"))
		j.rejectedAt, j.queue = l.Timestamp, l.stringField("queue")
	default:
		r.findOrAddJob(l.stringField("subject")).endLine = l
	}
}

// findOrAddJob returns the job with an id and adds it on first use.
func (r *logReader) findOrAddJob(id string) *job {
	if r.jobs[id] == nil {
		r.jobs[id] = &job{}
	}
	return r.jobs[id]
}

// processMachineOrder counts an order for a machine. Moves into and out of standby are told from other moves by the reason and by
// the machine's earlier moves, because the line does not say which pool is the standby pool.
func (r *logReader) processMachineOrder(l *logLine) {
	machine := l.stringField("machine")
	switch {
	case l.stringField("action") == "upkeep":
		r.orders.Maintenance++
	case l.stringField("action") != "move":
	case l.stringField("reason") == "machine is idle":
		r.orders.ToStandby++
		r.sentToStandbyAt[machine] = l.Timestamp
	default:
		sentAt, inStandby := r.sentToStandbyAt[machine]
		switch {
		case inStandby && l.Timestamp.Sub(sentAt) <= MaxReversalTime:
			r.orders.FromStandby++
			r.orders.Reversed++
		case strings.Contains(l.stringField("reason"), "standby"):
			r.orders.FromStandby++
		default:
			r.orders.BetweenPools++
		}
		delete(r.sentToStandbyAt, machine)
	}
}

// processPoolUsage adds the usage since the last line about a pool and keeps the new line as the last.
func (r *logReader) processPoolUsage(l *logLine) {
	name := l.stringField("pool")
	usage := r.pools[name]
	if usage == nil {
		usage = &usageSum{PoolUsage: PoolUsage{Pool: name}}
		r.pools[name] = usage
	} else {
		usage.add(l.Timestamp.Sub(usage.lastLine.Timestamp))
	}
	usage.lastLine = *l
}

// add adds a time during which the machines were in the states that the last line gives.
func (u *usageSum) add(d time.Duration) {
	s := d.Seconds()
	u.Busy += s * float64(u.lastLine.intField("busy"))
	u.Idle += s * float64(u.lastLine.intField("idle"))
	u.Arriving += s * float64(u.lastLine.intField("coming"))
	u.Maintenance += s * float64(u.lastLine.intField("upkeep"))
	u.Standby += s * float64(u.lastLine.intField("standby"))
}
