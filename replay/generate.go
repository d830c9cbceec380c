package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Scenarios returns the names of the scenarios that Generate knows.
func Scenarios() []string {
	return []string{"steady", "rotating", "rackloss", "wave", "outage", "wrong", "cancel"}
}

// ErrScenario means that a scenario is not one of Scenarios.
var ErrScenario = errors.New("replay: unknown scenario")

// GenerateOptions describe a trace. The zero value of every field but Scenario is valid.
type GenerateOptions struct {
	Scenario string
	Seed     uint64
	// Duration is the length of the trace; 0 means 50 s.
	Duration time.Duration
	// Services, HostsPerPool and SpareHosts are the size of the fleet; 0 means 5, 4 and 4.
	Services, HostsPerPool, SpareHosts int
	// BurstTime is how long each service bursts before the next one; 0 means 10 s.
	BurstTime time.Duration
}

const (
	// meanLoadShare is the mean load of a pool as a share of its slots. A burst, at five times the mean, exceeds the pool.
	meanLoadShare = 0.44
	// burstFactor and idleFactor are the load in and between bursts, in units of the mean.
	burstFactor = 5
	idleFactor  = 1.0 / 20
	// meanRunMS is the mean run time of urgent requests, meanBatchMS that of batch jobs.
	meanRunMS   = 1000
	meanBatchMS = 15000
	// batchShare is the batch work that arrives, as a share of all host time.
	batchShare = 0.3
	// misdeclareFactor is the largest ratio between declared and actual values, in either direction, in the scenario
	// "wrong".
	misdeclareFactor = 4
	// oversizedCores is a number of cores that no host has.
	oversizedCores = 64
)

func (o *GenerateOptions) setDefaults() {
	if o.Duration == 0 {
		o.Duration = 50 * time.Second
	}
	if o.Services == 0 {
		o.Services = 5
	}
	if o.HostsPerPool == 0 {
		o.HostsPerPool = 4
	}
	if o.SpareHosts == 0 {
		o.SpareHosts = 4
	}
	if o.BurstTime == 0 {
		o.BurstTime = 10 * time.Second
	}
}

// generator is the state of one Generate call.
type generator struct {
	opts  GenerateOptions
	rng   *rand.Rand
	trace *Trace
}

// Generate returns the trace of a scenario. The same options give the same trace. It returns ErrScenario if the scenario
// is not one of Scenarios.
func Generate(opts GenerateOptions) (*Trace, error) {
	if !slices.Contains(Scenarios(), opts.Scenario) {
		return nil, errors.Wrap(ErrScenario, opts.Scenario)
	}
	opts.setDefaults()
	g := &generator{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), trace: &Trace{}}
	g.setHeader()
	for i := range opts.Services {
		g.addUrgent(i)
	}
	g.addBatch()
	g.addEvents()
	slices.SortStableFunc(g.trace.Records, func(a, b Record) int { return int(a.AtMS - b.AtMS) })
	return g.trace, nil
}

func (g *generator) setHeader() {
	fleet := Fleet{
		HostsPerPool: g.opts.HostsPerPool, SpareHosts: g.opts.SpareHosts, RackSize: 4, Slots: structs.DefaultSlots, Cores: 16,
		DeclaredRunMS: meanRunMS, RebootMS: 5000,
	}
	for i := range g.opts.Services {
		fleet.Services = append(fleet.Services, fmt.Sprintf("s%d", i))
	}
	if g.opts.Scenario == "wrong" {
		fleet.DeclaredRunMS = meanRunMS * misdeclareFactor
	}
	command := fmt.Sprintf("tamarack-replay generate --scenario %s --seed %d --duration %s --services %d --hosts %d --spare %d --burst %s",
		g.opts.Scenario, g.opts.Seed, g.opts.Duration, g.opts.Services, g.opts.HostsPerPool, g.opts.SpareHosts, g.opts.BurstTime)
	g.trace.Header = Header{
		Command: command, Scenario: g.opts.Scenario, Seed: g.opts.Seed, DurationMS: g.opts.Duration.Milliseconds(), Fleet: fleet,
	}
}

// loadFactor returns the load of a service at a time, in units of its mean.
func (g *generator) loadFactor(service int, atMS int64) float64 {
	if g.opts.Scenario == "steady" {
		return 1
	}
	if int(atMS/g.opts.BurstTime.Milliseconds())%g.opts.Services == service {
		return burstFactor
	}
	return idleFactor
}

// addUrgent adds the urgent requests of a service as Poisson arrivals whose rate follows loadFactor, by thinning a
// process with the rate of a burst.
func (g *generator) addUrgent(service int) {
	fleet := &g.trace.Header.Fleet
	mean := meanLoadShare * float64(fleet.HostsPerPool*fleet.Slots) / meanRunMS
	at := 0.0
	for {
		at += g.rng.ExpFloat64() / (mean * burstFactor)
		if int64(at) >= g.trace.Header.DurationMS {
			return
		}
		run := g.drawRunMS(meanRunMS)
		if g.rng.Float64()*burstFactor >= g.loadFactor(service, int64(at)) {
			continue
		}
		g.addRecord(Record{AtMS: int64(at), Service: fleet.Services[service], Team: g.drawTeam(), RunMS: run})
	}
}

// drawRunMS draws a log-normal run time with the given mean and limits it to a factor of three around the mean.
func (g *generator) drawRunMS(mean float64) int64 {
	const sigma = 0.35
	x := math.Exp(g.rng.NormFloat64()*sigma - sigma*sigma/2)
	return int64(mean * min(3, max(1.0/3, x)))
}

func (g *generator) drawTeam() string { return fmt.Sprintf("t%d", g.rng.IntN(8)) }

func (g *generator) addRecord(r Record) { g.trace.Records = append(g.trace.Records, r) }

// addBatch adds batch jobs as Poisson arrivals. On average their work is batchShare of the host time.
func (g *generator) addBatch() {
	fleet := &g.trace.Header.Fleet
	hosts := float64(len(fleet.Services)*fleet.HostsPerPool + fleet.SpareHosts)
	// Jobs use 4, 8 or 16 cores with equal probability.
	const meanCores = 28.0 / 3
	rate := batchShare * hosts * float64(fleet.Cores) / (meanCores * meanBatchMS)
	for at := g.rng.ExpFloat64() / rate; int64(at) < g.trace.Header.DurationMS; at += g.rng.ExpFloat64() / rate {
		cores := 4 << g.rng.IntN(3)
		r := Record{
			AtMS: int64(at), Kind: KindBatch, Service: fleet.Services[g.rng.IntN(len(fleet.Services))], Team: g.drawTeam(),
			RunMS: g.drawRunMS(meanBatchMS), Cores: cores, DeclaredCores: cores, Checkpointable: g.rng.IntN(4) > 0,
		}
		r.DeclaredMS = r.RunMS
		if g.opts.Scenario == "wrong" {
			g.misdeclare(&r)
		}
		g.addRecord(r)
	}
}

// misdeclare makes the declared run time and cores of a job too large or too small. One job in 20 declares more cores
// than any host has.
func (g *generator) misdeclare(r *Record) {
	r.DeclaredMS = int64(float64(r.RunMS) * math.Pow(misdeclareFactor, 2*g.rng.Float64()-1))
	r.DeclaredCores = min(16, max(1, int(float64(r.Cores)*math.Pow(misdeclareFactor, 2*g.rng.Float64()-1))))
	if g.rng.IntN(20) == 0 {
		r.DeclaredCores = oversizedCores
	}
}

// addEvents adds the rack losses, table outages, cancellations or the wave of the scenario. Rack losses and
// cancellations fall in a burst; an outage begins shortly before one and ends in it.
func (g *generator) addEvents() {
	burst := g.opts.BurstTime.Milliseconds()
	at := burst * 2
	for ; at < g.trace.Header.DurationMS; at += burst * int64(g.opts.Services+1) {
		inBurst := at + burst/4
		switch g.opts.Scenario {
		case "rackloss":
			// Two racks behind one switch fail together.
			for i := range 2 {
				g.addRecord(Record{AtMS: inBurst, Kind: KindRackLost, Rack: rackName(i)})
				g.addRecord(Record{AtMS: inBurst + 2*burst, Kind: KindRackBack, Rack: rackName(i)})
			}
		case "outage":
			g.addRecord(Record{AtMS: at - burst/8, Kind: KindOutageStart})
			g.addRecord(Record{AtMS: inBurst + burst/2, Kind: KindOutageEnd})
		case "cancel":
			g.addRecord(Record{AtMS: inBurst, Kind: KindCancel, Percent: 70})
		}
	}
	if g.opts.Scenario == "wave" {
		g.addRecord(Record{AtMS: burst / 2, Kind: KindWave})
	}
}

func rackName(i int) string { return fmt.Sprintf("r%02d", i) }
