package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const validEntry = `
[entry]
id = e1
data_centre = dc1
host = m1
[listen]
caller = 127.0.0.1:7101
operator = 127.0.0.1:7102
peer = 127.0.0.1:7103
admin = 127.0.0.1:7104
[platform]
url = http://127.0.0.1:7000
[peers]
addresses = dc1/e2@127.0.0.1:7203, dc2/e3@127.0.0.1:7303
[security]
insecure = true
`

// Guards against defaults that are not applied and addresses of peers that are parsed wrongly.
func TestEntryDefaultsAndPeers(t *testing.T) {
	e, err := LoadEntry(writeSettings(t, validEntry))
	assert.NilError(t, err)
	assert.Equal(t, e.Profile, ProfileBuffer)
	assert.Equal(t, e.Limits.MaxBodyBytes, 1<<20)
	assert.DeepEqual(t, e.Peers[1], PeerAddress{Entry: "e3", DataCentre: "dc2", Address: "127.0.0.1:7303"})
}

// Guards against an error that reports only the first of several invalid settings.
func TestAllErrorsAreReportedTogether(t *testing.T) {
	broken := strings.NewReplacer(
		"127.0.0.1:7101", "localhost:7101",
		"id = e1", "id = E 1",
		"insecure = true", "insecure = yes",
		"[platform]", "[policy]\nprofile = cheap\nclaims_kept = 3\nspeed = 9\n[platform]",
	).Replace(validEntry)
	_, err := LoadEntry(writeSettings(t, broken))
	assert.ErrorIs(t, err, ErrInvalid)
	for _, want := range []string{
		`[listen] caller = "localhost:7101"`, `[entry] id = "E 1"`, `[security] insecure = "yes"`,
		`[policy] profile = "cheap": allowed: buffer, moves`, `[policy] claims_kept = "3"`,
		`[policy] speed = "9": allowed: one of the known keys: claims_kept`,
		`[security] tls_cert = ""`,
	} {
		assert.Check(t, cmp.Contains(err.Error(), want))
	}
}

// Guards against a process that runs without TLS because a security setting is missing.
func TestSecurityIsRequiredUnlessSwitchedOff(t *testing.T) {
	_, err := LoadEntry(writeSettings(t, strings.Replace(validEntry, "insecure = true", "", 1)))
	assert.ErrorContains(t, err, "peer_token_file")
}

// Guards against example files that the code no longer accepts.
func TestExamplesAreValid(t *testing.T) {
	_, err := LoadEntry("../examples/tamarackd.ini")
	assert.NilError(t, err)
	_, err = LoadPlatform("../examples/tamarack-platform.ini")
	assert.NilError(t, err)
	_, err = LoadTarget("../examples/tamarack-target.ini")
	assert.NilError(t, err)
}

// Guards against a panic on malformed files.
func FuzzEntry(f *testing.F) {
	f.Add(validEntry)
	f.Add("[a\n=")
	f.Fuzz(func(t *testing.T, content string) {
		l, err := Parse("fuzz.ini", []byte(content))
		if err != nil {
			return
		}
		readEntry(l)
		_ = l.Err()
	})
}
