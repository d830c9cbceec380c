package ticket

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// maxIDLength bounds the id, which is part of a key, and maxTitleLength the title, which is shown in lists.
	// Both are in bytes.
	maxIDLength    = 64
	maxTitleLength = 200
	// maxSpecBytes bounds one spec, so that a ticket of MaxObjects stays far below the platform's limit of
	// 16 MiB for one call.
	maxSpecBytes = 16 << 10
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// newSpec returns a pointer to an empty spec of a kind, nil if the kind is unknown.
func newSpec(kind structs.Kind) any {
	switch kind {
	case structs.KindService:
		return new(structs.Service)
	case structs.KindPool:
		return new(structs.Pool)
	case structs.KindHost:
		return new(structs.Host)
	case structs.KindTeam:
		return new(structs.Team)
	case structs.KindWave:
		return new(structs.Wave)
	case structs.KindDrain:
		return new(structs.Drain)
	}
	return nil
}

// specName returns a pointer to the name field of a spec.
func specName(spec any) *string {
	return reflect.ValueOf(spec).Elem().FieldByName("Name").Addr().Interface().(*string)
}

// fieldNames returns the JSON names of the fields of a spec.
func fieldNames(spec any) []string {
	t := reflect.TypeOf(spec).Elem()
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

// decodeStrict decodes a JSON object and rejects unknown fields. encoding/json matches names without regard
// to case, so the exact names are checked here. In case of an error it returns the field, if known, and the
// reason.
func decodeStrict(data []byte, into any) (field, reason string) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil || raw == nil {
		return "", "is not a mapping of fields"
	}
	known := fieldNames(into)
	for _, name := range sortedKeys(raw) {
		if !slices.Contains(known, name) {
			return name, "unknown field; known are " + strings.Join(known, ", ")
		}
	}
	if err := json.Unmarshal(data, into); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return typeErr.Field, fmt.Sprintf("expected %s, found %s", typeErr.Type, typeErr.Value)
		}
		return "", err.Error()
	}
	return "", ""
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Normalize decodes and checks the spec of an object and returns the object with its spec in canonical form,
// which contains the name. It returns an InvalidError if the object is malformed.
func Normalize(o structs.TicketObject) (structs.TicketObject, error) {
	spec, err := decodeSpec(o)
	if err != nil || o.Delete {
		o.Spec = nil
		return o, err
	}
	o.Spec, err = json.Marshal(spec)
	return o, err
}

// decodeSpec decodes and checks the spec of an object. It returns a pointer to the spec, nil for a deletion.
func decodeSpec(o structs.TicketObject) (any, error) {
	invalid := func(field, reason string) error {
		return &InvalidError{Kind: o.Kind, Name: o.Name, Field: field, Reason: reason}
	}
	spec := newSpec(o.Kind)
	if spec == nil {
		return nil, invalid("kind", "is not one of service, pool, host, team, wave, drain")
	}
	if !namePattern.MatchString(o.Name) {
		return nil, invalid("name", "does not match "+namePattern.String())
	}
	if o.Delete {
		if len(o.Spec) > 0 && !bytes.Equal(o.Spec, []byte("null")) {
			return nil, invalid("spec", "must be absent in a deletion")
		}
		return nil, nil
	}
	if len(o.Spec) > maxSpecBytes {
		return nil, invalid("spec", fmt.Sprintf("has %d bytes, the limit is %d", len(o.Spec), maxSpecBytes))
	}
	if field, reason := decodeStrict(o.Spec, spec); reason != "" {
		return nil, invalid(strings.TrimSuffix("spec."+field, "."), reason)
	}
	name := specName(spec)
	if *name != "" && *name != o.Name {
		return nil, invalid("spec.name", fmt.Sprintf("is %q, which is not the name of the object", *name))
	}
	*name = o.Name
	if field, reason := checkValues(spec); reason != "" {
		return nil, invalid("spec."+field, reason)
	}
	return spec, nil
}

// checkForm checks the parts of a ticket that depend neither on specs nor on other objects.
func checkForm(t structs.Ticket) error {
	switch {
	case len(t.ID) > maxIDLength || !idPattern.MatchString(t.ID):
		return &InvalidError{Field: "id", Reason: fmt.Sprintf("%q is not 1 to %d letters, digits, dots, underscores and dashes that start with a letter or digit", t.ID, maxIDLength)}
	case len(t.Title) > maxTitleLength:
		return &InvalidError{Field: "title", Reason: fmt.Sprintf("has %d bytes, the limit is %d", len(t.Title), maxTitleLength)}
	case len(t.Objects) == 0:
		return &InvalidError{Field: "objects", Reason: "the ticket has no objects"}
	case len(t.Objects) > MaxObjects:
		return &InvalidError{Field: "objects", Reason: fmt.Sprintf(
			"the ticket has %d objects, the limit is %d because a ticket is one transaction of at most %d rows with room for references; submit several tickets",
			len(t.Objects), MaxObjects, maxTxnRows)}
	}
	seen := make(map[string]bool)
	for _, o := range t.Objects {
		key := ObjectKey(o.Kind, o.Name)
		if seen[key] {
			return &InvalidError{Kind: o.Kind, Name: o.Name, Reason: "occurs twice in the ticket"}
		}
		seen[key] = true
	}
	return nil
}
