// Package drainer executes maintenance waves: rack by rack, hosts are drained, rebooted and returned to service.
//
// The state of a wave is held in the phases of its hosts and in its progress row, so that a new leader can continue it.
// Run is one pass of bounded duration; the caller repeats it while it leads.
package drainer

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// ReasonPrefix precedes the name of the wave in the reason of an assignment.
	ReasonPrefix = "wave/"
	// PassTimeout bounds one pass, and thereby how long an entry host that does not release one host delays the others.
	PassTimeout = 10 * time.Second
	// hostTimeWeight is the weight of a new observation in the mean time that a host is out.
	hostTimeWeight = 0.25
)

// ErrRetry means that a call to the platform failed or that another leader wrote the progress. The next pass retries.
var ErrRetry = errors.New("drainer: retry later")

// Members is the part of package membership that waves use.
type Members interface {
	Drain(ctx context.Context, host, reason string) (membership.Drained, error)
	SetRebooting(ctx context.Context, d membership.Drained) (structs.Assignment, error)
	Return(ctx context.Context, host, reason string) error
}

// Snapshots supplies the state from which exits are planned.
type Snapshots interface {
	PlannerSnapshot() planner.Snapshot
}

// Tasks lists the tasks on the workers of a data centre.
type Tasks interface {
	Tasks(ctx context.Context, dataCentre string) ([]cloud.Task, error)
}

// Options configure a Drainer.
type Options struct {
	Table       cloud.Table
	Hosts       cloud.HostList
	Maintenance cloud.Maintenance
	// Tasks may be nil if no jobs run on the hosts.
	Tasks      Tasks
	DataCentre string
	Leadership membership.Leadership
	Members    Members
	Snapshots  Snapshots
	// Now is the clock for estimates; nil means time.Now.
	Now func() time.Time
	Log log.Interface
}

// Drainer executes waves. Run may be called at the same time for different waves.
type Drainer struct {
	opts Options
}

// New returns a Drainer.
func New(opts Options) *Drainer {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &Drainer{opts: opts}
}

// ProgressPrefix returns the prefix of the keys of the progress rows of a data centre. The name of the wave follows.
func ProgressPrefix(dataCentre string) string { return "wave/" + dataCentre + "/" }

// pass is the state of one pass of a wave.
type pass struct {
	lease    leader.Lease
	wave     structs.Wave
	progress structs.WaveProgress
	// version is the version of the progress row that was read, 0 if there was none.
	version uint64
	// assignments and hostStates are the assignments and the host list that were read, by host.
	assignments map[string]structs.Assignment
	// out lists the assignments of hosts that are draining or rebooting for this wave.
	out        []structs.Assignment
	hostStates map[string]structs.HostState
	plan       planner.WavePlan
	// overBudget is true for pools with more unavailable hosts than their disruption budget allows.
	overBudget map[string]bool
}

// Run advances a wave by one pass. Errors of single hosts are joined.
func (d *Drainer) Run(ctx context.Context, wave structs.Wave) error {
	ctx, cancel := context.WithTimeout(ctx, PassTimeout)
	defer cancel()
	p, err := d.readState(ctx, wave)
	if err != nil || p.progress.State == structs.WaveDone {
		return err
	}
	returned := d.returnedHosts(p)
	d.planExits(p, returned)
	if err := d.writeProgress(ctx, p); err != nil {
		return err
	}
	// The progress is written before hosts return, so that a leader that takes over does not reboot them again.
	var errs []error
	for _, host := range returned {
		errs = append(errs, d.opts.Members.Return(ctx, host, "maintained"))
	}
	return errors.Join(append(errs, d.advance(ctx, p, returned))...)
}

// readState reads the progress of the wave, the assignments and the host list.
func (d *Drainer) readState(ctx context.Context, wave structs.Wave) (*pass, error) {
	lease, ok := d.opts.Leadership.Lead()
	if !ok {
		return nil, membership.ErrNotLeader
	}
	p := &pass{lease: lease, wave: wave, hostStates: make(map[string]structs.HostState), overBudget: make(map[string]bool), assignments: make(map[string]structs.Assignment)}
	row, err := d.opts.Table.Get(ctx, ProgressPrefix(d.opts.DataCentre)+wave.Name)
	switch {
	case errors.Is(err, cloud.ErrNotFound):
		p.progress = structs.WaveProgress{Name: wave.Name, DataCentre: d.opts.DataCentre, StartedUnixMS: d.opts.Now().UnixMilli()}
	case err != nil:
		return nil, errors.Wrapf(ErrRetry, "read progress: %v", err)
	default:
		p.version = row.Version
		if err := json.Unmarshal(row.Value, &p.progress); err != nil {
			return nil, errors.Wrap(err, "decode progress")
		}
	}
	assignments, err := membership.Assignments(ctx, d.opts.Table, d.opts.DataCentre)
	if err != nil {
		return nil, err
	}
	for _, a := range assignments {
		p.assignments[a.Host] = a
		if a.Reason == ReasonPrefix+wave.Name && (a.Phase == structs.PhaseDraining || a.Phase == structs.PhaseRebooting) {
			p.out = append(p.out, a)
		}
	}
	states, err := d.opts.Hosts.Hosts(ctx, d.opts.DataCentre)
	if err != nil {
		return nil, errors.Wrapf(ErrRetry, "read host list: %v", err)
	}
	for _, s := range states {
		p.hostStates[s.Name] = s
	}
	return p, nil
}

// returnedHosts returns the rebooting hosts that the host list shows as live with a newer incarnation.
func (d *Drainer) returnedHosts(p *pass) []string {
	var returned []string
	for _, a := range p.out {
		s := p.hostStates[a.Host]
		if a.Phase == structs.PhaseRebooting && s.Live && s.Incarnation > a.Incarnation {
			returned = append(returned, a.Host)
		}
	}
	return returned
}

// planExits plans the exits and updates the progress, without writing it.
func (d *Drainer) planExits(p *pass, returned []string) {
	now := d.opts.Now()
	for _, host := range returned {
		p.recordReturn(host, now)
	}
	s := d.opts.Snapshots.PlannerSnapshot()
	p.applyTo(&s)
	done := make(map[string]bool, len(p.progress.Done))
	for _, host := range p.progress.Done {
		done[host] = true
	}
	s.Waves = []planner.Wave{{
		Wave: p.wave, Started: time.UnixMilli(p.progress.StartedUnixMS), Done: done,
		HostTime: time.Duration(p.progress.HostTimeMS) * time.Millisecond,
	}}
	p.plan = planner.NextExits(s, now)[0]
	p.progress.Total = len(p.progress.Done) + p.plan.Remaining
	p.progress.State, p.progress.Reason = structs.WaveRunning, p.plan.Waiting
	p.progress.EndUnixMS = 0
	switch {
	case p.plan.Remaining == 0 && len(p.out) == len(returned):
		p.progress.State, p.progress.Reason = structs.WaveDone, ""
		return
	case p.plan.Waiting != "":
		p.progress.State = structs.WaveWaiting
	}
	if !p.plan.End.IsZero() {
		p.progress.EndUnixMS = p.plan.End.UnixMilli()
	}
}

// applyTo updates a snapshot, which may lag, with the assignments and the host list that were just read, and records
// the pools whose disruption budget is exceeded.
func (p *pass) applyTo(s *planner.Snapshot) {
	unavailable := make(map[string]int)
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if a, ok := p.assignments[h.Name]; ok {
			h.Phase, h.Pool, h.NextPool = a.Phase, a.Pool, a.NextPool
		}
		state, ok := p.hostStates[h.Name]
		h.Live = ok && state.Live
		h.Leaving = h.Leaving || state.Leaving
		if h.Phase != structs.PhaseActive || !h.Live || h.Leaving {
			unavailable[h.Pool]++
		}
	}
	for _, pool := range s.Pools {
		p.overBudget[pool.Name] = unavailable[pool.Name] > pool.MaxUnavailable
	}
}

// recordReturn marks a host as done and updates the mean time that a host is out.
func (p *pass) recordReturn(host string, now time.Time) {
	if !slices.Contains(p.progress.Done, host) {
		p.progress.Done = append(p.progress.Done, host)
		slices.Sort(p.progress.Done)
	}
	if since, ok := p.progress.Out[host]; ok {
		observed := float64(now.UnixMilli() - since)
		if mean := float64(p.progress.HostTimeMS); mean > 0 {
			observed = mean + hostTimeWeight*(observed-mean)
		}
		p.progress.HostTimeMS = int64(max(observed, 1))
		delete(p.progress.Out, host)
	}
}

// writeProgress writes the progress under the fence of the lease. The hosts that are about to leave are recorded in it
// before they leave.
func (d *Drainer) writeProgress(ctx context.Context, p *pass) error {
	if p.progress.Out == nil {
		p.progress.Out = make(map[string]int64)
	}
	for _, e := range p.plan.Exits {
		if _, ok := p.progress.Out[e.Host]; !ok {
			p.progress.Out[e.Host] = d.opts.Now().UnixMilli()
		}
	}
	value, err := json.Marshal(p.progress)
	if err != nil {
		return errors.Wrap(err, "encode progress")
	}
	key := ProgressPrefix(d.opts.DataCentre) + p.wave.Name
	_, err = d.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{p.lease.Fence, {Key: key, Version: p.version}},
		Ops:           []cloud.Op{{Key: key, Value: value}},
	})
	if err != nil {
		return errors.Wrapf(ErrRetry, "write progress: %v", err)
	}
	return nil
}

// advance concurrently advances the hosts that are out for the wave or leave now, each as far as possible. Draining
// hosts of a pool whose disruption budget is exceeded return to service.
func (d *Drainer) advance(ctx context.Context, p *pass, returned []string) error {
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	run := func(step func() error) {
		wg.Go(func() {
			if err := step(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	for _, a := range p.out {
		switch {
		case slices.Contains(returned, a.Host):
		case a.Phase == structs.PhaseRebooting:
			run(func() error { return d.reboot(ctx, a) })
		case p.overBudget[a.Pool]:
			run(func() error { return d.opts.Members.Return(ctx, a.Host, "unplanned loss in the pool") })
		default:
			run(func() error { return d.drainAndReboot(ctx, p, a.Host) })
		}
	}
	for _, e := range p.plan.Exits {
		run(func() error { return d.drainAndReboot(ctx, p, e.Host) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// drainAndReboot drains a host and, once its tasks have ended, starts its reboot. While tasks are running it returns nil,
// and the next pass continues.
func (d *Drainer) drainAndReboot(ctx context.Context, p *pass, host string) error {
	drained, err := d.opts.Members.Drain(ctx, host, ReasonPrefix+p.wave.Name)
	if errors.Is(err, membership.ErrBudget) {
		// The plan was made from a snapshot older than the rows; the next pass plans again.
		return nil
	}
	if err != nil {
		return err
	}
	if drained.Assignment.Reason != ReasonPrefix+p.wave.Name {
		// Another wave or a drain object took the host out first.
		return nil
	}
	if ended, err := d.tasksEnded(ctx, host); err != nil || !ended {
		return err
	}
	a, err := d.opts.Members.SetRebooting(ctx, drained)
	if errors.Is(err, membership.ErrBudget) {
		return d.opts.Members.Return(ctx, host, "unplanned loss in the pool")
	}
	if err != nil {
		return err
	}
	return d.reboot(ctx, a)
}

// tasksEnded reports whether no running or throttled task is left on a host.
func (d *Drainer) tasksEnded(ctx context.Context, host string) (bool, error) {
	if d.opts.Tasks == nil {
		return true, nil
	}
	tasks, err := d.opts.Tasks.Tasks(ctx, d.opts.DataCentre)
	if err != nil {
		return false, errors.Wrapf(ErrRetry, "read tasks: %v", err)
	}
	for _, t := range tasks {
		if t.Spec.Host == host && (t.State == cloud.TaskRunning || t.State == cloud.TaskThrottled) {
			return false, nil
		}
	}
	return true, nil
}

// reboot requests the reboot of a host. It is repeated until the host list shows a newer incarnation; the request is
// idempotent for one incarnation, and a conflict means that the host already has a newer one.
func (d *Drainer) reboot(ctx context.Context, a structs.Assignment) error {
	err := d.opts.Maintenance.Reboot(ctx, a.Host, a.Incarnation)
	if err == nil || errors.Is(err, cloud.ErrConflict) {
		return nil
	}
	return errors.Wrapf(ErrRetry, "reboot %s: %v", a.Host, err)
}

// FinishAbandoned returns to service a host that is out for a wave which is no longer declared. A draining host returns
// at once; a rebooting host completes its reboot first.
func (d *Drainer) FinishAbandoned(ctx context.Context, a structs.Assignment) error {
	if a.Phase == structs.PhaseRebooting {
		if err := d.reboot(ctx, a); err != nil {
			return err
		}
	}
	return d.opts.Members.Return(ctx, a.Host, "wave withdrawn")
}

// DeleteUndeclared deletes the progress of waves that are no longer declared, so that a wave that is declared again
// starts from the beginning.
func (d *Drainer) DeleteUndeclared(ctx context.Context, declared map[string]*structs.Wave) error {
	lease, ok := d.opts.Leadership.Lead()
	if !ok {
		return membership.ErrNotLeader
	}
	rows, err := d.opts.Table.List(ctx, ProgressPrefix(d.opts.DataCentre), "", cloud.MaxListLimit)
	if err != nil {
		return errors.Wrapf(ErrRetry, "list progress: %v", err)
	}
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, ProgressPrefix(d.opts.DataCentre))
		if declared[name] != nil {
			continue
		}
		// The view may lag behind a declaration, so the object row is authoritative.
		objectKey := "object/" + string(structs.KindWave) + "/" + name
		object, err := d.opts.Table.Get(ctx, objectKey)
		if err != nil && !errors.Is(err, cloud.ErrNotFound) {
			return errors.Wrapf(ErrRetry, "read wave: %v", err)
		}
		var stored structs.Object
		if err == nil && (json.Unmarshal(object.Value, &stored) != nil || !stored.Deleted) {
			continue
		}
		_, err = d.opts.Table.Commit(ctx, cloud.Txn{
			Preconditions: []cloud.Precondition{lease.Fence, {Key: row.Key, Version: row.Version}, {Key: objectKey, Version: object.Version}},
			Ops:           []cloud.Op{{Key: row.Key, Delete: true}},
		})
		if err != nil {
			return errors.Wrapf(ErrRetry, "remove progress: %v", err)
		}
	}
	return nil
}

// List returns the progress of all waves of a data centre, or of all data centres if dataCentre is empty.
func List(ctx context.Context, table cloud.Table, dataCentre string) ([]structs.WaveProgress, error) {
	prefix := "wave/"
	if dataCentre != "" {
		prefix = ProgressPrefix(dataCentre)
	}
	rows, err := table.List(ctx, prefix, "", cloud.MaxListLimit)
	if err != nil {
		return nil, errors.Wrapf(ErrRetry, "list progress: %v", err)
	}
	all := make([]structs.WaveProgress, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &all[i]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
	}
	return all, nil
}
