package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/platformclient"
	"github.com/tamarackworks/tamarackworks/standin/platformserver"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/telemetry"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// freeAddress returns a local address with a port that was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startAgent runs an entry host in this process until the test ends.
func startAgent(t *testing.T, platformURL string) *settings.Entry {
	t.Helper()
	s := &settings.Entry{
		ID: "e1", DataCentre: "dc1", Host: "m1",
		CallerListen: freeAddress(t), OperatorListen: freeAddress(t), PeerListen: freeAddress(t), AdminListen: freeAddress(t),
		PlatformURL: platformURL, PlatformTimeout: 2 * time.Second,
		Security: settings.Security{Insecure: true}, Profile: settings.ProfileBuffer, MoveHosts: true,
		ClaimsKept: 48 * time.Hour, MoveTimeout: 30 * time.Second,
		Limits: settings.Limits{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second,
			IdleTimeout: time.Minute, MaxQueue: 64, DefaultDeadline: 10 * time.Second, MaxDeadline: time.Minute,
		},
		DrainTimeout: 10 * time.Second,
	}
	tel := &telemetry.Telemetry{Log: &log.Logger{Handler: discard.New()}, Registry: prometheus.NewRegistry()}
	k := kernel.New()
	assert.NilError(t, New(k, s, tel))
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.Check(t, k.Stop(context.Background())) })
	return s
}

// ticketObject returns a ticket object that declares an object with a spec.
func ticketObject(kind structs.Kind, name string, spec any) structs.TicketObject {
	// Specs are plain structs, which always encode.
	raw, _ := json.Marshal(spec)
	return structs.TicketObject{Kind: kind, Name: name, Spec: raw}
}

// hangTimeout ends a test that would otherwise never end. It is not a limit that the entry host has to meet.
const hangTimeout = 20 * time.Second

// eventually repeats check until it succeeds, and fails the test after hangTimeout.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal(err)
		}
	}
}

// post sends a request to the caller API and returns the response and its body.
func post(address, service, body string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+service+"/requests", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Tamarack-Idempotent", "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp, string(respBody), err
}

// Guards against services that work separately but are composed wrongly: a ticket is submitted to the table, the
// entry host learns of it, and a caller's request reaches the target and its response returns to the caller.
func TestRequestPassesThroughTheWholeSystem(t *testing.T) {
	p := memory.New(memory.Options{})
	p.SetHost(structs.HostState{Name: "h1", DataCentre: "dc1", Incarnation: 1, Live: true})
	p.SetHost(structs.HostState{Name: "m1", DataCentre: "dc1", Incarnation: 1, Live: true})
	platform := httptest.NewServer(platformserver.New(p).API())
	t.Cleanup(platform.Close)
	target := httptest.NewServer(targetserver.New(targetserver.Options{Host: "h1"}).API())
	t.Cleanup(target.Close)
	s := startAgent(t, platform.URL)

	c := platformclient.New(platformclient.Options{URL: platform.URL, DataCentre: "dc1"})
	number, err := ticket.Submit(t.Context(), c, structs.Ticket{ID: "first", Author: "test", Title: "declare", Objects: []structs.TicketObject{
		ticketObject(structs.KindService, "match", structs.Service{Name: "match"}),
		ticketObject(structs.KindPool, "pool", structs.Pool{Name: "pool", DataCentre: "dc1", Service: "match"}),
		ticketObject(structs.KindHost, "h1", structs.Host{
			Name: "h1", DataCentre: "dc1", Rack: "r1", Address: target.Listener.Addr().String(), Slots: 8, Connections: 64, Pool: "pool",
		}),
	}})
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))

	eventually(t, func() error {
		resp, body, err := post(s.CallerListen, "match", `{"text":"ours"}`)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK || !strings.Contains(body, `"text":"ours"`) {
			return fmt.Errorf("status %d: %s", resp.StatusCode, body)
		}
		assert.Equal(t, resp.Header.Get("Tamarack-Outcome"), "done")
		return nil
	})
}
