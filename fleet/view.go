package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/tamarackworks/tamarackworks/structs"
)

// mergeChanges collects what one merge changed, so that publish rebuilds only these parts of the view.
type mergeChanges struct {
	objects     map[structs.Kind][]string
	assignments []string
	states      []string
	// affectedHosts holds the names of the hosts that may have become usable or unusable.
	affectedHosts map[string]struct{}
}

func newMergeChanges() *mergeChanges {
	return &mergeChanges{objects: make(map[structs.Kind][]string), affectedHosts: make(map[string]struct{})}
}

// target is a usable host with the pool and the service in whose target lists it appears. The zero value stands for a
// host that is not usable.
type target struct {
	host    *structs.Host
	pool    string
	service string
}

func emptyView() *structs.View {
	return &structs.View{
		Services:         map[string]*structs.Service{},
		Pools:            map[string]*structs.Pool{},
		Hosts:            map[string]*structs.Host{},
		Teams:            map[string]*structs.Team{},
		Waves:            map[string]*structs.Wave{},
		Drains:           map[string]*structs.Drain{},
		Assignments:      map[string]*structs.Assignment{},
		States:           map[string]structs.HostState{},
		Leaving:          map[string]uint64{},
		Released:         map[string]uint64{},
		TargetsByService: map[string][]*structs.Host{},
		TargetsByPool:    map[string][]*structs.Host{},
	}
}

// publish stores a new view and notifies the watchers if the merge changed anything that the view shows. Parts that
// did not change are shared with the previous view. The caller must hold r.mu.
func (r *Replica) publish(c *mergeChanges) {
	old := r.view.Load()
	if len(c.objects) == 0 && len(c.affectedHosts) == 0 && old.Version == r.version {
		return
	}
	next := *old
	next.Version = r.version
	r.rebuildObjects(&next, c)
	next.Assignments = updateMap(old.Assignments, c.assignments, func(host string) (*structs.Assignment, bool) {
		return r.assignments[host], true
	})
	next.States = updateMap(old.States, c.states, func(host string) (structs.HostState, bool) {
		return r.states[host], true
	})
	hosts := slices.Collect(maps.Keys(c.affectedHosts))
	next.Leaving = updateMap(old.Leaving, changedHosts(old.Leaving, hosts, r.effectiveLeaving), r.effectiveLeaving)
	next.Released = updateMap(old.Released, changedHosts(old.Released, hosts, r.effectiveRelease), r.effectiveRelease)
	r.updateTargets(&next, hosts)
	r.view.Store(&next)
	r.watchers.notify()
	if next.Version != old.Version {
		r.effectTimes = append(r.effectTimes, effectTime{version: next.Version, since: r.opts.Now()})
		if len(r.effectTimes) > maxEffectTimes {
			r.effectTimes = slices.Delete(r.effectTimes, 0, len(r.effectTimes)-maxEffectTimes)
		}
	}
}

// updateMap returns a copy of old in which each of keys has the value that get returns, or is absent if get returns
// false. Without keys it returns old itself.
func updateMap[V any](old map[string]V, keys []string, get func(string) (V, bool)) map[string]V {
	if len(keys) == 0 {
		return old
	}
	next := maps.Clone(old)
	for _, key := range keys {
		if value, ok := get(key); ok {
			next[key] = value
		} else {
			delete(next, key)
		}
	}
	return next
}

// changedHosts returns those of hosts for which get differs from the published value in old.
func changedHosts(old map[string]uint64, hosts []string, get func(string) (uint64, bool)) []string {
	var changed []string
	for _, host := range hosts {
		before, had := old[host]
		if now, has := get(host); had != has || before != now {
			changed = append(changed, host)
		}
	}
	return changed
}

// effectiveLeaving returns the incarnation that is marked as leaving and whether the mark is in effect. A mark is in
// effect unless the list or an assignment shows a newer incarnation of the host.
func (r *Replica) effectiveLeaving(host string) (uint64, bool) {
	mark, ok := r.leaving[host]
	if !ok {
		return 0, false
	}
	newest := r.states[host].Incarnation
	if a := r.assignments[host]; a != nil {
		newest = max(newest, a.Incarnation)
	}
	return mark.incarnation, mark.incarnation >= newest
}

// effectiveRelease returns the generation that was released last and whether the release is in effect. An active
// assignment with a larger generation ends it.
func (r *Replica) effectiveRelease(host string) (uint64, bool) {
	generation, ok := r.released[host]
	if !ok {
		return 0, false
	}
	a := r.assignments[host]
	return generation, a == nil || a.Phase != structs.PhaseActive || a.Generation <= generation
}

// rebuildObjects updates the declared objects of the view and adds the hosts that their changes affect to
// c.affectedHosts.
func (r *Replica) rebuildObjects(next *structs.View, c *mergeChanges) {
	oldHosts := next.Hosts
	next.Services = rebuildKind[structs.Service](r, next.Services, structs.KindService, c)
	next.Pools = rebuildKind[structs.Pool](r, next.Pools, structs.KindPool, c)
	next.Hosts = rebuildKind[structs.Host](r, next.Hosts, structs.KindHost, c)
	next.Teams = rebuildKind[structs.Team](r, next.Teams, structs.KindTeam, c)
	next.Waves = rebuildKind[structs.Wave](r, next.Waves, structs.KindWave, c)
	next.Drains = rebuildKind[structs.Drain](r, next.Drains, structs.KindDrain, c)
	for _, kind := range []structs.Kind{structs.KindHost, structs.KindDrain} {
		for _, name := range c.objects[kind] {
			c.affectedHosts[name] = struct{}{}
		}
	}
	pools := c.objects[structs.KindPool]
	if len(pools) == 0 {
		return
	}
	for name, host := range oldHosts {
		if slices.Contains(pools, r.assignedPool(host)) {
			c.affectedHosts[name] = struct{}{}
		}
	}
}

// rebuildKind returns a copy of the published map of one kind with its changed objects decoded. Objects that cannot be
// decoded are left out and recorded in r.invalid.
func rebuildKind[T any](r *Replica, old map[string]*T, kind structs.Kind, c *mergeChanges) map[string]*T {
	return updateMap(old, c.objects[kind], func(name string) (*T, bool) {
		id := objectID{kind: kind, name: name}
		delete(r.invalid, id)
		o := r.objects[id]
		if o.Deleted {
			return nil, false
		}
		value := new(T)
		if err := json.Unmarshal(o.Spec, value); err != nil {
			r.invalid[id] = err.Error()
			return nil, false
		}
		setName(value, name)
		return value, true
	})
}

// setName sets the name of a decoded spec to the name of its object, which takes precedence over a name in the spec.
func setName(value any, name string) {
	switch v := value.(type) {
	case *structs.Service:
		v.Name = name
	case *structs.Pool:
		v.Name = name
	case *structs.Host:
		v.Name = name
	case *structs.Team:
		v.Name = name
	case *structs.Wave:
		v.Name = name
	case *structs.Drain:
		v.Name = name
	}
}

// assignedPool returns the pool that a host is assigned to, usable or not, or an empty string without an assignment.
func (r *Replica) assignedPool(host *structs.Host) string {
	if a := r.assignments[host.Name]; a != nil {
		return a.Pool
	}
	return ""
}

// computeTarget returns the target of a host: usable if it is declared in this data centre, not drained, assigned in
// phase active, not leaving, not released, not shown as down by the list, and if its pool is declared here.
func (r *Replica) computeTarget(v *structs.View, name string) target {
	host := v.Hosts[name]
	if host == nil || host.DataCentre != r.opts.DataCentre || v.Drains[name] != nil {
		return target{}
	}
	// The declared home pool is no substitute for a missing assignment. A ticket that changes it takes effect at
	// a different time on each entry host, so the host would serve two pools at once.
	a := r.assignments[name]
	if a == nil || a.Phase != structs.PhaseActive {
		return target{}
	}
	if _, leaving := v.Leaving[name]; leaving {
		return target{}
	}
	if _, released := v.Released[name]; released {
		return target{}
	}
	// The list lags: an entry for an older incarnation than the assigned one is outdated.
	state, listed := r.states[name]
	current := state.Incarnation >= a.Incarnation
	if listed && current && !state.Live {
		return target{}
	}
	pool := v.Pools[a.Pool]
	if pool == nil || pool.DataCentre != r.opts.DataCentre {
		return target{}
	}
	return target{host: host, pool: pool.Name, service: pool.Service}
}

// updateTargets updates the target lists of the view for the given hosts.
func (r *Replica) updateTargets(next *structs.View, hosts []string) {
	pools := make(map[string][]*structs.Host)
	services := make(map[string][]*structs.Host)
	for _, name := range hosts {
		before, now := r.targets[name], r.computeTarget(next, name)
		if before == now {
			continue
		}
		markChanged(pools, before.pool, nil)
		markChanged(services, before.service, nil)
		markChanged(pools, now.pool, now.host)
		markChanged(services, now.service, now.host)
		if now.host == nil {
			delete(r.targets, name)
		} else {
			r.targets[name] = now
		}
	}
	next.TargetsByPool = r.rebuildTargetLists(next.TargetsByPool, pools, func(t target) string { return t.pool })
	next.TargetsByService = r.rebuildTargetLists(next.TargetsByService, services, func(t target) string { return t.service })
}

// markChanged records that a list changes and that it gains a host, unless host is nil. An empty list name is ignored.
func markChanged(added map[string][]*structs.Host, list string, host *structs.Host) {
	if list == "" {
		return
	}
	hosts := added[list]
	if host != nil {
		hosts = append(hosts, host)
	}
	added[list] = hosts
}

// rebuildTargetLists rebuilds the lists that are keys of added. Each keeps the hosts of which it is still the list, as
// given by key, and gains the added ones, in name order.
func (r *Replica) rebuildTargetLists(
	old map[string][]*structs.Host, added map[string][]*structs.Host, key func(target) string,
) map[string][]*structs.Host {
	keys := slices.Collect(maps.Keys(added))
	return updateMap(old, keys, func(list string) ([]*structs.Host, bool) {
		add := added[list]
		slices.SortFunc(add, compareHosts)
		hosts := make([]*structs.Host, 0, len(old[list])+len(add))
		for _, host := range old[list] {
			// A host that is in both lists is taken from add, because its declaration may have changed.
			_, again := slices.BinarySearchFunc(add, host, compareHosts)
			if again || key(r.targets[host.Name]) != list {
				continue
			}
			for len(add) > 0 && add[0].Name < host.Name {
				hosts, add = append(hosts, add[0]), add[1:]
			}
			hosts = append(hosts, host)
		}
		hosts = append(hosts, add...)
		return hosts, len(hosts) > 0
	})
}

func compareHosts(a, b *structs.Host) int { return cmp.Compare(a.Name, b.Name) }

func compareObjects(a, b structs.Object) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
