package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrRollout means that a ticket is not in effect on an entry host.
var ErrRollout = errors.New("capacity: ticket is not in effect")

// Size is the size of a measured fleet.
type Size struct {
	DataCentres  int `json:"data_centres"`
	EntriesPerDC int `json:"entries_per_dc"`
	HostsPerDC   int `json:"hosts_per_dc"`
	Teams        int `json:"teams"`
	// ChangesPerSecond is the rate at which tickets are submitted during the measurement. It is a maximum, because a
	// ticket is submitted only after the one before is in effect.
	ChangesPerSecond float64 `json:"changes_per_second"`
}

// Result is the cost of the control plane at one size. CPU is in cores and memory in bytes. Rates are for one entry
// host, except ReadsPerSecond and WritesPerSecond, which count the operations of the whole fleet on the platform.
type Result struct {
	Size
	// Means and maxima are over the entry hosts. The maximum is usually that of the leader.
	CPUMean         float64 `json:"cpu_mean"`
	CPUMax          float64 `json:"cpu_max"`
	MemoryMax       float64 `json:"memory_max_bytes"`
	HeapMax         float64 `json:"heap_max_bytes"`
	PeerMean        float64 `json:"peer_bytes_per_second_mean"`
	PeerMax         float64 `json:"peer_bytes_per_second_max"`
	PlatformMean    float64 `json:"platform_bytes_per_second_mean"`
	PlatformMax     float64 `json:"platform_bytes_per_second_max"`
	ReadsPerSecond  float64 `json:"platform_reads_per_second"`
	WritesPerSecond float64 `json:"platform_writes_per_second"`
	// RolloutMax is the longest time from acceptance until the ticket was in effect on all entry hosts.
	RolloutMax time.Duration `json:"rollout_max"`
	Rollouts   int           `json:"rollouts"`
}

// Options configures a measurement.
type Options struct {
	BinDir string
	// Settle is the time between the start of the fleet and the measurement, Window the length of the measurement.
	Settle time.Duration
	Window time.Duration
}

const (
	// startTimeout bounds the start of all processes of a fleet and the rollout of its declarations.
	startTimeout = 3 * time.Minute
	// rolloutTimeout bounds the wait until a ticket is in effect. It is four times the objective of 16 s.
	rolloutTimeout = 64 * time.Second
)

var services = []string{"s1", "s2", "s3", "s4", "s5", "s6"}

// Measure starts a fleet of the given size, measures its cost and ends it. After an error, the directory with
// settings and logs is kept.
func Measure(ctx context.Context, opts Options, size Size) (result Result, err error) {
	dir, err := os.MkdirTemp("", "tamarack-capacity-")
	if err != nil {
		return Result{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Options{
		BinDir: opts.BinDir, Dir: dir, DataCentres: dataCentres(size.DataCentres), EntriesPerDC: size.EntriesPerDC,
		VirtualPerDC: size.HostsPerDC, Teams: size.Teams, Services: services, MaxUnavailable: 1,
		ListLag: time.Second, RebootTime: time.Second, LogLevel: "warn",
	})
	if err != nil {
		return Result{}, err
	}
	defer func() {
		err = errors.Join(err, fleet.Close())
		if err == nil {
			err = os.RemoveAll(dir)
		}
	}()
	last, err := fleet.SubmitDeclarations(startCtx)
	if err != nil {
		return Result{}, err
	}
	if err := awaitFleetVersion(startCtx, fleet, last); err != nil {
		return Result{}, err
	}
	return measureWindow(ctx, fleet, opts, size)
}

// dataCentres returns the names of n data centres.
func dataCentres(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("dc%d", i+1)
	}
	return names
}

// awaitFleetVersion waits until all entry hosts report the fleet version or a later one.
func awaitFleetVersion(ctx context.Context, fleet *localfleet.Fleet, version uint64) error {
	for _, e := range fleet.Entries {
		err := localfleet.Poll(ctx, func() error {
			s, err := scrape(ctx, e)
			if err == nil && s.fleetVersion < float64(version) {
				err = errors.Wrapf(ErrRollout, "%s is at %g, want %d", e.ID, s.fleetVersion, version)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d or until ctx ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureWindow measures a running fleet over the window, after the time to settle.
func measureWindow(ctx context.Context, fleet *localfleet.Fleet, opts Options, size Size) (Result, error) {
	if err := sleep(ctx, opts.Settle); err != nil {
		return Result{}, err
	}
	before, err := scrapeAll(ctx, fleet)
	if err != nil {
		return Result{}, err
	}
	countersBefore, err := fleet.PlatformCounters()
	if err != nil {
		return Result{}, err
	}
	start := time.Now()
	result := Result{Size: size}
	if err := submitChanges(ctx, fleet, opts.Window, &result); err != nil {
		return Result{}, err
	}
	if err := sleep(ctx, opts.Window-time.Since(start)); err != nil {
		return Result{}, err
	}
	countersAfter, err := fleet.PlatformCounters()
	if err != nil {
		return Result{}, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := scrapeAll(ctx, fleet)
	if err != nil {
		return Result{}, err
	}
	result.setEntryCosts(before, after)
	result.setPlatformRates(countersBefore, countersAfter, elapsed)
	return result, nil
}

// scrapeAll returns a sample of each entry host.
func scrapeAll(ctx context.Context, fleet *localfleet.Fleet) ([]sample, error) {
	samples := make([]sample, len(fleet.Entries))
	for i, e := range fleet.Entries {
		var err error
		if samples[i], err = scrape(ctx, e); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// setEntryCosts sets the costs of the entry hosts from the samples before and after the window.
func (r *Result) setEntryCosts(before, after []sample) {
	n := float64(len(before))
	for i := range before {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cpu := (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		peer := (after[i].peerBytes - before[i].peerBytes) / seconds
		store := (after[i].platformBytes - before[i].platformBytes) / seconds
		r.CPUMean += cpu / n
		r.PeerMean += peer / n
		r.PlatformMean += store / n
		r.CPUMax, r.PeerMax, r.PlatformMax = max(r.CPUMax, cpu), max(r.PeerMax, peer), max(r.PlatformMax, store)
		r.MemoryMax, r.HeapMax = max(r.MemoryMax, after[i].memoryBytes), max(r.HeapMax, after[i].heapBytes)
	}
}

// setPlatformRates sets the rates of operations on the platform.
func (r *Result) setPlatformRates(before, after memory.Counters, seconds float64) {
	r.ReadsPerSecond = float64(after.Reads-before.Reads) / seconds
	r.WritesPerSecond = float64(after.Writes-before.Writes) / seconds
}

// submitChanges submits tickets during the window and measures how long each takes until it is in effect on all entry
// hosts. It waits for that before the next ticket, so the rate of the size is a maximum.
func submitChanges(ctx context.Context, fleet *localfleet.Fleet, window time.Duration, r *Result) error {
	if r.ChangesPerSecond <= 0 {
		return nil
	}
	client, err := fleet.OperatorClient()
	if err != nil {
		return err
	}
	start := time.Now()
	interval := time.Duration(float64(time.Second) / r.ChangesPerSecond)
	base := uint64(0)
	for i := 0; time.Since(start) < window; i++ {
		if err := sleep(ctx, time.Until(start.Add(time.Duration(i)*interval))); err != nil {
			return err
		}
		spec, err := json.Marshal(structs.Team{Name: "changing", MaxConcurrent: i + 1})
		if err != nil {
			return err
		}
		object := structs.TicketObject{Kind: structs.KindTeam, Name: "changing", Base: base, Spec: spec}
		if base, err = localfleet.Submit(ctx, client, "change a quota", object); err != nil {
			return err
		}
		accepted := time.Now()
		waitCtx, cancel := context.WithTimeout(ctx, rolloutTimeout)
		err = awaitFleetVersion(waitCtx, fleet, base)
		cancel()
		if err != nil {
			return err
		}
		r.RolloutMax = max(r.RolloutMax, time.Since(accepted))
		r.Rollouts++
	}
	return nil
}
