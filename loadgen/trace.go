// Package loadgen generates request traces, sends them to the caller APIs of
// entry hosts, records the outcome of every request, and checks the outcomes
// against the executions that the targets recorded.
package loadgen

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Errors for invalid input.
var (
	// ErrTrace means that a trace cannot be read or written.
	ErrTrace = errors.New("loadgen: malformed trace")
	// ErrOptions means that a required option of a Demand is missing or not positive.
	ErrOptions = errors.New("loadgen: invalid options")
)

// Arrival is one request of a trace, stored as one JSON line.
type Arrival struct {
	// AtMS is the time of arrival in milliseconds after the start of the trace.
	AtMS       int64            `json:"at_ms"`
	Service    string           `json:"service"`
	Priority   structs.Priority `json:"priority"`
	Idempotent bool             `json:"idempotent"`
	// Keyed sends an idempotency key with the request. All attempts of the request use the same key.
	Keyed bool `json:"keyed"`
	// RunMS is how long the target executes the request, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// DeadlineMS is the time from arrival to the deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Team is sent in the header Tamarack-Team unless it is empty.
	Team string `json:"team,omitempty"`
}

// Demand describes a load with rotating bursts. The services take turns: each one receives requests at BurstFactor
// times MeanRate for BurstTime, and at IdleFactor times MeanRate while the other services have their turns.
type Demand struct {
	Services []string
	// MeanRate is the rate of each service, in requests per second, that BurstFactor and IdleFactor multiply.
	MeanRate    float64
	BurstFactor float64
	IdleFactor  float64
	BurstTime   time.Duration
	// Length is the length of the trace.
	Length time.Duration
	// RunTime is the mean run time of a request. Run times are exponentially distributed.
	RunTime time.Duration
	// Deadline is the time from the arrival of a request to its deadline.
	Deadline time.Duration
	// BatchShare and NonIdempotentShare are shares of all requests, KeyedShare is a share of the non-idempotent
	// requests. All three are between 0 and 1.
	BatchShare         float64
	NonIdempotentShare float64
	KeyedShare         float64
	Seed               uint64
}

// Generate returns the arrivals of a demand, ordered by time. Equal demands, Seed included, give equal arrivals. It
// returns ErrOptions if a required field of the demand is missing or not positive.
func Generate(d Demand) ([]Arrival, error) {
	if len(d.Services) == 0 || d.MeanRate <= 0 || d.BurstTime <= 0 || d.Length <= 0 {
		return nil, errors.Wrap(ErrOptions, "services, mean rate, burst time and length must be set")
	}
	rng := rand.New(rand.NewPCG(d.Seed, 0))
	var arrivals []Arrival
	for i, service := range d.Services {
		arrivals = append(arrivals, d.serviceArrivals(rng, i, service)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].AtMS < arrivals[j].AtMS })
	return arrivals, nil
}

// serviceArrivals draws the arrivals of one service from a Poisson process whose rate changes at burst boundaries.
func (d Demand) serviceArrivals(rng *rand.Rand, index int, service string) []Arrival {
	var arrivals []Arrival
	peakRate := d.MeanRate * max(d.BurstFactor, d.IdleFactor)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= d.Length {
			return arrivals
		}
		// Thinning: candidates arrive at the peak rate, and each is accepted with probability current rate / peak rate.
		if rng.Float64()*peakRate < d.rateAt(index, at) {
			arrivals = append(arrivals, d.drawArrival(rng, at, service))
		}
	}
}

// rateAt returns the rate, in requests per second, of the service with the given index.
func (d Demand) rateAt(index int, at time.Duration) float64 {
	if int(at/d.BurstTime)%len(d.Services) == index {
		return d.MeanRate * d.BurstFactor
	}
	return d.MeanRate * d.IdleFactor
}

// drawArrival draws the properties of a request that arrives at the given time.
func (d Demand) drawArrival(rng *rand.Rand, at time.Duration, service string) Arrival {
	a := Arrival{
		AtMS: at.Milliseconds(), Service: service, Priority: structs.PriorityUrgent, Idempotent: true,
		RunMS:      max(1, int64(rng.ExpFloat64()*float64(d.RunTime.Milliseconds()))),
		DeadlineMS: d.Deadline.Milliseconds(),
	}
	if rng.Float64() < d.BatchShare {
		a.Priority = structs.PriorityBatch
	}
	if rng.Float64() < d.NonIdempotentShare {
		a.Idempotent = false
		a.Keyed = rng.Float64() < d.KeyedShare
	}
	return a
}

// WriteTrace writes arrivals as JSON lines.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	encoder := json.NewEncoder(w)
	for _, a := range arrivals {
		if err := encoder.Encode(a); err != nil {
			return errors.Wrap(ErrTrace, err.Error())
		}
	}
	return nil
}

// ReadTrace reads arrivals written by WriteTrace. It returns ErrTrace with the line number if a line is not valid JSON,
// names no service or has a negative time.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var a Arrival
		if err := json.Unmarshal(scanner.Bytes(), &a); err != nil {
			return nil, errors.Wrapf(ErrTrace, "line %d: %s", line, err)
		}
		if a.Service == "" || a.AtMS < 0 || a.RunMS < 0 || a.DeadlineMS < 0 {
			return nil, errors.Wrapf(ErrTrace, "line %d: service is empty or a time is negative", line)
		}
		arrivals = append(arrivals, a)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(ErrTrace, err.Error())
	}
	return arrivals, nil
}
