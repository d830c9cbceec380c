package membership

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// RegistrationPrefix is the prefix of the keys of the registrations of a data centre; the id of the entry host follows
// it.
func RegistrationPrefix(dataCentre string) string { return "entry/" + dataCentre + "/" }

// registrationRow is a registration with the version of its row.
type registrationRow struct {
	structs.Registration
	version uint64
}

// Registrations reads the registrations of the entry hosts of a data centre.
func Registrations(ctx context.Context, table cloud.Table, dataCentre string) ([]structs.Registration, error) {
	rows, err := readRegistrations(ctx, table, dataCentre)
	if err != nil {
		return nil, err
	}
	return withoutVersions(rows), nil
}

// withoutVersions returns the registrations of rows.
func withoutVersions(rows []registrationRow) []structs.Registration {
	regs := make([]structs.Registration, len(rows))
	for i, r := range rows {
		regs[i] = r.Registration
	}
	return regs
}

// AllRegistrations reads the registrations of the entry hosts of all data centres.
func AllRegistrations(ctx context.Context, table cloud.Table) ([]structs.Registration, error) {
	rows, err := listRegistrations(ctx, table, "entry/")
	if err != nil {
		return nil, err
	}
	return withoutVersions(rows), nil
}

func readRegistrations(ctx context.Context, table cloud.Table, dataCentre string) ([]registrationRow, error) {
	return listRegistrations(ctx, table, RegistrationPrefix(dataCentre))
}

func listRegistrations(ctx context.Context, table cloud.Table, prefix string) ([]registrationRow, error) {
	rows, err := listRows(ctx, table, prefix)
	if err != nil {
		return nil, translateError(err, "read registrations")
	}
	regs := make([]registrationRow, 0, len(rows))
	for _, row := range rows {
		reg := registrationRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &reg.Registration); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
		regs = append(regs, reg)
	}
	return regs, nil
}

// Gone reports whether the platform's list proves that the machine of a registration no longer runs the
// registered process: it shows the machine with a larger boot counter, or with the same one and not live. A
// list that shows a smaller boot counter or does not contain the machine may be stale and proves nothing.
func Gone(reg structs.Registration, states map[string]structs.HostState) bool {
	state, ok := states[reg.Host]
	if !ok || reg.Host == "" || reg.HostIncarnation == 0 {
		return false
	}
	return state.Incarnation > reg.HostIncarnation || state.Incarnation == reg.HostIncarnation && !state.Live
}

// Registrar writes and removes the registration of one entry host.
type Registrar struct {
	Table        cloud.Table
	Hosts        cloud.HostList
	Registration structs.Registration
}

// Register writes the registration. It must return before the process reads assignments, so that a leader that does
// not find the registration can rely on the process seeing its changes.
//
// The peer address must be bound before the call: the registration of an earlier process with the same address is
// replaced, because that process cannot be running any more. One with another address is replaced only if its
// machine is gone; otherwise Register returns ErrEntryIDInUse.
func (r *Registrar) Register(ctx context.Context) error {
	reg := r.Registration
	key := RegistrationPrefix(reg.DataCentre) + reg.Entry
	row, err := r.Table.Get(ctx, key)
	if err != nil && !errors.Is(err, cloud.ErrNotFound) {
		return translateError(err, "read registration")
	}
	if err == nil {
		var old structs.Registration
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return errors.Wrap(err, "decode registration")
		}
		if old == reg {
			return nil
		}
		if old.Incarnation != reg.Incarnation && old.PeerAddress != reg.PeerAddress {
			states, err := readHostStates(ctx, r.Hosts, "")
			if err != nil {
				return err
			}
			if !Gone(old, states) {
				return errors.Wrapf(ErrEntryIDInUse, "entry host %s is registered at %s", reg.Entry, old.PeerAddress)
			}
		}
	}
	_, err = r.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: key, Version: row.Version}},
		Ops:           []cloud.Op{putOp(key, reg)},
	})
	return translateError(err, "register")
}

// Registered reports whether the table contains the registration of this incarnation.
func (r *Registrar) Registered(ctx context.Context) (bool, error) {
	_, ok, err := r.readOwn(ctx)
	return ok, err
}

// Deregister removes the registration of this incarnation. A process that stops must call it only after its last
// request to a target has ended.
func (r *Registrar) Deregister(ctx context.Context) error {
	version, ok, err := r.readOwn(ctx)
	if err != nil || !ok {
		return err
	}
	key := RegistrationPrefix(r.Registration.DataCentre) + r.Registration.Entry
	_, err = r.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: key, Version: version}},
		Ops:           []cloud.Op{{Key: key, Delete: true}},
	})
	return translateError(err, "deregister")
}

// readOwn returns the version of the registration row and whether it belongs to this incarnation.
func (r *Registrar) readOwn(ctx context.Context) (version uint64, ok bool, err error) {
	row, err := r.Table.Get(ctx, RegistrationPrefix(r.Registration.DataCentre)+r.Registration.Entry)
	if errors.Is(err, cloud.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, translateError(err, "read registration")
	}
	var reg structs.Registration
	if err := json.Unmarshal(row.Value, &reg); err != nil {
		return 0, false, errors.Wrap(err, "decode registration")
	}
	return row.Version, reg.Incarnation == r.Registration.Incarnation, nil
}

// Assignments reads the assignments of a data centre.
func Assignments(ctx context.Context, table cloud.Table, dataCentre string) ([]structs.Assignment, error) {
	rows, err := listRows(ctx, table, AssignmentPrefix(dataCentre))
	if err != nil {
		return nil, translateError(err, "read assignments")
	}
	assignments := make([]structs.Assignment, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &assignments[i]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
	}
	return assignments, nil
}

// readHostStates returns the entries of the platform's list by host name. An empty data centre selects all.
func readHostStates(ctx context.Context, hosts cloud.HostList, dataCentre string) (map[string]structs.HostState, error) {
	list, err := hosts.Hosts(ctx, dataCentre)
	if err != nil {
		return nil, translateError(err, "read host list")
	}
	states := make(map[string]structs.HostState, len(list))
	for _, state := range list {
		states[state.Name] = state
	}
	return states, nil
}

// listRows reads all rows whose key has the prefix.
func listRows(ctx context.Context, table cloud.Table, prefix string) ([]cloud.Row, error) {
	var all []cloud.Row
	after := ""
	for {
		rows, err := table.List(ctx, prefix, after, cloud.MaxListLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < cloud.MaxListLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// putOp returns the operation that writes value as JSON.
func putOp(key string, value any) cloud.Op {
	// The marshalled types hold only strings, numbers and booleans, so encoding cannot fail.
	data, _ := json.Marshal(value)
	return cloud.Op{Key: key, Value: data}
}
