package ticket

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tamarackworks/tamarackworks/structs"
)

// testDeclarations declares one object of each kind except team, and two pools.
const testDeclarations = `
kind: service
name: web
---
kind: pool
name: p1
spec: {data_centre: dc1, service: web, max_unavailable: 1}
--- # pool of the other data centre
kind: pool
name: p2
spec: {data_centre: dc2, spare: true}
---
# nothing
---
kind: host
name: h1
spec: {data_centre: dc1, rack: r1, address: "10.0.0.1:80", pool: p1}
---
kind: wave
name: w1
spec: {data_centre: dc1, pools: [p1], max_parallel: 1}
---
kind: drain
name: h1
spec: {reason: "a\n---\nb"}
`

// decodeTicket returns ticket 1 with the objects that the YAML documents declare.
func decodeTicket(t *testing.T, data string) structs.Ticket {
	t.Helper()
	objects, err := Decode("f.yaml", []byte(data))
	assert.NilError(t, err)
	return structs.Ticket{Number: 1, ID: "x", Objects: objects}
}

func newTestCatalog(t *testing.T, data string) *Catalog {
	t.Helper()
	c := NewCatalog(nil, 0)
	c.Apply(decodeTicket(t, data))
	return c
}

// Guards against errors in a declaration that are ignored, or reported without file, document and field.
func TestDecodeNamesTheErrorPlace(t *testing.T) {
	for document, want := range map[string]string{
		"kind: pool\nname: p\nspec: {min_host: 1}":                                 "pool/p: spec.min_host: unknown field",
		"kind: pool\nname: p\nspec: {Min_Hosts: 1}":                                "pool/p: spec.Min_Hosts: unknown field",
		"kind: pool\nname: p\nspec: {min_hosts: many}":                             "pool/p: spec.min_hosts: expected int, found string",
		"kind: pool\nname: p\nspec: {min_hosts: 1, min_hosts: 2}":                  `key "min_hosts" already set`,
		"kind: pool\nname: p\nspec: {data_centre: d, min_hosts: -1}":               "spec.min_hosts: must not be negative",
		"kind: pool\nname: p\nspec: {data_centre: d}":                              "spec.service: must be set",
		"kind: pool\nname: p\nspec: {data_centre: /, spare: true}":                 `spec.data_centre: "/" does not match`,
		"kind: pool\nname: p\nspec: {name: q}":                                     `spec.name: is "q"`,
		"kind: pool\nname: p\nspecs: {}":                                           "specs: unknown field",
		"kind: pol\nname: p":                                                       "kind: is not one of",
		"kind: team\nname: P":                                                      "name: does not match",
		"kind: team\nname: " + strings.Repeat("p", 64):                             "name: does not match",
		"kind: team\nname: p\ndelete: true\nspec: {}":                              "spec: must be absent",
		"kind: team\nname: p\nspec: [1]":                                           "spec: is not a mapping",
		"kind: team\nname: p\nspec: {max_jobs: 1.5}":                               "spec.max_jobs: expected int, found number 1.5",
		"kind: wave\nname: p\nspec: {data_centre: d}":                              "max_parallel: must be at least 1",
		"kind: host\nname: p\nspec: {address: 'example.org:80'}":                   "spec.address: \"example.org:80\" is not an IP",
		"kind: host\nname: p\nspec: {address: '10.0.0.1'}":                         "spec.address: \"10.0.0.1\" is not an IP",
		"kind: host\nname: p\nspec: {address: '0.0.0.0:80'}":                       "cannot be connected to",
		"kind: host\nname: p\nspec: {address: '[::1]:1'}":                          "spec.rack: must be set",
		"kind: host\nname: p\nspec: {address: '[::1]:1', rack: r}":                 "spec.data_centre",
		"kind: drain\nname: p\nspec: {reason: " + strings.Repeat("x", 20000) + "}": "the limit is 16384",
		"text":       "is not a mapping",
		"kind: [":    "yaml",
		"kind: team": "name: does not match",
	} {
		_, err := Decode("f.yaml", []byte("kind: team\nname: a\n---\n"+document))
		assert.Assert(t, err != nil, document)
		assert.Check(t, cmp.Contains(err.Error(), "f.yaml: document 2: "))
		assert.Check(t, cmp.Contains(err.Error(), want))
	}
	_, err := Decode("f.yaml", []byte("kind: a\n---\nkind: b\n"))
	assert.Check(t, cmp.Contains(err.Error(), "document 1"))
	assert.Check(t, cmp.Contains(err.Error(), "document 2"))
}

// Guards against an accepted ticket that leaves dangling references, two hosts with one address, or a disruption
// budget larger than the pool.
func TestValidateReferences(t *testing.T) {
	c := newTestCatalog(t, testDeclarations)
	host := "kind: host\nname: %s\nspec: {data_centre: %s, rack: r1, address: '%s', pool: %s}\n---\n"
	pool := "kind: pool\nname: p1\nspec: {data_centre: %s, service: %s, max_unavailable: %d}\n"
	remove := "kind: %s\nname: %s\ndelete: true\n---\n"
	for document, want := range map[string]string{
		fmt.Sprintf(host, "h2", "dc1", "10.0.0.2:80", "p3"):                            `host/h2: spec.pool: pool "p3" does not exist`,
		fmt.Sprintf(host, "h2", "dc1", "10.0.0.2:80", "p2"):                            `spec.pool: pool "p2" is in data centre "dc2"`,
		fmt.Sprintf(host, "h0", "dc1", "[::ffff:10.0.0.1]:80", "p1"):                   `is also the address of host "h0"`,
		fmt.Sprintf(host, "h1", "dc2", "10.0.0.1:80", "p2"):                            `spec.data_centre: cannot change from "dc1"`,
		fmt.Sprintf(pool, "dc2", "web", 1):                                             `pool/p1: spec.data_centre: cannot change`,
		fmt.Sprintf(pool, "dc1", "api", 1):                                             `pool/p1: spec.service: service "api" does not exist`,
		fmt.Sprintf(pool, "dc1", "web", 2):                                             "max_unavailable: is 2, but the pool has only 1 hosts",
		fmt.Sprintf(remove, "service", "web"):                                          `pool/p1: spec.service: service "web" does not exist`,
		fmt.Sprintf(remove, "pool", "p1"):                                              `host/h1: spec.pool: pool "p1" does not exist`,
		fmt.Sprintf(remove, "host", "h1"):                                              `drain/h1: host "h1" does not exist`,
		fmt.Sprintf(remove, "host", "h2"):                                              "host/h2: does not exist and cannot be deleted",
		"kind: wave\nname: w2\nspec: {data_centre: dc2, pools: [p1], max_parallel: 1}": `pool "p1" does not exist in data centre "dc2"`,
		"kind: drain\nname: h2\n":                                                      `drain/h2: host "h2" does not exist`,
		"kind: team\nname: a\n---\nkind: team\nname: a":                                "team/a: occurs twice",
	} {
		err := Validate(c, decodeTicket(t, document))
		assert.Assert(t, IsInvalid(err), document)
		assert.Check(t, cmp.Contains(err.Error(), want))
	}
	everything := ""
	for _, o := range decodeTicket(t, testDeclarations).Objects {
		everything += fmt.Sprintf(remove, o.Kind, o.Name)
	}
	assert.NilError(t, Validate(c, decodeTicket(t, everything)))
	assert.NilError(t, Validate(NewCatalog(nil, 0), decodeTicket(t, testDeclarations)))
	// A pool may grow over several tickets but not shrink below its max_unavailable.
	assert.NilError(t, Validate(c, decodeTicket(t, fmt.Sprintf(host, "h2", "dc1", "10.0.0.2:80", "p1"))))
}

// Guards against a diff that omits a changed field, and against unchanged objects that are submitted again.
func TestDiffShowsEachChangedField(t *testing.T) {
	c := newTestCatalog(t, testDeclarations)
	next := decodeTicket(t, strings.NewReplacer("rack: r1, address", "rack: r2, cores: 8, address", "max_unavailable: 1", "max_unavailable: 0").
		Replace(testDeclarations)+"---\nkind: team\nname: t\nspec: {max_jobs: 2}\n---\nkind: service\nname: gone\ndelete: true\n")
	changes := c.Changes(next.Objects)
	assert.DeepEqual(t, c.Diff(changes), []string{
		"~ pool/p1 max_unavailable: 1 -> 0",
		"~ host/h1 cores: (unset) -> 8",
		`~ host/h1 rack: "r1" -> "r2"`,
		"+ team/t",
		"+ team/t max_jobs: 2",
		"- service/gone",
	})
	assert.Equal(t, len(changes), 4)
	assert.Equal(t, changes[0].Base, uint64(1))
	assert.Equal(t, changes[2].Base, uint64(0))
}

// Guards against declarations that crash the decoder, against errors that are not an InvalidError, and against
// accepted declarations that change when they are stored and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(testDeclarations))
	f.Add([]byte("kind: team\nname: a\ndelete: true\n--- {kind: team, name: b, spec: {max_jobs: 1e2}}\n...\n"))
	f.Add([]byte("&a kind: *a\n? {}\n: <<: x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := Decode("f.yaml", data)
		if err != nil {
			if !IsInvalid(err) {
				t.Fatalf("error is not an InvalidError: %v", err)
			}
			return
		}
		for _, o := range objects {
			again, err := Normalize(o)
			assert.NilError(t, err)
			assert.DeepEqual(t, again, o)
			assert.Assert(t, namePattern.MatchString(o.Name))
			kind, name, ok := ParseObjectKey(ObjectKey(o.Kind, o.Name))
			assert.Assert(t, ok && kind == o.Kind && name == o.Name)
			c := NewCatalog(Objects(structs.Ticket{Number: 1, Objects: []structs.TicketObject{o}}), 1)
			assert.Assert(t, o.Delete || len(c.Changes([]structs.TicketObject{o})) == 0)
		}
	})
}
