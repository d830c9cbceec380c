package ticket

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxTxnRows is the platform's limit that the message about too many objects names.
const maxTxnRows = cloud.MaxTxnOps

// checkValues checks the field values of a spec without regard to other objects. It returns the field and the
// reason of an error, both empty if there is none.
func checkValues(spec any) (field, reason string) {
	switch v := spec.(type) {
	case *structs.Service:
		return notNegative("default_deadline_ms", v.DefaultDeadlineMS, "declared_run_time_ms", v.DeclaredRunTimeMS,
			"max_body_bytes", int(v.MaxBodyBytes))
	case *structs.Pool:
		return checkPool(v)
	case *structs.Host:
		return checkHost(v)
	case *structs.Team:
		return notNegative("max_concurrent", v.MaxConcurrent, "max_jobs", v.MaxJobs, "max_cores", v.MaxCores)
	case *structs.Wave:
		if v.MaxParallel < 1 {
			return "max_parallel", "must be at least 1"
		}
		return checkDataCentre(v.DataCentre)
	}
	return "", ""
}

// notNegative takes pairs of a field name and its int value, and rejects the first negative value.
func notNegative(pairs ...any) (field, reason string) {
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1].(int) < 0 {
			return pairs[i].(string), "must not be negative"
		}
	}
	return "", ""
}

func checkDataCentre(name string) (field, reason string) {
	if !namePattern.MatchString(name) {
		return "data_centre", fmt.Sprintf("%q does not match %s", name, namePattern)
	}
	return "", ""
}

func checkPool(p *structs.Pool) (field, reason string) {
	if field, reason := notNegative("min_hosts", p.MinHosts, "max_unavailable", p.MaxUnavailable); reason != "" {
		return field, reason
	}
	if p.Spare == (p.Service != "") {
		return "service", "must be set for a pool that is not spare, and only for such a pool"
	}
	return checkDataCentre(p.DataCentre)
}

func checkHost(h *structs.Host) (field, reason string) {
	address, err := netip.ParseAddrPort(h.Address)
	switch {
	case err != nil:
		return "address", fmt.Sprintf("%q is not an IP address and port", h.Address)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return "address", fmt.Sprintf("%q cannot be connected to", h.Address)
	case h.Rack == "":
		return "rack", "must be set; waves and moves are spread over racks"
	}
	field, reason = notNegative("slots", h.Slots, "connections", h.Connections, "cores", h.Cores,
		"memory_mb", h.MemoryMB, "accelerators", h.Accelerators)
	if reason != "" {
		return field, reason
	}
	return checkDataCentre(h.DataCentre)
}

// Validate checks a ticket against the objects that it would be applied to. Its errors are InvalidErrors,
// joined if there are several. References are checked only if the form and all specs are valid.
func Validate(c *Catalog, t structs.Ticket) error {
	if err := checkForm(t); err != nil {
		return err
	}
	var errs []error
	for _, o := range t.Objects {
		if _, err := decodeSpec(o); err != nil {
			errs = append(errs, err)
		} else if o.Delete && c.spec(o.Kind, o.Name) == nil {
			errs = append(errs, &InvalidError{Kind: o.Kind, Name: o.Name, Reason: "does not exist and cannot be deleted"})
		}
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	return newReferenceChecker(c, t).check()
}

// referenceChecker checks the references between objects in the state that a ticket leads to. It checks only
// the objects that the ticket touches and those that refer to them, so that one inconsistent object cannot
// block every ticket.
type referenceChecker struct {
	before, after *Catalog
	// touched holds the objects that the ticket writes or deletes.
	touched map[objectID]bool
	errs    []error
}

func newReferenceChecker(c *Catalog, t structs.Ticket) *referenceChecker {
	r := &referenceChecker{before: c, after: c.Clone(), touched: make(map[objectID]bool)}
	// Apply merges objects only if the number is larger than that of the stored ones.
	t.Number = ^uint64(0)
	r.after.Apply(t)
	for _, o := range t.Objects {
		r.touched[objectID{o.Kind, o.Name}] = true
	}
	return r
}

// addError records an InvalidError. The field is named relative to the spec and may be empty.
func (r *referenceChecker) addError(kind structs.Kind, name, field, format string, args ...any) {
	if field != "" {
		field = "spec." + field
	}
	r.errs = append(r.errs, &InvalidError{Kind: kind, Name: name, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// affected reports whether the ticket touches the object or one of those that it refers to.
func (r *referenceChecker) affected(kind structs.Kind, name string, referenced ...objectID) bool {
	return r.touched[objectID{kind, name}] || slices.ContainsFunc(referenced, func(id objectID) bool { return r.touched[id] })
}

// check checks all affected objects and returns the errors joined.
func (r *referenceChecker) check() error {
	poolSizes, shrunk := make(map[string]int), r.shrunkPools()
	addresses := make(map[netip.AddrPort]string)
	for _, id := range r.after.sortedIDs() {
		switch v := r.after.spec(id.kind, id.name).(type) {
		case *structs.Host:
			poolSizes[v.Pool]++
			r.checkAddress(v, addresses)
			r.checkHost(v)
		case *structs.Pool:
			if r.affected(id.kind, id.name, objectID{structs.KindService, v.Service}) {
				r.checkPool(v)
			}
		case *structs.Wave:
			r.checkWave(v)
		case *structs.Drain:
			host := objectID{structs.KindHost, id.name}
			if r.affected(id.kind, id.name, host) && r.after.spec(host.kind, host.name) == nil {
				r.addError(id.kind, id.name, "", "host %q does not exist", id.name)
			}
		}
	}
	for _, name := range sortedKeys(poolSizes) {
		pool, ok := r.after.spec(structs.KindPool, name).(*structs.Pool)
		changed := r.touched[objectID{structs.KindPool, name}] || shrunk[name]
		if ok && changed && pool.MaxUnavailable > poolSizes[name] {
			r.addError(structs.KindPool, name, "max_unavailable", "is %d, but the pool has only %d hosts", pool.MaxUnavailable, poolSizes[name])
		}
	}
	return errors.Join(r.errs...)
}

// shrunkPools returns the pools that lose a host. A pool that only gains hosts may have fewer hosts than its
// max_unavailable, because a large pool is declared with several tickets.
func (r *referenceChecker) shrunkPools() map[string]bool {
	shrunk := make(map[string]bool)
	for id := range r.touched {
		before, ok := r.before.spec(id.kind, id.name).(*structs.Host)
		if !ok {
			continue
		}
		after, ok := r.after.spec(id.kind, id.name).(*structs.Host)
		if !ok || after.Pool != before.Pool {
			shrunk[before.Pool] = true
		}
	}
	return shrunk
}

// checkAddress rejects an address that is already in seen, which maps addresses to host names. An IPv4 address
// mapped to IPv6 counts as the same address.
func (r *referenceChecker) checkAddress(h *structs.Host, seen map[netip.AddrPort]string) {
	address, err := netip.ParseAddrPort(h.Address)
	if err != nil {
		return
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	other, taken := seen[address]
	if taken && r.affected(structs.KindHost, h.Name, objectID{structs.KindHost, other}) {
		r.addError(structs.KindHost, h.Name, "address", "%s is also the address of host %q", h.Address, other)
	}
	seen[address] = h.Name
}

func (r *referenceChecker) checkHost(h *structs.Host) {
	if !r.affected(structs.KindHost, h.Name, objectID{structs.KindPool, h.Pool}) {
		return
	}
	pool, ok := r.after.spec(structs.KindPool, h.Pool).(*structs.Pool)
	switch {
	case !ok:
		r.addError(structs.KindHost, h.Name, "pool", "pool %q does not exist", h.Pool)
	case pool.DataCentre != h.DataCentre:
		r.addError(structs.KindHost, h.Name, "pool", "pool %q is in data centre %q, the host in %q", h.Pool, pool.DataCentre, h.DataCentre)
	}
	// Assignments are stored per data centre; the host's assignment in the old data centre would remain.
	if before, ok := r.before.spec(structs.KindHost, h.Name).(*structs.Host); ok && before.DataCentre != h.DataCentre {
		r.addError(structs.KindHost, h.Name, "data_centre", "cannot change from %q; declare the host under another name", before.DataCentre)
	}
}

func (r *referenceChecker) checkPool(p *structs.Pool) {
	if p.Service != "" && r.after.spec(structs.KindService, p.Service) == nil {
		r.addError(structs.KindPool, p.Name, "service", "service %q does not exist", p.Service)
	}
	if before, ok := r.before.spec(structs.KindPool, p.Name).(*structs.Pool); ok && before.DataCentre != p.DataCentre {
		r.addError(structs.KindPool, p.Name, "data_centre", "cannot change from %q; declare the pool under another name", before.DataCentre)
	}
}

func (r *referenceChecker) checkWave(w *structs.Wave) {
	for _, name := range w.Pools {
		if !r.affected(structs.KindWave, w.Name, objectID{structs.KindPool, name}) {
			continue
		}
		pool, ok := r.after.spec(structs.KindPool, name).(*structs.Pool)
		if !ok || pool.DataCentre != w.DataCentre {
			r.addError(structs.KindWave, w.Name, "pools", "pool %q does not exist in data centre %q", name, w.DataCentre)
		}
	}
}
