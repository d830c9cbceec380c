package configcheck

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/tamarackworks/tamarackworks/platform"
)

// Action says how an entry differs from the configuration in effect.
type Action string

// Actions of changes.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Change is an entry that differs from the configuration in effect.
type Change struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name,omitempty"`
	// Fields are the values that differ; those of an entry that was added or removed are the ones that are not zero.
	Fields []FieldChange `json:"fields,omitempty"`
	// KeysAdded and KeysRemoved are numbers of different API keys.
	KeysAdded   int `json:"keys_added,omitempty"`
	KeysRemoved int `json:"keys_removed,omitempty"`
}

// FieldChange is a value that differs. Old or New is nil if the value is missing.
type FieldChange struct {
	Field string `json:"field"`
	Old   any    `json:"old"`
	New   any    `json:"new"`
}

// diff returns the differences of two configurations: of the document, then of routes, services and organisations in their order in
// next, followed by those that were removed.
func diff(former, next *platform.ConfigDocument) []Change {
	var changes []Change
	oldFields, newFields := flatten("", reflect.ValueOf(*former)), flatten("", reflect.ValueOf(*next))
	if fields := diffFields(oldFields, newFields); len(fields) > 0 {
		changes = append(changes, Change{Action: ActionChanged, Kind: KindDocument, Fields: fields})
	}
	changes = append(changes, diffEntries(KindRoute, former.Routes, next.Routes, func(r platform.ConfigRoute) string { return r.Name })...)
	changes = append(changes, diffEntries(KindService, former.Services, next.Services, func(s platform.ConfigService) string { return s.Name })...)
	var oldOrganisations, newOrganisations []platform.ConfigOrganisation
	if former.Organisations != nil {
		oldOrganisations = *former.Organisations
	}
	if next.Organisations != nil {
		newOrganisations = *next.Organisations
	}
	name := func(o platform.ConfigOrganisation) string { return o.Name }
	return append(changes, diffEntries(KindOrganisation, oldOrganisations, newOrganisations, name)...)
}

// diffEntries returns the differences of two lists of entries, which it matches by name. Of entries with equal names, the first counts.
func diffEntries[T any](kind Kind, former, next []T, name func(T) string) []Change {
	index := func(list []T) map[string]*T {
		byName := make(map[string]*T)
		for i := range list {
			if n := name(list[i]); byName[n] == nil {
				byName[n] = &list[i]
			}
		}
		return byName
	}
	oldByName, newByName := index(former), index(next)
	var changes []Change
	compare := func(action Action, n string) {
		change := Change{Action: action, Kind: kind, Name: n}
		change.Fields = diffFields(fieldsOf(oldByName[n]), fieldsOf(newByName[n]))
		change.KeysAdded, change.KeysRemoved = diffKeys(oldByName[n], newByName[n])
		if action != ActionChanged || len(change.Fields) > 0 || change.KeysAdded+change.KeysRemoved > 0 {
			changes = append(changes, change)
		}
	}
	for i := range next {
		n := name(next[i])
		switch {
		case newByName[n] != &next[i]:
		case oldByName[n] == nil:
			compare(ActionAdded, n)
		default:
			compare(ActionChanged, n)
		}
	}
	for i := range former {
		if n := name(former[i]); oldByName[n] == &former[i] && newByName[n] == nil {
			compare(ActionRemoved, n)
		}
	}
	return changes
}

// field is a named value of an entry. A missing value is nil.
type field struct {
	name  string
	value any
}

func fieldsOf[T any](e *T) []field {
	if e == nil {
		return nil
	}
	// The name identifies the entry and is no value of it.
	return slices.DeleteFunc(flatten("", reflect.ValueOf(*e)), func(f field) bool { return f.name == "Name" })
}

// flatten returns the values of a struct by their JSON names, those of nested structs after the name of the outer field and a dot.
// Lists, whose entries are compared one by one, are left out; that also keeps keys out of the result. A pointer to a struct or list
// gives a value that says whether it is set.
func flatten(prefix string, v reflect.Value) []field {
	var fields []field
	for i := range v.NumField() {
		name, value := prefix+v.Type().Field(i).Tag.Get("json"), v.Field(i)
		if value.Kind() == reflect.Pointer {
			kind := value.Type().Elem().Kind()
			if kind == reflect.Struct || kind == reflect.Slice {
				fields = append(fields, field{name, !value.IsNil()})
			}
			if value.IsNil() {
				continue
			}
			value = value.Elem()
		}
		switch value.Kind() {
		case reflect.Slice:
		case reflect.Struct:
			fields = append(fields, flatten(name+".", value)...)
		default:
			fields = append(fields, field{name, value.Interface()})
		}
	}
	return fields
}

// diffFields returns the fields whose values differ. If one side has no fields at all, those that are zero on the other are left out.
func diffFields(former, next []field) []FieldChange {
	value := func(fields []field, name string) any {
		if i := slices.IndexFunc(fields, func(f field) bool { return f.name == name }); i >= 0 {
			return fields[i].value
		}
		return nil
	}
	isZero := func(f field) bool { return reflect.ValueOf(f.value).IsZero() }
	if former == nil {
		next = slices.DeleteFunc(next, isZero)
	}
	if next == nil {
		former = slices.DeleteFunc(former, isZero)
	}
	var changes []FieldChange
	for _, f := range next {
		if old := value(former, f.name); old != f.value {
			changes = append(changes, FieldChange{f.name, old, f.value})
		}
	}
	for _, f := range former {
		if value(next, f.name) == nil {
			changes = append(changes, FieldChange{f.name, f.value, nil})
		}
	}
	return changes
}

// diffKeys returns the numbers of keys that were added to and removed from an organisation, and zeros for other entries.
func diffKeys(former, next any) (added, removed int) {
	keysOf := func(e any) map[platform.APIKey]bool {
		keys := make(map[platform.APIKey]bool)
		if o, ok := e.(*platform.ConfigOrganisation); ok && o != nil {
			for _, key := range o.Keys {
				keys[key] = true
			}
		}
		return keys
	}
	oldKeys, newKeys := keysOf(former), keysOf(next)
	for key := range newKeys {
		if !oldKeys[key] {
			added++
		}
	}
	for key := range oldKeys {
		if !newKeys[key] {
			removed++
		}
	}
	return added, removed
}

// String returns the value change for the text output.
func (c FieldChange) String() string {
	format := func(v any) string {
		switch v := v.(type) {
		case nil:
			return "(not set)"
		case string:
			return fmt.Sprintf("%q", v)
		}
		return fmt.Sprint(v)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Field, format(c.Old), format(c.New))
}
