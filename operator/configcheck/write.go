package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes a line for each finding and each value that differs, and a line with the counts.
func (r *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	for _, f := range r.Findings {
		where := title(f.Kind, f.Name)
		if f.Field != "" {
			where += " " + f.Field
		}
		fmt.Fprintf(&out, "%s: %s: %s (%s)\n", f.Severity, where, f.Message, f.Code)
	}
	if r.Against != nil {
		fmt.Fprintf(&out, "changes from version %d to version %d: %d entries\n", *r.Against, r.Version, len(r.Changes))
	}
	signs := map[Action]string{ActionAdded: "+", ActionRemoved: "-", ActionChanged: "~"}
	for _, change := range r.Changes {
		where := signs[change.Action] + " " + title(change.Kind, change.Name)
		if change.Action != ActionChanged {
			fmt.Fprintln(&out, where)
		}
		for _, f := range change.Fields {
			fmt.Fprintln(&out, where, f)
		}
		if change.KeysAdded+change.KeysRemoved > 0 {
			fmt.Fprintf(&out, "%s ApiKeys: %d added, %d removed\n", where, change.KeysAdded, change.KeysRemoved)
		}
	}
	fmt.Fprintf(&out, "errors: %d, warnings: %d\n", r.Count(SeverityError), r.Count(SeverityWarning))
	_, err := io.WriteString(w, out.String())
	return err
}

// title returns the kind and name of an entry. Names with characters that do not print, which could change what a terminal shows, are
// quoted.
func title(kind Kind, name string) string {
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` {
		name = quoted
	}
	if name == "" {
		return string(kind)
	}
	return string(kind) + "/" + name
}
