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

// ErrRollout means that a ticket did not come into effect.
var ErrRollout = errors.New("capacity: ticket is not in effect")

// Size is one measured configuration.
type Size struct {
	DataCentres  int `json:"data_centres"`
	EntriesPerDC int `json:"entries_per_dc"`
	HostsPerDC   int `json:"hosts_per_dc"`
	Teams        int `json:"teams"`
	// ChangesPerSecond is the rate of change tickets during the measurement.
	ChangesPerSecond float64 `json:"changes_per_second"`
}

// Result is the cost of the control plane at one size. Rates are for one entry host.
type Result struct {
	Size
	// Mean and maximum over the entry hosts; the maximum is usually the leader.
	CPUMean     float64 `json:"cpu_mean"`
	CPUMax      float64 `json:"cpu_max"`
	MemoryMax   float64 `json:"memory_max_bytes"`
	HeapMax     float64 `json:"heap_max_bytes"`
	PeerMean    float64 `json:"peer_bytes_per_second_mean"`
	PeerMax     float64 `json:"peer_bytes_per_second_max"`
	StoreMean   float64 `json:"platform_bytes_per_second_mean"`
	StoreMax    float64 `json:"platform_bytes_per_second_max"`
	ReadsTotal  float64 `json:"platform_reads_per_second"`
	WritesTotal float64 `json:"platform_writes_per_second"`
	// RolloutMax is the longest time from acceptance until the ticket was in effect on all entry hosts.
	RolloutMax time.Duration `json:"rollout_max"`
	Rollouts   int           `json:"rollouts"`
}

// Options configure a measurement.
type Options struct {
	BinDir string
	// Settle is the time between the start and the measurement, Window the measured time.
	Settle time.Duration
	Window time.Duration
}

const (
	// startTimeout bounds the start of all processes of one size.
	startTimeout = 3 * time.Minute
	// rolloutTimeout bounds the wait for one ticket; four times the objective of 16 s.
	rolloutTimeout = 64 * time.Second
)

var services = []string{"s1", "s2", "s3", "s4", "s5", "s6"}

// Measure starts a fleet of the given size, measures it and ends it.
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
	if err := awaitVersion(startCtx, fleet, last); err != nil {
		return Result{}, err
	}
	return observe(ctx, fleet, opts, size)
}

func dataCentres(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("dc%d", i+1)
	}
	return names
}

// awaitVersion waits until all entry hosts report the version.
func awaitVersion(ctx context.Context, fleet *localfleet.Fleet, version uint64) error {
	for _, e := range fleet.Entries {
		err := localfleet.Poll(ctx, func() error {
			s, err := scrape(ctx, e)
			if err == nil && s.version < float64(version) {
				err = errors.Wrapf(ErrRollout, "%s is at %g, want %d", e.ID, s.version, version)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// observe measures a running fleet over the window.
func observe(ctx context.Context, fleet *localfleet.Fleet, opts Options, size Size) (Result, error) {
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
	if err := change(ctx, fleet, opts.Window, &result); err != nil {
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
	result.summarize(before, after)
	result.platform(countersBefore, countersAfter, elapsed)
	return result, nil
}

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

func (r *Result) summarize(before, after []sample) {
	n := float64(len(before))
	for i := range before {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cpu := (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		peer := (after[i].peerBytes - before[i].peerBytes) / seconds
		store := (after[i].platformBytes - before[i].platformBytes) / seconds
		r.CPUMean += cpu / n
		r.PeerMean += peer / n
		r.StoreMean += store / n
		r.CPUMax, r.PeerMax, r.StoreMax = max(r.CPUMax, cpu), max(r.PeerMax, peer), max(r.StoreMax, store)
		r.MemoryMax, r.HeapMax = max(r.MemoryMax, after[i].memoryBytes), max(r.HeapMax, after[i].heapBytes)
	}
}

func (r *Result) platform(before, after memory.Counters, seconds float64) {
	r.ReadsTotal = float64(after.Reads-before.Reads) / seconds
	r.WritesTotal = float64(after.Writes-before.Writes) / seconds
}

// change submits tickets at the rate of the size and takes the time until each is in effect everywhere. A ticket is
// submitted after the one before is in effect, so the rate is a maximum.
func change(ctx context.Context, fleet *localfleet.Fleet, window time.Duration, r *Result) error {
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
		err = awaitVersion(waitCtx, fleet, base)
		cancel()
		if err != nil {
			return err
		}
		r.RolloutMax = max(r.RolloutMax, time.Since(accepted))
		r.Rollouts++
	}
	return nil
}
