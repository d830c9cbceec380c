package configcheck

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tamarackworks/tamarackworks/platform"
)

// Guards against findings in a correct configuration, and against faults that are not found or found under another code. Each case
// replaces a part of the example.
func TestEachFaultGivesOneFinding(t *testing.T) {
	example, err := os.ReadFile("../../docs/examples/node-config.json")
	assert.NilError(t, err)
	const index = `"Prefix": "/index/", "Service": "index"`
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"Version": 12`, `"Version": 0`, "error missing configuration/ Version"},
		{`"Version": 12`, `"Version": "12"`, "error wrong-type configuration/ Version"},
		{`"Version": 12`, `"Version": 11`, "error version-not-higher configuration/ Version"},
		{`"Name": "spare"`, `"Name": "render"`, "error duplicate-name service/render Name\nwarning route-to-standby route/render Service"},
		{`"Name": "spare"`, `"Name": ""`, "error missing service/ Name"},
		{`"Standby": true`, `"Standby": false`, "warning unused-service service/spare "},
		{`"Service": "render"`, `"Service": "spare"`, "warning unused-service service/render \nwarning route-to-standby route/render Service"},
		{`"Name": "index", "Host"`, `"Name": "render", "Host"`, "error duplicate-name route/render Name"},
		{index, `"Prefix": "/index/", "Service": "other"`, "error undeclared-service route/index Service"},
		{index, `"Prefix": "/index/"`, "error missing route/index Service"},
		{index, `"Prefix": "index/", "Service": "index"`, "error bad-prefix route/index Prefix"},
		{index, `"Prefix": "/index", "Service": "index"`, "warning bad-prefix route/index Prefix"},
		{index, `"Prefix": "/render/", "Service": "index"`, "error hidden-route route/index "},
		{`"jobs.example.org", ` + index, `"Jobs.example.org", "Prefix": "/render/", "Service": "index"`, "error hidden-route route/index "},
		{`"jobs.example.org", ` + index, `"other.example.org", "Prefix": "/render/", "Service": "index"`, ""},
		{`"jobs.example.org", ` + index, `"jobs.example.org:80", ` + index, "error host-with-port route/index Host"},
		{`"MaxAttempts": 1`, `"MaxAttempts": -1`, "error out-of-range route/health MaxAttempts"},
		{`"ValidMs": 2000`, `"ValidMs": 1e300`, "error out-of-range route/index Recommendation.ValidMs"},
		{`"SlackFactor": 1,`, `"SlackFactor": 0.5,`, "warning slack-ignored route/health SlackFactor"},
		{`"TargetCompletionMs": 600, "Priority": 0, "MaxAttempts": 1`, `"MaxAttempts": 1`, "warning no-objective route/health TargetCompletionMs"},
		{`"example-key-3"`, ``, "warning no-own-key organisation/archive ApiKeys"},
		{`"example-key-3"`, `"example-key-3", " example-key-4"`, "error unusable-key organisation/archive ApiKeys"},
		{`"example-key-3"`, `"example-key-3", "example-key-1"`, "error shared-key organisation/press ApiKeys"},
		{`"example-key-1", "example-key-2"`, `"example-key-3"`, "error shared-key organisation/press ApiKeys\nerror no-own-key organisation/press ApiKeys"},
		{`"example-key-3"`, `7`, "error wrong-type configuration/ " + platform.ConfigOrganisationsField + ".ApiKeys"},
		{`"Weight": 10`, `"Weight": 0`, "warning unbounded-share organisation/archive Weight"},
		{`"Weight": 10`, `"Weight": 0.5`, "warning share-too-small organisation/archive Weight"},
		{`"Cpu": 16000`, `"Cpu": -1`, "error out-of-range organisation/archive Cap.Cpu"},
		{`"MaxBodyBytes": 262144`, `"MaxBodyBytes": 0`, "warning default-limit configuration/ Limits.MaxBodyBytes"},
		{`16384`, `0`, "warning ignored-limit configuration/ Limits.MaxHeaderBytes"},
	} {
		assert.Assert(t, bytes.Contains(example, []byte(c.old)), c.old)
		r, err := Check(bytes.Replace(example, []byte(c.old), []byte(c.new), 1), []byte(`{"Version":11}`))
		assert.NilError(t, err)
		var got []string
		for _, f := range r.Findings {
			got = append(got, strings.Join([]string{string(f.Severity), string(f.Code), string(f.Kind) + "/" + f.Name, f.Field}, " "))
		}
		assert.Equal(t, strings.Join(got, "\n"), c.want, "%s: %+v", c.new, r.Findings)
	}
}

// Guards against a wrong line, and against a part of the input in the message about a value of a wrong type.
func TestMessageOfAWrongType(t *testing.T) {
	r, err := Check([]byte("{\n\"Routes\": [{\n\"Priority\": 71.5}]}"), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Findings[0].Message, "line 3: Routes.Priority is a JSON number, not a value for int")
}

// Guards against changes that are left out or shown for entries that only moved, and against keys in the output.
func TestChanges(t *testing.T) {
	const former = `{"Version":3,"Routes":[{"Name":"a","Host":"h","Prefix":"/a/","Service":"s"},{"Name":"b","Host":"h","Prefix":"/b/","Service":"s"}],
		"Services":[{"Name":"s"}],"` + platform.ConfigOrganisationsField + `":[{"Name":"o","ApiKeys":["secret1","secret2"],"Weight":2},{"Name":"p","ApiKeys":["secret5"]}]}`
	const next = `{"Version":4,"Routes":[{"Name":"c","Host":"h","Prefix":"/c/","Service":"s"},{"Name":"a","Host":"h","Prefix":"/a/","Service":"s","Priority":1,
		"Recommendation":{"ValidMs":5}}],"Services":[{"Name":"s","Standby":true}],"Limits":{"MaxBodyBytes":9},
		"` + platform.ConfigOrganisationsField + `":[{"Name":"o","ApiKeys":["secret2","secret3","secret4"],"Weight":3},{"Name":"o\u001b[2J","ApiKeys":["secret3"],"Weight":3}]}`
	r, err := Check([]byte(next), []byte(former))
	assert.NilError(t, err)
	var text, encoded bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	assert.NilError(t, r.WriteJSON(&encoded))
	_, changes, _ := strings.Cut(text.String(), "changes from")
	assert.Equal(t, changes, ` version 3 to version 4: 8 entries
~ configuration Version: 3 -> 4
~ configuration Limits.MaxBodyBytes: (not set) -> 9
+ route/c
+ route/c Host: (not set) -> "h"
+ route/c Prefix: (not set) -> "/c/"
+ route/c Service: (not set) -> "s"
~ route/a Priority: 0 -> 1
~ route/a Recommendation: false -> true
~ route/a Recommendation.DecisionMs: (not set) -> 0
~ route/a Recommendation.PeriodMs: (not set) -> 0
~ route/a Recommendation.ValidMs: (not set) -> 5
- route/b
- route/b Host: "h" -> (not set)
- route/b Prefix: "/b/" -> (not set)
- route/b Service: "s" -> (not set)
~ service/s Standby: false -> true
~ organisation/o Weight: 2 -> 3
~ organisation/o ApiKeys: 2 added, 1 removed
+ organisation/"o\x1b[2J"
+ organisation/"o\x1b[2J" Weight: (not set) -> 3
+ organisation/"o\x1b[2J" ApiKeys: 1 added, 0 removed
- organisation/p
- organisation/p ApiKeys: 0 added, 1 removed
errors: 1, warnings: 2
`)
	for _, f := range []string{text.String(), encoded.String()} {
		assert.Assert(t, !strings.Contains(f, "secret"))
	}
	assert.Assert(t, cmp.Contains(encoded.String(), `"keys_added": 2`))
}

// FuzzCheck guards against panics, against errors of another type, and against keys in the output, also in that of inputs that are not
// valid.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Routes":[null,{"Prefix":"a"}],"`+platform.ConfigOrganisationsField+`":[{"ApiKeys":["a","","b"]}],"Limits":null}`), []byte(`{"Routes":[{"Name":"x","Recommendation":{}}]}`), "k")
	f.Add([]byte(`{"`+platform.ConfigOrganisationsField+`":[{"Name":7}]}`), []byte(`null`), "k\n")
	f.Add([]byte(`[`), []byte(``), `"`)
	f.Fuzz(func(t *testing.T, candidate, inEffect []byte, part string) {
		key := "unlikely-secret" + part
		candidate = bytes.ReplaceAll(candidate, []byte(`"ApiKeys":["`), []byte(`"ApiKeys":["`+key+`","`))
		r, err := Check(candidate, inEffect)
		var out bytes.Buffer
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrInput))
			out.WriteString(err.Error())
		} else {
			assert.NilError(t, errors.Join(r.WriteText(&out), r.WriteJSON(&out)))
		}
		assert.Assert(t, !strings.Contains(out.String(), "unlikely-secret"))
	})
}
