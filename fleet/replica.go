// Package fleet holds the replicated state of one entry host: the declared
// objects of all data centres, and the assignments and host states of its own
// data centre. From these a Replica publishes immutable views, which list the
// hosts that may receive work.
//
// Merging is commutative, associative and idempotent, so tickets, snapshots and
// assignments may arrive in any order, more than once, from the table or from
// peers. Nothing merged is ever replaced by something older.
package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

const (
	// maxMissing bounds the result of Missing. Further numbers are returned once these are merged.
	maxMissing = 1000
	// maxEffectTimes bounds the times kept for InEffectSince. A fleet of the design size has 4,700 tickets a day.
	maxEffectTimes = 8192
)

// Options configure a Replica.
type Options struct {
	// DataCentre is the data centre of the entry host. Assignments and host states of others are ignored.
	DataCentre string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// TicketHistory bounds the tickets kept for peers; 0 means DefaultTicketHistory.
	TicketHistory int
	// TicketHistoryBytes bounds the size of these tickets in bytes; 0 means DefaultTicketHistoryBytes.
	TicketHistoryBytes int
}

// effectTime records when the view of a version was published, in which all tickets up to it are in effect.
type effectTime struct {
	version uint64
	since   time.Time
}

// Replica is the replicated state of one entry host.
//
// MergeTickets, MergeObjects, MergeAssignments, SetHostStates, MarkLeaving, Release and Restore must be
// called by a single goroutine, that of the controller, which thereby determines the order of published views.
// All other methods are safe for concurrent use, and View takes no lock.
type Replica struct {
	opts     Options
	view     atomic.Pointer[structs.View]
	watchers watchers

	// mu guards the fields below. It is held for a merge and never while rows are encoded.
	mu          sync.Mutex
	objects     map[objectID]structs.Object
	assignments map[string]*structs.Assignment
	states      map[string]structs.HostState
	// leaving and released hold the leaving mark with the largest incarnation and the largest released
	// generation of each host, in effect or not.
	leaving  map[string]leavingMark
	released map[string]uint64
	targets  map[string]target
	// invalid holds the decoding error of each object that this process cannot decode.
	invalid map[objectID]string

	version uint64
	// pending holds the numbers of the merged tickets above version, for which smaller ones are missing.
	pending         map[uint64]struct{}
	haveObjects     bool
	haveAssignments bool
	history         history
	effectTimes     []effectTime
}

// objectID identifies a declared object.
type objectID struct {
	kind structs.Kind
	name string
}

// leavingMark records that an incarnation of a host leaves, and why.
type leavingMark struct {
	incarnation uint64
	reason      string
}

// New returns an empty replica that is not ready.
func New(opts Options) *Replica {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	r := &Replica{
		opts:        opts,
		objects:     make(map[objectID]structs.Object),
		assignments: make(map[string]*structs.Assignment),
		states:      make(map[string]structs.HostState),
		leaving:     make(map[string]leavingMark),
		released:    make(map[string]uint64),
		targets:     make(map[string]target),
		invalid:     make(map[objectID]string),
		pending:     make(map[uint64]struct{}),
		history:     newHistory(opts.TicketHistory, opts.TicketHistoryBytes),
	}
	r.view.Store(emptyView())
	return r
}

// View returns the last published view. It is never nil and must not be changed.
func (r *Replica) View() *structs.View { return r.view.Load() }

// MergeTickets merges accepted tickets. It ignores tickets without a number and tickets that are already merged.
func (r *Replica) MergeTickets(tickets []structs.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	for _, t := range tickets {
		if t.Number == 0 {
			continue
		}
		r.history.add(t)
		if r.isMerged(t.Number) {
			continue
		}
		for _, o := range ticket.Objects(t) {
			r.mergeObject(c, o)
		}
		r.pending[t.Number] = struct{}{}
	}
	r.advanceVersion()
	r.publish(c)
}

// MergeObjects merges object rows that contain the effect of every ticket up to version. A caller that reads them
// from the table must read the head, which gives the version, before the rows.
func (r *Replica) MergeObjects(objects []structs.Object, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	r.mergeSnapshot(c, objects, version)
	r.haveObjects = true
	r.publish(c)
}

// mergeSnapshot merges objects that contain the effect of every ticket up to version.
func (r *Replica) mergeSnapshot(c *mergeChanges, objects []structs.Object, version uint64) {
	for _, o := range objects {
		r.mergeObject(c, o)
	}
	r.version = max(r.version, version)
	r.advanceVersion()
}

// mergeObject merges one object, unless it is already merged as of the same or a later ticket.
func (r *Replica) mergeObject(c *mergeChanges, o structs.Object) {
	id := objectID{kind: o.Kind, name: o.Name}
	if old, ok := r.objects[id]; ok && old.Number >= o.Number {
		return
	}
	r.objects[id] = o
	c.objects[o.Kind] = append(c.objects[o.Kind], o.Name)
}

// isMerged reports whether the ticket with this number is merged.
func (r *Replica) isMerged(number uint64) bool {
	_, pending := r.pending[number]
	return pending || number <= r.version
}

// advanceVersion raises the version as long as the ticket that follows it is pending.
func (r *Replica) advanceVersion() {
	for number := range r.pending {
		if number <= r.version {
			delete(r.pending, number)
		}
	}
	for {
		if _, ok := r.pending[r.version+1]; !ok {
			break
		}
		r.version++
		delete(r.pending, r.version)
	}
	if r.version > 0 {
		r.haveObjects = true
	}
}

// MergeAssignments merges assignment rows. For each host the larger generation wins. The first call must pass all
// assignments of the data centre, even if there are none, because it makes the replica ready.
func (r *Replica) MergeAssignments(assignments []structs.Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	r.mergeAssignments(c, assignments)
	r.publish(c)
}

func (r *Replica) mergeAssignments(c *mergeChanges, assignments []structs.Assignment) {
	if !r.haveAssignments {
		r.haveAssignments = true
		for name := range r.view.Load().Hosts {
			c.affectedHosts[name] = struct{}{}
		}
	}
	for _, a := range assignments {
		old := r.assignments[a.Host]
		if a.DataCentre != r.opts.DataCentre || old != nil && old.Generation >= a.Generation {
			continue
		}
		r.assignments[a.Host] = &a
		c.assignments = append(c.assignments, a.Host)
		c.affectedHosts[a.Host] = struct{}{}
	}
}

// SetHostStates merges host states that were read from the platform's list. For each host the newer incarnation
// wins, and for equal incarnations the later call. A host that states does not contain keeps its last state. A
// leaving host stays marked until a newer incarnation is seen.
func (r *Replica) SetHostStates(states []structs.HostState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	for _, s := range states {
		if s.DataCentre != r.opts.DataCentre {
			continue
		}
		if s.Leaving {
			r.markLeaving(c, s.Name, s.Incarnation, "platform list")
		}
		old, ok := r.states[s.Name]
		if ok && (old.Incarnation > s.Incarnation || old == s) {
			continue
		}
		r.states[s.Name] = s
		c.states = append(c.states, s.Name)
		c.affectedHosts[s.Name] = struct{}{}
	}
	r.publish(c)
}

// MarkLeaving records that an incarnation of a host leaves and why. Only a newer incarnation clears the mark.
func (r *Replica) MarkLeaving(host string, incarnation uint64, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	r.markLeaving(c, host, incarnation, reason)
	r.publish(c)
}

func (r *Replica) markLeaving(c *mergeChanges, host string, incarnation uint64, reason string) {
	if old, ok := r.leaving[host]; ok && old.incarnation >= incarnation {
		return
	}
	r.leaving[host] = leavingMark{incarnation: incarnation, reason: reason}
	c.affectedHosts[host] = struct{}{}
}

// Release removes a host from the target lists until an assignment with a larger generation in phase active is
// merged. It has no effect if such an assignment is merged already.
func (r *Replica) Release(host string, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.released[host]; ok && old >= generation {
		return
	}
	r.released[host] = generation
	c := newMergeChanges()
	c.affectedHosts[host] = struct{}{}
	r.publish(c)
}

// Ready reports whether the replica holds the declared objects up to its version and the assignments of its data
// centre. Until then its views are incomplete.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.haveObjects && r.haveAssignments
}

// Version is the largest number V such that all tickets up to V are merged and published.
func (r *Replica) Version() uint64 { return r.view.Load().Version }

// Missing returns the numbers, in order, of tickets that are not merged although a later one is, at most 1000.
func (r *Replica) Missing() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last uint64
	for number := range r.pending {
		last = max(last, number)
	}
	var missing []uint64
	for number := r.version + 1; number < last && len(missing) < maxMissing; number++ {
		if _, ok := r.pending[number]; !ok {
			missing = append(missing, number)
		}
	}
	return missing
}

// Tickets returns recent tickets with a number greater than after, in order, at most limit. Tickets that are no
// longer kept are absent and must be read from the table.
func (r *Replica) Tickets(after uint64, limit int) []structs.Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.after(after, limit)
}

// Ticket returns the ticket with the given number. It reports false if the ticket is not kept.
func (r *Replica) Ticket(number uint64) (structs.Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.get(number)
}

// Objects returns the declared objects of a kind in name order, without deleted ones, and the version
// up to which they are complete. An empty kind selects all objects.
func (r *Replica) Objects(kind structs.Kind) ([]structs.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var objects []structs.Object
	for _, o := range r.objects {
		if !o.Deleted && (kind == "" || o.Kind == kind) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, compareObjects)
	return objects, r.version
}

// Invalid returns, by object key, the decoding error of each object whose spec this process cannot decode. Such
// objects are replicated but absent from the view.
func (r *Replica) Invalid() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]string, len(r.invalid))
	for id, reason := range r.invalid {
		reasons[ticket.ObjectKey(id.kind, id.name)] = reason
	}
	return reasons
}

// LeavingReason returns why a host is marked as leaving, or an empty string if it is not.
func (r *Replica) LeavingReason(host string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.view.Load().Leaving[host]; !ok {
		return ""
	}
	return r.leaving[host].reason
}

// InEffectSince returns when the first view that contains all tickets up to number was published, or the zero
// time if there is none yet. For numbers whose time is no longer kept it returns the oldest time that is kept.
func (r *Replica) InEffectSince(number uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, _ := slices.BinarySearchFunc(r.effectTimes, number, func(e effectTime, n uint64) int {
		switch {
		case e.version < n:
			return -1
		case e.version > n:
			return 1
		}
		return 0
	})
	if i == len(r.effectTimes) {
		return time.Time{}
	}
	return r.effectTimes[i].since
}
