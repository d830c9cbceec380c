package ticket

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tamarackworks/tamarackworks/structs"
)

// objectID identifies a declared object.
type objectID struct {
	kind structs.Kind
	name string
}

// catalogEntry is an object with its decoded spec. The spec is nil if the object is deleted or the spec cannot
// be decoded.
type catalogEntry struct {
	object structs.Object
	spec   any
}

// Catalog holds the declared objects that tickets are validated against and compared with. It is not safe
// for concurrent use.
type Catalog struct {
	// version is the number of the last ticket without a gap; see Version.
	version uint64
	entries map[objectID]catalogEntry
}

// NewCatalog returns a catalogue of objects that contain the effect of every ticket up to number version.
func NewCatalog(objects []structs.Object, version uint64) *Catalog {
	c := &Catalog{version: version, entries: make(map[objectID]catalogEntry, len(objects))}
	for _, o := range objects {
		c.put(o)
	}
	return c
}

// Clone returns an independent copy.
func (c *Catalog) Clone() *Catalog {
	return &Catalog{version: c.version, entries: maps.Clone(c.entries)}
}

// Version returns the largest number such that the catalogue contains the effect of every ticket up to it.
func (c *Catalog) Version() uint64 { return c.version }

// Apply merges the objects of an accepted ticket. Objects that were written by a later ticket stay as they
// are. The version advances only if the ticket is the next one in order.
func (c *Catalog) Apply(t structs.Ticket) {
	for _, o := range Objects(t) {
		c.put(o)
	}
	if t.Number == c.version+1 {
		c.version = t.Number
	}
}

// put stores an object unless the stored one is from the same or a later ticket.
func (c *Catalog) put(o structs.Object) {
	id := objectID{o.Kind, o.Name}
	if old, ok := c.entries[id]; ok && old.object.Number >= o.Number {
		return
	}
	e := catalogEntry{object: o}
	if spec := newSpec(o.Kind); spec != nil && !o.Deleted && json.Unmarshal(o.Spec, spec) == nil {
		*specName(spec) = o.Name
		e.spec = spec
	}
	c.entries[id] = e
}

// Object returns a declared object, and false if it is absent or deleted.
func (c *Catalog) Object(kind structs.Kind, name string) (structs.Object, bool) {
	e, ok := c.entries[objectID{kind, name}]
	return e.object, ok && !e.object.Deleted
}

// spec returns the decoded spec of an object as a pointer to its type, nil if there is none.
func (c *Catalog) spec(kind structs.Kind, name string) any {
	return c.entries[objectID{kind, name}].spec
}

// sortedIDs returns the ids of all objects, deleted ones included, ordered by kind and name.
func (c *Catalog) sortedIDs() []objectID {
	return slices.SortedFunc(maps.Keys(c.entries), func(a, b objectID) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

// Changes returns the ticket objects that differ from the catalogue. The base of each is the number of the
// ticket that last wrote the object, 0 if the object does not exist.
func (c *Catalog) Changes(objects []structs.TicketObject) []structs.TicketObject {
	var changed []structs.TicketObject
	for _, o := range objects {
		o.Base = 0
		if old, ok := c.Object(o.Kind, o.Name); ok {
			o.Base = old.Number
		}
		if o.Delete || len(c.diffObject(o)) > 0 {
			changed = append(changed, o)
		}
	}
	return changed
}

// Diff returns one line for each field that the ticket objects change, and one for each new or deleted
// object. A line starts with "+" for a new object, "-" for a deleted one and "~" for a changed one.
func (c *Catalog) Diff(objects []structs.TicketObject) []string {
	var lines []string
	for _, o := range objects {
		lines = append(lines, c.diffObject(o)...)
	}
	return lines
}

// diffObject returns the lines of Diff for one object.
func (c *Catalog) diffObject(o structs.TicketObject) []string {
	title := string(o.Kind) + "/" + o.Name
	old, exists := c.Object(o.Kind, o.Name)
	if o.Delete {
		return []string{"- " + title}
	}
	sign := "~"
	before, after := fieldValues(old.Spec), fieldValues(o.Spec)
	var lines []string
	if !exists {
		sign = "+"
		lines = append(lines, "+ "+title)
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, field := range sortedKeys(names) {
		oldText, newText := fieldText(before, field), fieldText(after, field)
		switch {
		case oldText == newText || field == "name":
		case !exists:
			lines = append(lines, fmt.Sprintf("%s %s %s: %s", sign, title, field, newText))
		default:
			lines = append(lines, fmt.Sprintf("%s %s %s: %s -> %s", sign, title, field, oldText, newText))
		}
	}
	return lines
}

// fieldValues returns the JSON values of the fields of a spec.
func fieldValues(spec json.RawMessage) map[string]json.RawMessage {
	values := make(map[string]json.RawMessage)
	if len(spec) > 0 {
		// A spec that is not an object has no fields to compare.
		_ = json.Unmarshal(spec, &values)
	}
	return values
}

// fieldText returns the value of a field as it is shown in a diff.
func fieldText(values map[string]json.RawMessage, field string) string {
	if value, ok := values[field]; ok {
		return string(value)
	}
	return "(unset)"
}

// Objects returns the objects of a kind that are not deleted, ordered by kind and name. An empty kind selects
// all kinds.
func (c *Catalog) Objects(kind structs.Kind) []structs.Object {
	var objects []structs.Object
	for _, id := range c.sortedIDs() {
		if o, ok := c.Object(id.kind, id.name); ok && (kind == "" || id.kind == kind) {
			objects = append(objects, o)
		}
	}
	return objects
}
