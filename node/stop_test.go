package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

// testNode is a running host on loopback.
type testNode struct {
	node    *Node
	kernel  *kernel.Kernel
	callers string
}

// startNode starts a host that serves for an hour after its stop unless the context of the stop ends.
func startNode(t *testing.T, name, internal string, store *rows.Store) *testNode {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	s := &settings.Node{
		ID: name, DataCentre: "a", CPUShare: 1, MemoryMB: 256, CallerListen: anyPort, ReadyListen: anyPort, InternalListen: internal,
		AdminListen: anyPort, MachineAddress: "127.0.0.1:1", LameDuck: time.Hour, ConfigApply: 2 * time.Second, StatusKept: time.Minute,
	}
	tel := &telemetry.Telemetry{Log: &log.Logger{Handler: discard.Default}, Registry: prometheus.NewRegistry()}
	x := &testNode{node: newNode(s, tel, store.Handle()), kernel: kernel.New()}
	assert.NilError(t, register(x.kernel, "", x.node, tel))
	assert.NilError(t, x.kernel.Start(t.Context()))
	server, err := kernel.Lookup[*daemon.HTTPServer](x.kernel, "callers")
	assert.NilError(t, err)
	x.callers = server.Address()
	return x
}

// stop stops the host in the background and returns a function that ends its lame-duck period and waits for its end.
func (x *testNode) stop() (finish func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The error says only that the context has ended.
		_ = x.kernel.Stop(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// await polls until a condition holds. Only a failing test waits for the limit.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not seen: %s", what)
}

func putConfiguration(store *rows.Store, value string) {
	store.Put(rowstore.Key{Table: platform.OperatorTable, Name: "config"}, []byte(value))
}

// A host that stops serves callers until the load balancer has taken it out of rotation. It must not refuse a queue that was added
// meanwhile, and must know the owner that took over from it, because callers ask it for the state of their jobs.
func TestAStoppingHostFollowsTheConfigurationAndTheOwner(t *testing.T) {
	store := rows.New()
	putConfiguration(store, `{"Version":1,"Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"}]}`)
	x := startNode(t, "x", "127.0.0.1:0", store)
	await(t, "x owns the jobs", x.node.manager.OwnsJobs)
	await(t, "x has a configuration", x.node.frontend.Configured)
	y := startNode(t, "y", "127.0.0.2:0", store)
	finish := x.stop()
	await(t, "x stops", x.node.stopping.Load)
	await(t, "y owns the jobs", y.node.manager.OwnsJobs)
	await(t, "x knows the new owner", func() bool {
		return x.node.manager.OwnerAddress() != "" && x.node.manager.OwnerAddress() == y.node.settings.InternalListen
	})
	putConfiguration(store, `{"Version":2,"Routes":[{"Name":"added","Host":"h","Prefix":"/added/","Service":"s"}]}`)
	await(t, "x serves the queue that was added", func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, "http://"+x.callers+"/added/0123456789abcdef", nil)
		assert.NilError(t, err)
		r.Host = "h"
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode == http.StatusMethodNotAllowed
	})
	finish()
	y.stop()()
}
