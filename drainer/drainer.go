// Package drainer executes maintenance waves: hosts leave rack by rack, are drained and rebooted, and return.
//
// The phases of the hosts and the progress row say where a wave stands, so that a new leader continues it.
// Run is one bounded pass; the caller repeats it while it leads.
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
	// PassTimeout bounds one pass, so that an entry host that does not release one host delays the others only so long.
	PassTimeout = 10 * time.Second
	// hostTimeWeight is the weight of a new observation of the time a host is out.
	hostTimeWeight = 0.25
)

// ErrRetry means that the platform did not answer or another leader wrote the progress.
var ErrRetry = errors.New("drainer: repeat later")

// Members is the part of package membership that waves use.
type Members interface {
	Drain(ctx context.Context, host, reason string) (membership.Drained, error)
	SetRebooting(ctx context.Context, d membership.Drained) (structs.Assignment, error)
	Return(ctx context.Context, host, reason string) error
}

// Snapshots supplies the state that exits are planned on.
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

// Prefix precedes the names of the progress rows of a data centre.
func Prefix(dataCentre string) string { return "wave/" + dataCentre + "/" }

// pass is the state of one pass.
type pass struct {
	lease    leader.Lease
	wave     structs.Wave
	progress structs.WaveProgress
	version  uint64
	assigned map[string]structs.Assignment
	out      []structs.Assignment
	states   map[string]structs.HostState
	plan     planner.WavePlan
	over     map[string]bool
}

// Run advances a wave by one pass.
func (d *Drainer) Run(ctx context.Context, wave structs.Wave) error {
	ctx, cancel := context.WithTimeout(ctx, PassTimeout)
	defer cancel()
	p, err := d.read(ctx, wave)
	if err != nil || p.progress.State == structs.WaveDone {
		return err
	}
	back := d.returned(p)
	d.decide(p, back)
	if err := d.write(ctx, p); err != nil {
		return err
	}
	// The progress is written first: a host that is back is not rebooted again by a leader that takes over.
	var errs []error
	for _, host := range back {
		errs = append(errs, d.opts.Members.Return(ctx, host, "maintained"))
	}
	return errors.Join(append(errs, d.advance(ctx, p, back))...)
}

// read reads the progress, the hosts that are out for the wave and the list.
func (d *Drainer) read(ctx context.Context, wave structs.Wave) (*pass, error) {
	lease, ok := d.opts.Leadership.Lead()
	if !ok {
		return nil, membership.ErrNotLeader
	}
	p := &pass{lease: lease, wave: wave, states: make(map[string]structs.HostState), over: make(map[string]bool), assigned: make(map[string]structs.Assignment)}
	row, err := d.opts.Table.Get(ctx, Prefix(d.opts.DataCentre)+wave.Name)
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
		p.assigned[a.Host] = a
		if a.Reason == ReasonPrefix+wave.Name && (a.Phase == structs.PhaseDraining || a.Phase == structs.PhaseRebooting) {
			p.out = append(p.out, a)
		}
	}
	states, err := d.opts.Hosts.Hosts(ctx, d.opts.DataCentre)
	if err != nil {
		return nil, errors.Wrapf(ErrRetry, "read host list: %v", err)
	}
	for _, s := range states {
		p.states[s.Name] = s
	}
	return p, nil
}

// returned lists the rebooting hosts that the list shows live with a newer incarnation.
func (d *Drainer) returned(p *pass) []string {
	var back []string
	for _, a := range p.out {
		s := p.states[a.Host]
		if a.Phase == structs.PhaseRebooting && s.Live && s.Incarnation > a.Incarnation {
			back = append(back, a.Host)
		}
	}
	return back
}

// decide plans the exits and updates the progress.
func (d *Drainer) decide(p *pass, back []string) {
	now := d.opts.Now()
	for _, host := range back {
		p.finish(host, now)
	}
	s := d.opts.Snapshots.PlannerSnapshot()
	p.merge(&s)
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
	case p.plan.Remaining == 0 && len(p.out) == len(back):
		p.progress.State, p.progress.Reason = structs.WaveDone, ""
		return
	case p.plan.Waiting != "":
		p.progress.State = structs.WaveWaiting
	}
	if !p.plan.End.IsZero() {
		p.progress.EndUnixMS = p.plan.End.UnixMilli()
	}
}

// merge puts the assignments just read from the table and the list into the snapshot, which may lag, and notes
// the pools whose budget is exceeded.
func (p *pass) merge(s *planner.Snapshot) {
	unavailable := make(map[string]int)
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if a, ok := p.assigned[h.Name]; ok {
			h.Phase, h.Pool, h.NextPool = a.Phase, a.Pool, a.NextPool
		}
		state, ok := p.states[h.Name]
		h.Live = ok && state.Live
		h.Leaving = h.Leaving || state.Leaving
		if h.Phase != structs.PhaseActive || !h.Live || h.Leaving {
			unavailable[h.Pool]++
		}
	}
	for _, pool := range s.Pools {
		p.over[pool.Name] = unavailable[pool.Name] > pool.MaxUnavailable
	}
}

func (p *pass) finish(host string, now time.Time) {
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

// write stores the progress under the fence. Hosts about to leave are recorded before they leave.
func (d *Drainer) write(ctx context.Context, p *pass) error {
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
	key := Prefix(d.opts.DataCentre) + p.wave.Name
	_, err = d.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{p.lease.Fence, {Key: key, Version: p.version}},
		Ops:           []cloud.Op{{Key: key, Value: value}},
	})
	if err != nil {
		return errors.Wrapf(ErrRetry, "write progress: %v", err)
	}
	return nil
}

// advance moves every host of the wave that is out, or leaves now, as far as it can go.
func (d *Drainer) advance(ctx context.Context, p *pass, back []string) error {
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
		case slices.Contains(back, a.Host):
		case a.Phase == structs.PhaseRebooting:
			run(func() error { return d.reboot(ctx, a) })
		case p.over[a.Pool]:
			run(func() error { return d.opts.Members.Return(ctx, a.Host, "unplanned loss in the pool") })
		default:
			run(func() error { return d.exit(ctx, p, a.Host) })
		}
	}
	for _, e := range p.plan.Exits {
		run(func() error { return d.exit(ctx, p, e.Host) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// exit drains a host, waits until its tasks left, and reboots it.
func (d *Drainer) exit(ctx context.Context, p *pass, host string) error {
	drained, err := d.opts.Members.Drain(ctx, host, ReasonPrefix+p.wave.Name)
	if errors.Is(err, membership.ErrBudget) {
		// The snapshot of the plan was older than the rows; the next pass plans again.
		return nil
	}
	if err != nil {
		return err
	}
	if drained.Assignment.Reason != ReasonPrefix+p.wave.Name {
		// Another wave or a drain object took the host first.
		return nil
	}
	if left, err := d.tasksLeft(ctx, host); err != nil || !left {
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

func (d *Drainer) tasksLeft(ctx context.Context, host string) (bool, error) {
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

// reboot is repeated until the list shows a newer incarnation; the call is idempotent for one incarnation.
func (d *Drainer) reboot(ctx context.Context, a structs.Assignment) error {
	err := d.opts.Maintenance.Reboot(ctx, a.Host, a.Incarnation)
	if err == nil || errors.Is(err, cloud.ErrConflict) {
		return nil
	}
	return errors.Wrapf(ErrRetry, "reboot %s: %v", a.Host, err)
}

// FinishAbandoned finishes a host that is out for a wave which is no longer declared: one that only drains returns,
// one that reboots completes its reboot.
func (d *Drainer) FinishAbandoned(ctx context.Context, a structs.Assignment) error {
	if a.Phase == structs.PhaseRebooting {
		if err := d.reboot(ctx, a); err != nil {
			return err
		}
	}
	return d.opts.Members.Return(ctx, a.Host, "wave withdrawn")
}

// DeleteUndeclared removes the progress of waves that are no longer declared, so that a wave declared again starts anew.
func (d *Drainer) DeleteUndeclared(ctx context.Context, declared map[string]*structs.Wave) error {
	lease, ok := d.opts.Leadership.Lead()
	if !ok {
		return membership.ErrNotLeader
	}
	rows, err := d.opts.Table.List(ctx, Prefix(d.opts.DataCentre), "", cloud.MaxListLimit)
	if err != nil {
		return errors.Wrapf(ErrRetry, "list progress: %v", err)
	}
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, Prefix(d.opts.DataCentre))
		if declared[name] != nil {
			continue
		}
		// The view may lag behind a declaration; the object row decides.
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

// List reads the progress of all waves of a data centre; an empty one selects all.
func List(ctx context.Context, table cloud.Table, dataCentre string) ([]structs.WaveProgress, error) {
	prefix := "wave/"
	if dataCentre != "" {
		prefix = Prefix(dataCentre)
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
