package ticket

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
	"sigs.k8s.io/yaml"

	"github.com/tamarackworks/tamarackworks/structs"
)

// declaration is one document of a declaration file.
type declaration struct {
	Kind structs.Kind `json:"kind"`
	Name string       `json:"name"`
	// Delete removes the object; such a document has no spec.
	Delete bool            `json:"delete"`
	Spec   json.RawMessage `json:"spec"`
}

// Decode decodes the YAML documents of a declaration file. Unknown fields, repeated fields and values of
// the wrong type are errors. It returns the errors of all documents joined, each an InvalidError. The bases
// of the objects are not set.
func Decode(file string, data []byte) ([]structs.TicketObject, error) {
	var objects []structs.TicketObject
	var errs []error
	for i, document := range splitDocuments(string(data)) {
		o, ok, err := decodeDocument(document)
		var invalid *InvalidError
		if errors.As(err, &invalid) {
			invalid.File, invalid.Document = file, i+1
			errs = append(errs, invalid)
		} else if ok {
			objects = append(objects, o)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return objects, nil
}

// splitDocuments splits a file at its document markers. A line that consists of "---" or starts with it and
// white space is always a marker in YAML, within block scalars too.
func splitDocuments(data string) []string {
	data = strings.ReplaceAll(data, "\r\n", "\n")
	var documents []string
	var current strings.Builder
	started := false
	for line := range strings.Lines(data) {
		rest, isMarker := strings.CutPrefix(line, "---")
		if isMarker && (rest == "" || strings.ContainsAny(rest[:1], " \t\n")) {
			if started {
				documents = append(documents, current.String())
				current.Reset()
			}
			line = rest
		}
		current.WriteString(line)
		started = started || isMarker || strings.TrimSpace(line) != ""
	}
	return append(documents, current.String())
}

// decodeDocument decodes and normalizes the object of one document. It returns false for a document without
// content.
func decodeDocument(document string) (structs.TicketObject, bool, error) {
	var o structs.TicketObject
	data, err := yaml.YAMLToJSONStrict([]byte(document))
	if err != nil {
		return o, false, &InvalidError{Reason: err.Error()}
	}
	if string(data) == "null" {
		return o, false, nil
	}
	var d declaration
	if field, reason := decodeStrict(data, &d); reason != "" {
		return o, false, &InvalidError{Kind: d.Kind, Name: d.Name, Field: field, Reason: reason}
	}
	if len(d.Spec) == 0 && !d.Delete {
		// A drain may be declared by its name alone.
		d.Spec = json.RawMessage("{}")
	}
	o = structs.TicketObject{Kind: d.Kind, Name: d.Name, Delete: d.Delete, Spec: d.Spec}
	o, err = Normalize(o)
	return o, err == nil, err
}
