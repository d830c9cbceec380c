package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validNode = `
[node]
name = n1
data_centre = dc1
[listen]
callers = 127.0.0.1:7101
ready = 127.0.0.1:7102
internal = 127.0.0.1:7103
admin = 127.0.0.1:7104
[platform]
store = 127.0.0.1:7000
machines = 127.0.0.1:7001
`

// Guards against a template of an earlier version, without the section, that switches the penalty off, and against a switch
// without effect.
func TestInterferenceIsOnUnlessSwitchedOff(t *testing.T) {
	n, err := LoadNode(writeSettings(t, validNode))
	assert.NilError(t, err)
	assert.Assert(t, !n.IgnoreInterference)
	n, err = LoadNode(writeSettings(t, validNode+"[placement]\ninterference = false\n"))
	assert.NilError(t, err)
	assert.Assert(t, n.IgnoreInterference)
	_, err = LoadNode(writeSettings(t, strings.Replace(validNode, "[node]", "[placement]\ninterference = no\n[node]", 1)))
	assert.ErrorContains(t, err, "[placement] interference")
}
