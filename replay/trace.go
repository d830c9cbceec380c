// Package replay simulates a fleet under a recorded trace of requests, batch
// jobs and failures, in virtual time. It compares the move policies of package
// planner with baselines and with bounds that no policy can beat. Only decisions
// are simulated: there is no network and no process.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"

	"github.com/go-faster/errors"
)

// ErrTrace means that a trace is malformed or not ordered by time.
var ErrTrace = errors.New("replay: malformed trace")

// Kind is the kind of event that a record describes.
type Kind string

// Kinds of records. The empty kind is an urgent request, the most frequent record. KindOutageStart and KindOutageEnd
// delimit an outage of the table.
const (
	KindUrgent      Kind = ""
	KindBatch       Kind = "batch"
	KindRackLost    Kind = "rack_lost"
	KindRackBack    Kind = "rack_back"
	KindWave        Kind = "wave"
	KindOutageStart Kind = "outage_start"
	KindOutageEnd   Kind = "outage_end"
	KindCancel      Kind = "cancel"
)

// Record is one line of a trace after the header. Its JSON names are short because a trace has many lines.
type Record struct {
	// AtMS is the time since the start of the trace, in milliseconds.
	AtMS int64 `json:"t"`
	Kind Kind  `json:"k,omitempty"`
	// Service, Team and RunMS are set for urgent requests and batch jobs. RunMS is the actual run time, of a batch job
	// at full speed.
	Service string `json:"s,omitempty"`
	Team    string `json:"g,omitempty"`
	RunMS   int64  `json:"r,omitempty"`
	// DeadlineMS is how long an urgent request may wait for its start; 0 means the urgent start limit.
	DeadlineMS int64 `json:"d,omitempty"`
	// DeclaredMS and DeclaredCores are the run time and the cores that a batch job declares. Cores is the number of cores
	// that it uses.
	DeclaredMS    int64 `json:"dr,omitempty"`
	DeclaredCores int   `json:"dc,omitempty"`
	Cores         int   `json:"c,omitempty"`
	// Checkpointable says whether a batch job can checkpoint.
	Checkpointable bool `json:"ck,omitempty"`
	// Rack is the rack of a KindRackLost or KindRackBack record.
	Rack string `json:"rack,omitempty"`
	// Percent is the share of waiting requests and unfinished jobs that a KindCancel record cancels.
	Percent int `json:"pct,omitempty"`
}

// Fleet is the fleet of a trace: one pool for each service and a spare pool.
type Fleet struct {
	Services []string `json:"services"`
	// HostsPerPool is the number of hosts in the pool of each service, SpareHosts that in the spare pool, and RackSize
	// that in a rack.
	HostsPerPool int `json:"hosts_per_pool"`
	SpareHosts   int `json:"spare_hosts"`
	RackSize     int `json:"rack_size"`
	// Slots is the number of requests that a host executes at once, Cores the number of its cores.
	Slots int `json:"slots"`
	Cores int `json:"cores"`
	// DeclaredRunMS is the declared mean run time of urgent requests.
	DeclaredRunMS int64 `json:"declared_run_ms"`
	// RebootMS is how long a host is out of service for a reboot.
	RebootMS int64 `json:"reboot_ms"`
}

// Header is the first line of a trace.
type Header struct {
	// Command is the command line that generates this trace.
	Command    string `json:"command"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	Fleet      Fleet  `json:"fleet"`
}

// Trace is a header and records ordered by time.
type Trace struct {
	Header  Header
	Records []Record
}

// Write writes a trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return errors.Wrap(err, "write header")
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return errors.Wrap(err, "write record")
		}
	}
	return buffered.Flush()
}

// Read reads a trace written by Write. It returns ErrTrace if the trace is malformed or not ordered by time.
func Read(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	t := &Trace{}
	if err := decoder.Decode(&t.Header); err != nil {
		return nil, errors.Wrapf(ErrTrace, "header: %v", err)
	}
	for {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrapf(ErrTrace, "record %d: %v", len(t.Records)+1, err)
		}
		t.Records = append(t.Records, record)
	}
	if !slices.IsSortedFunc(t.Records, func(a, b Record) int { return int(a.AtMS - b.AtMS) }) {
		return nil, errors.Wrap(ErrTrace, "records are not ordered by time")
	}
	return t, nil
}
