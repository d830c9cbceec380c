// Package ticket decodes, validates, compares and submits change tickets, and
// reads accepted ones. A change ticket creates, changes or deletes declared
// objects (services, pools, hosts, teams, waves and drains) in one transaction
// of the platform's table. Accepted tickets are numbered from 1 without gaps.
// All state is in that table.
package ticket

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Keys of the rows of this package in the platform's table.
const (
	// HeadKey holds the number of the last accepted ticket.
	HeadKey = "ticket/head"
	// NumberPrefix precedes the zero-padded number of a ticket row.
	NumberPrefix = "ticket/n/"
	// IDPrefix precedes the id of a submission.
	IDPrefix = "ticket/id/"
	// ObjectPrefix precedes kind and name of a declared object.
	ObjectPrefix = "object/"
)

// NumberKey returns the key of the row of an accepted ticket. Numbers are padded so that key order is number
// order.
func NumberKey(number uint64) string { return fmt.Sprintf("%s%020d", NumberPrefix, number) }

// IDKey returns the key of the row that maps a submission's id to the number of the accepted ticket.
func IDKey(id string) string { return IDPrefix + id }

// ObjectKey returns the key of the row of a declared object.
func ObjectKey(kind structs.Kind, name string) string {
	return ObjectPrefix + string(kind) + "/" + name
}

// ParseObjectKey returns the kind and name in the key of an object row, and false if it is not such a key.
func ParseObjectKey(key string) (structs.Kind, string, bool) {
	rest, ok := strings.CutPrefix(key, ObjectPrefix)
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return structs.Kind(kind), name, ok && kind != "" && name != ""
}

// Objects returns the stored form of the objects that an accepted ticket writes. Both the object rows in the
// table and the objects that a Catalog merges from a ticket come from this function, so they are equal.
func Objects(t structs.Ticket) []structs.Object {
	objects := make([]structs.Object, len(t.Objects))
	for i, o := range t.Objects {
		objects[i] = structs.Object{Kind: o.Kind, Name: o.Name, Number: t.Number, Author: t.Author, Deleted: o.Delete}
		if !o.Delete {
			objects[i].Spec = append(json.RawMessage(nil), o.Spec...)
		}
	}
	return objects
}
