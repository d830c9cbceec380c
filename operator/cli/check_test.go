package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against exit codes that let a script send a wrong configuration, and against a check that needs a server.
func TestCheckExitCodes(t *testing.T) {
	example, err := os.ReadFile("../../docs/examples/node-config.json")
	assert.NilError(t, err)
	current := filepath.Join(t.TempDir(), "current.json")
	assert.NilError(t, os.WriteFile(current, example, 0o600))
	empty := filepath.Join(t.TempDir(), "empty.json")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	next := strings.Replace(string(example), `"Version": 12`, `"Version": 13`, 1)
	for _, c := range []struct {
		stdin, output string
		want          int
		argv          []string
	}{
		{next, "errors: 0, warnings: 0", ExitOK, []string{"-", "--against", current}},
		{string(example), "version-not-higher", ExitFindings, []string{"-", "--against", current}},
		{strings.Replace(next, `"Weight": 10`, `"Weight": 0`, 1), "unbounded-share", ExitWarnings, []string{"-"}},
		{"no JSON", "", ExitInput, []string{"-"}},
		{next, "only one configuration", ExitInput, []string{"-", "--against", "-"}},
		{next, "configuration in effect", ExitInput, []string{"-", "--against", empty}},
		{next, "", ExitInput, []string{current + ".absent"}},
		{next, "", ExitInput, nil},
	} {
		var stdout, stderr bytes.Buffer
		code := Run(t.Context(), append([]string{"check"}, c.argv...), Options{Stdin: strings.NewReader(c.stdin), Stdout: &stdout, Stderr: &stderr})
		assert.Equal(t, code, c.want, "%v: %s%s", c.argv, &stdout, &stderr)
		assert.Assert(t, cmp.Contains(stdout.String()+stderr.String(), c.output))
		assert.Equal(t, code == ExitOK, stderr.Len() == 0)
	}
	var stdout bytes.Buffer
	assert.Equal(t, Run(t.Context(), []string{"--output", "json", "check", current}, Options{Stdout: &stdout}), ExitOK)
	assert.Assert(t, json.Valid(stdout.Bytes()))
}
