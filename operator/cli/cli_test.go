package cli

import (
	"bytes"
	"context"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/operator"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

const declarations = `
kind: service
name: web
---
kind: pool
name: p1
spec: {data_centre: dc1, service: web, min_hosts: 1, max_unavailable: 1}
---
kind: host
name: h1
spec: {data_centre: dc1, rack: r1, address: "10.0.0.1:80", pool: p1}
`

// fixture is a server of the operator API on an in-memory platform, with the output of the last command.
type fixture struct {
	t       *testing.T
	table   *memory.Handle
	replica *fleet.Replica
	url     string
	mux     *http.ServeMux
	metrics *prometheus.Registry
	// mu guards onSubmit and submits, which the server's goroutines use.
	mu sync.Mutex
	// onSubmit, if set, handles submissions that are not dry runs instead of next.
	onSubmit func(w http.ResponseWriter, r *http.Request, next http.Handler)
	submits  int
	stdout   string
	stderr   string
}

func newFixture(t *testing.T, configure func(*operator.Options)) *fixture {
	f := &fixture{t: t, table: memory.New(memory.Options{}).Handle(), replica: fleet.New(fleet.Options{DataCentre: "dc1"})}
	f.replica.MergeObjects(nil, 0)
	f.replica.MergeAssignments(nil)
	opts := operator.Options{Fleet: f.replica, Table: f.table, Jobs: operator.JobTable{Table: f.table}}
	f.metrics = prometheus.NewPedanticRegistry()
	assert.NilError(t, f.metrics.Register(f.replica.Collector()))
	opts.Registerer = f.metrics
	opts.Accepted = func(t structs.Ticket) {
		f.replica.MergeTickets([]structs.Ticket{t})
		// This stands in for the leader, which assigns new hosts to their home pools.
		for _, h := range f.replica.View().Hosts {
			f.replica.MergeAssignments([]structs.Assignment{
				{Host: h.Name, DataCentre: h.DataCentre, Pool: h.Pool, Phase: structs.PhaseActive, Generation: 1},
			})
		}
	}
	if configure != nil {
		configure(&opts)
	}
	path, handler, err := operator.NewServer(opts).Handler()
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.HandleFunc(fleetv1connect.OperatorServiceSubmitTicketProcedure, func(w http.ResponseWriter, r *http.Request) {
		// Every second call is a dry run, because the command sends one before each submission.
		f.mu.Lock()
		f.submits++
		intercept := f.onSubmit
		dryRun := f.submits%2 != 0
		f.mu.Unlock()
		if !dryRun && intercept != nil {
			intercept(w, r, handler)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.url, f.mux = server.URL, mux
	return f
}

func (f *fixture) setOnSubmit(intercept func(http.ResponseWriter, *http.Request, http.Handler)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onSubmit = intercept
}

// run runs the command with the declarations on standard input and checks its exit code.
func (f *fixture) run(want int, argv ...string) {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(f.t.Context(), append([]string{"--server", f.url}, argv...), Options{
		Stdin: strings.NewReader(declarations), Stdout: &stdout, Stderr: &stderr,
		NewID: func() string { return fmt.Sprintf("%s-%d", f.t.Name(), f.submits) },
	})
	f.stdout, f.stderr = stdout.String(), stderr.String()
	assert.Equal(f.t, code, want, "stdout: %s\nstderr: %s", f.stdout, f.stderr)
}

func (f *fixture) assertStdout(parts ...string) {
	f.t.Helper()
	for _, part := range parts {
		assert.Assert(f.t, cmp.Contains(f.stdout, part))
	}
}

func (f *fixture) writeFile(content string) string {
	name := filepath.Join(f.t.TempDir(), "file.yaml")
	assert.NilError(f.t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// Guards against commands that call the wrong method, show stale state, or submit unchanged objects.
func TestCommands(t *testing.T) {
	f := newFixture(t, nil)
	f.run(ExitOK, "apply", "--dry-run", "-")
	f.assertStdout("+ pool/p1\n+ pool/p1 data_centre: \"dc1\"\n", "dry run")
	f.run(ExitOK, "apply", "--dry-run", "../../docs/examples/fleet.yaml")
	f.submits = 0
	f.run(ExitOK, "apply", "--title", "first", "-")
	f.assertStdout("+ host/h1 rack: \"r1\"\n", "accepted as ticket 1\n")
	f.run(ExitOK, "apply", "-")
	f.assertStdout("no changes")
	changed := f.writeFile("kind: pool\nname: p1\nspec: {data_centre: dc1, service: web, min_hosts: 1}\n")
	f.run(ExitOK, "apply", changed)
	assert.Equal(t, f.stdout, "~ pool/p1 max_unavailable: 1 -> 0\naccepted as ticket 2\n")
	f.run(ExitOK, "drain", "h1", "--reason", "fan noise")
	f.assertStdout("accepted as ticket 3")
	assert.Equal(t, len(f.replica.View().TargetsByPool["p1"]), 0)
	f.run(ExitOK, "--output", "json", "host", "list", "--pool", "p1")
	f.assertStdout(`"name": "h1"`, `"reason": "fan noise"`)
	f.run(ExitOK, "explain", "--host", "h1")
	f.assertStdout("is drained by an operator: fan noise")
	f.run(ExitOK, "drain", "h1", "--undo")
	f.run(ExitOK, "drain", "h1", "--undo")
	f.assertStdout("no changes")
	f.run(ExitOK, "explain", "--host", "h1")
	f.assertStdout("receives work")
	f.run(ExitOK, "ticket", "list")
	f.assertStdout("4 ", "drain h1: fan noise", "first")
	f.run(ExitOK, "ticket", "show", "1", "--output", "json")
	f.assertStdout(`"max_unavailable": 1`)
	f.run(ExitOK, "pool", "list", "--dc", "dc1")
	f.assertStdout("POOL", "p1")
	f.run(ExitOK, "job", "list")
	f.run(ExitRejected, "wave", "list")
	f.run(ExitRejected, "ticket", "status", "1")
	assert.Assert(t, cmp.Contains(f.stderr, "no source of heartbeats"))
	f.run(ExitInput, "explain")
	f.run(ExitInput, "ticket")
	count, err := testutil.GatherAndCount(f.metrics, "tamarack_fleet_version", "tamarack_operator_call_seconds")
	assert.NilError(t, err)
	assert.Equal(t, count, 1+10, "the version, and each of the ten methods")
}

// Guards against submitting wrong input, and against errors that do not say where the input is wrong.
func TestWrongInput(t *testing.T) {
	f := newFixture(t, nil)
	f.run(ExitInput, "apply", "/nonexistent/file.yaml")
	name := f.writeFile("kind: team\nname: a\n---\nkind: team\nname: b\nspec: {max_job: 1}\n")
	f.run(ExitInput, "apply", name)
	assert.Assert(t, cmp.Contains(f.stderr, name+": document 2: team/b: spec.max_job: unknown field"))
	f.run(ExitInput, "drain", "h9")
	assert.Assert(t, cmp.Contains(f.stderr, `host "h9" does not exist`))
	f.run(ExitInput, "--output", "xml", "pool", "list")
	many := ""
	for i := range ticket.MaxObjects + 1 {
		many += fmt.Sprintf("---\nkind: team\nname: t%d\n", i)
	}
	f.run(ExitInput, "apply", f.writeFile(many))
	assert.Assert(t, cmp.Contains(f.stderr, "41 objects, the limit is 40"))
	head, err := ticket.Head(t.Context(), f.table)
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(0))
}

// Guards against a conflict that is reported without the ticket that caused it, or with the wrong exit code.
func TestConflict(t *testing.T) {
	f := newFixture(t, nil)
	f.setOnSubmit(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		other := structs.TicketObject{Kind: structs.KindService, Name: "web", Spec: []byte("{}")}
		_, err := ticket.Submit(r.Context(), f.table, structs.Ticket{ID: "other", Title: "faster", Author: "eve", Objects: []structs.TicketObject{other}})
		assert.Check(t, err)
		next.ServeHTTP(w, r)
	})
	f.run(ExitRejected, "apply", "-")
	assert.Assert(t, cmp.Contains(f.stderr, `service/web was changed by ticket 1 ("faster" by eve)`))
}

// Guards against reporting a submission whose response was lost as rejected, and against a repeated call that submits a second
// ticket. The connection breaks after the server has handled the submission, or before.
func TestUnknownResult(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		f := newFixture(t, nil)
		f.setOnSubmit(func(_ http.ResponseWriter, r *http.Request, next http.Handler) {
			if delivered {
				next.ServeHTTP(httptest.NewRecorder(), r)
			}
			panic(http.ErrAbortHandler)
		})
		f.run(ExitUnknown, "apply", "-")
		_, id, found := strings.Cut(f.stderr, "--id ")
		assert.Assert(t, found, f.stderr)
		id, _, _ = strings.Cut(id, " ")
		// While the table is unavailable, the earlier result stays unknown.
		f.table.SetFaults(memory.Faults{Down: true})
		f.run(ExitUnknown, "apply", "--id", id, "-")
		f.table.SetFaults(memory.Faults{})
		f.setOnSubmit(nil)
		f.run(ExitOK, "apply", "--id", id, "-")
		f.assertStdout("accepted as ticket 1\n")
		f.run(ExitOK, "apply", "--id", id, "-")
		head, err := ticket.Head(t.Context(), f.table)
		assert.NilError(t, err)
		assert.Equal(t, head, uint64(1))
		f.run(ExitInput, "apply", "--id", id, f.writeFile("kind: team\nname: a\n"))
	}
}

// Guards against a command that fails because the first of several servers is unreachable.
func TestServersInOrder(t *testing.T) {
	f := newFixture(t, nil)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	f.run(ExitOK, "--server", f.url, "--server", unreachable.URL, "apply", "-")
	reachable := f.url
	f.url = unreachable.URL
	f.run(ExitOK, "--server", reachable, "drain", "h1")
	f.run(ExitRejected, "drain", "h1", "--undo")
}

// Guards against accepting calls without a valid token, and against an author of a ticket that is not the token's operator.
func TestTokens(t *testing.T) {
	f := newFixture(t, func(o *operator.Options) { o.Tokens = map[string]string{"s3cret": "ann", "other": "bob"} })
	f.run(ExitRejected, "pool", "list")
	f.run(ExitRejected, "--token-file", f.writeFile("wrong\n"), "pool", "list")
	assert.Assert(t, cmp.Contains(f.stderr, "bearer token"))
	f.run(ExitOK, "--token-file", f.writeFile("s3cret\n"), "apply", "-")
	got, err := ticket.Get(t.Context(), f.table, 1)
	assert.NilError(t, err)
	assert.Equal(t, got.Author, "ann")
}

// Guards against trusting a server whose certificate is not signed by the given authority.
func TestCAFile(t *testing.T) {
	f := newFixture(t, nil)
	server := httptest.NewTLSServer(f.mux)
	defer server.Close()
	f.url = server.URL
	f.run(ExitRejected, "pool", "list")
	ca := f.writeFile(string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	f.run(ExitOK, "--ca-file", ca, "pool", "list")
	f.run(ExitInput, "--ca-file", f.writeFile("no certificate"), "pool", "list")
}

// Guards against reporting a ticket as in effect on an entry host that has a lower version.
func TestTicketStatus(t *testing.T) {
	f := newFixture(t, func(o *operator.Options) { o.Entries = fakeSources{}; o.Waves = fakeSources{} })
	f.run(ExitOK, "--output", "json", "ticket", "status", "7")
	assert.Equal(t, strings.Count(f.stdout, `"in_force": true`), 1)
	f.run(ExitOK, "ticket", "status", "7")
	f.assertStdout("e1     dc1  7        true       1970-01-01T00:00:09Z  true", "e2     dc1  6        false      -")
	f.run(ExitRejected, "ticket", "status", "8", "--wait", "1ms")
	assert.Assert(t, cmp.Contains(f.stderr, "ticket 8 is not in effect on 1 reachable entry hosts after 1ms"))
	f.run(ExitOK, "ticket", "status", "7", "--wait", "1m")
	f.run(ExitOK, "wave", "list")
	f.assertStdout("spring  dc1  paused  3     9      r1       -    budget used up")
}

// fakeSources is a source of two entry hosts and one wave.
type fakeSources struct{}

func (fakeSources) EntryStatus(uint64) []operator.EntryStatus {
	return []operator.EntryStatus{
		{Entry: "e1", DataCentre: "dc1", Version: 7, Reachable: true, Since: time.Unix(9, 0)},
		{Entry: "e2", DataCentre: "dc1", Version: 6},
	}
}

func (fakeSources) Waves(context.Context, string) ([]operator.WaveStatus, error) {
	return []operator.WaveStatus{{Name: "spring", DataCentre: "dc1", State: "paused", Done: 3, Total: 9, Current: "r1", Reason: "budget\tused up"}}, nil
}

// fakeExplainer explains the request with its value as id.
type fakeExplainer string

func (k fakeExplainer) ExplainRequest(_ context.Context, id string) ([]string, error) {
	if id != string(k) {
		return nil, nil
	}
	return []string{"the queue was full"}, nil
}

func (fakeExplainer) ExplainHost(context.Context, string) ([]string, error) { return nil, nil }

// Guards against asking only the first entry host about a request that another one rejected.
func TestExplainAsksEveryServer(t *testing.T) {
	first := newFixture(t, func(o *operator.Options) { o.Explain = fakeExplainer("other") })
	second := newFixture(t, func(o *operator.Options) { o.Explain = fakeExplainer("r1") })
	first.run(ExitOK, "--server", second.url, "explain", "--request", "r1")
	first.assertStdout("the queue was full")
	first.run(ExitRejected, "--server", second.url, "explain", "--request", "r2")
}
