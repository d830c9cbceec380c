package fleet

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// Errors of Restore.
var (
	// ErrDigest means that the digest of a state does not match its version and rows.
	ErrDigest = errors.New("fleet: state does not match its digest")
	// ErrMalformed means that a row cannot be decoded or that its content contradicts its key, number or deletion mark.
	ErrMalformed = errors.New("fleet: malformed state")
	// ErrEmpty means that a state holds no tickets and no objects, as that of an entry host that is not ready.
	ErrEmpty = errors.New("fleet: state holds no tickets and no objects")
)

// Row is the encoded form of an object or an assignment.
type Row struct {
	Key   string
	Value []byte
	// Number is the number of the last ticket for an object and the generation for an assignment.
	Number  uint64
	Deleted bool
}

// State is a complete copy of the rows of a replica, with which a peer can initialize its own. Rows are in key order.
type State struct {
	// Version is a ticket number; the rows contain the effect of all tickets up to it.
	Version     uint64
	Objects     []Row
	Assignments []Row
	// Digest is the xxhash of the version and of the rows in key order.
	Digest uint64
}

// AssignmentKey is the key of the row of an assignment in the table.
func AssignmentKey(dataCentre, host string) string { return "assign/" + dataCentre + "/" + host }

// ComputeDigest returns the digest of the version and the rows, whatever order the slices are in.
func (s State) ComputeDigest() uint64 {
	digest := xxhash.New()
	var buf []byte
	buf = binary.LittleEndian.AppendUint64(buf, s.Version)
	for _, rows := range [][]Row{s.Objects, s.Assignments} {
		rows = slices.Clone(rows)
		sortRows(rows)
		buf = binary.LittleEndian.AppendUint64(buf, uint64(len(rows)))
		for _, row := range rows {
			buf = appendRow(buf, row)
			// Write of xxhash never fails.
			_, _ = digest.Write(buf)
			buf = buf[:0]
		}
	}
	_, _ = digest.Write(buf)
	return digest.Sum64()
}

// appendRow appends the digest input of a row to buf. Keys and values carry their length, so different rows never yield
// the same input.
func appendRow(buf []byte, row Row) []byte {
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(row.Key)))
	buf = append(buf, row.Key...)
	buf = binary.LittleEndian.AppendUint64(buf, row.Number)
	deleted := byte(0)
	if row.Deleted {
		deleted = 1
	}
	buf = append(buf, deleted)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(row.Value)))
	return append(buf, row.Value...)
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// Snapshot returns a copy of the rows with their digest. It returns an empty state for a replica that is not
// ready, because that may lack rows below its version. Rows are encoded without holding the lock.
func (r *Replica) Snapshot() State {
	r.mu.Lock()
	if !r.haveObjects || !r.haveAssignments {
		r.mu.Unlock()
		return State{Digest: State{}.ComputeDigest()}
	}
	state := State{Version: r.version}
	objects := make([]structs.Object, 0, len(r.objects))
	for _, o := range r.objects {
		objects = append(objects, o)
	}
	assignments := make([]*structs.Assignment, 0, len(r.assignments))
	for _, a := range r.assignments {
		assignments = append(assignments, a)
	}
	r.mu.Unlock()
	for _, o := range objects {
		state.Objects = append(state.Objects, ObjectRow(o))
	}
	for _, a := range assignments {
		state.Assignments = append(state.Assignments, AssignmentRow(*a))
	}
	sortRows(state.Objects)
	sortRows(state.Assignments)
	state.Digest = state.ComputeDigest()
	return state
}

// ObjectRow returns the row of an object.
func ObjectRow(o structs.Object) Row {
	return Row{Key: ticket.ObjectKey(o.Kind, o.Name), Value: encode(o), Number: o.Number, Deleted: o.Deleted}
}

// AssignmentRow returns the row of an assignment.
func AssignmentRow(a structs.Assignment) Row {
	return Row{Key: AssignmentKey(a.DataCentre, a.Host), Value: encode(a), Number: a.Generation}
}

// encode returns v as JSON, or nil if it cannot be encoded.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		// Only a spec that is not valid JSON fails. The table contains none; if one occurs, the empty value makes
		// DecodeObject reject the row.
		return nil
	}
	return value
}

// DecodeObject decodes the row of an object. It returns ErrMalformed if the object does not match the row.
func DecodeObject(row Row) (structs.Object, error) {
	var o structs.Object
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return o, errors.Wrap(ErrMalformed, row.Key+": "+err.Error())
	}
	if ticket.ObjectKey(o.Kind, o.Name) != row.Key || o.Number != row.Number || o.Deleted != row.Deleted {
		return o, errors.Wrap(ErrMalformed, row.Key+": content does not match the key, number or deletion mark")
	}
	return o, nil
}

// DecodeAssignment decodes the row of an assignment. It returns ErrMalformed if the assignment does not match the row.
func DecodeAssignment(row Row) (structs.Assignment, error) {
	var a structs.Assignment
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return a, errors.Wrap(ErrMalformed, row.Key+": "+err.Error())
	}
	if AssignmentKey(a.DataCentre, a.Host) != row.Key || a.Generation != row.Number {
		return a, errors.Wrap(ErrMalformed, row.Key+": content does not match the key or generation")
	}
	return a, nil
}

// Restore verifies and merges the state of a peer in the same data centre, after which the replica is ready. It
// returns ErrDigest, ErrEmpty or ErrMalformed, and then changes nothing.
func (r *Replica) Restore(state State) error {
	if state.Digest != state.ComputeDigest() {
		return ErrDigest
	}
	if state.Version == 0 && len(state.Objects) == 0 {
		return ErrEmpty
	}
	objects := make([]structs.Object, len(state.Objects))
	for i, row := range state.Objects {
		var err error
		if objects[i], err = DecodeObject(row); err != nil {
			return err
		}
	}
	assignments := make([]structs.Assignment, len(state.Assignments))
	for i, row := range state.Assignments {
		var err error
		if assignments[i], err = DecodeAssignment(row); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := newMergeChanges()
	r.mergeSnapshot(c, objects, state.Version)
	r.haveObjects = true
	r.mergeAssignments(c, assignments)
	r.publish(c)
	return nil
}
