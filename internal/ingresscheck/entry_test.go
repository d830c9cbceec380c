package ingresscheck

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/internal/localfleet"
)

const (
	// entryMemoryMB is the memory that a tamarackd may use.
	entryMemoryMB = 128
	// entryBodyBytes is the size of the bodies, half of the largest legal one.
	entryBodyBytes = 512 << 10
)

type testEntry struct {
	*localfleet.Entry
	fleet    *localfleet.Fleet
	observer *observer
}

// startEntry starts a fleet of one tamarackd and one target, which serves requests.
func startEntry(t *testing.T) *testEntry { return startEntryWith(t, 0, 0) }

// startEntryOn starts the same with the memory of the host in the settings.
func startEntryOn(t *testing.T, memoryMB int) *testEntry { return startEntryWith(t, memoryMB, 0) }

// startEntryWith starts the same with further settings; 0 leaves the default.
func startEntryWith(t *testing.T, memoryMB int, readTimeout time.Duration) *testEntry {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	fleet, err := localfleet.Start(ctx, localfleet.Options{
		BinDir: binDir, Dir: t.TempDir(), DataCentres: []string{"dc1"}, EntriesPerDC: 1, TargetsPerDC: 1,
		Services: []string{"match"}, MaxUnavailable: 1, ListLag: 100 * time.Millisecond, RebootTime: time.Second, MemoryMB: memoryMB, ReadTimeout: readTimeout,
	})
	assert.NilError(t, err)
	e := &testEntry{Entry: fleet.Entries[0], fleet: fleet}
	t.Cleanup(func() {
		assert.Check(t, e.Kill())
		assert.Check(t, fleet.Close())
	})
	_, err = fleet.SubmitDeclarations(ctx)
	assert.NilError(t, err)
	e.request(t, "calm request with a large body", bytes.Repeat([]byte("x"), entryBodyBytes))
	e.observer = observe(t, e.PID(), e.CallerAddress, e.OperatorAddress, e.PeerAddress, e.AdminAddress)
	return e
}

// request sends a request until a target has run it.
func (e *testEntry) request(t *testing.T, what string, body []byte) {
	t.Helper()
	client := &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	await(t, what, func() error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.CallerURL()+"/v1/services/match/requests", bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set(entry.HeaderIdempotent, "true")
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
		}
		return err
	})
}

func (e *testEntry) check(t *testing.T) {
	t.Helper()
	e.request(t, "ordinary request", []byte("ordinary"))
	assert.Assert(t, e.Running(), "the process has ended")
	e.observer.check(t, entryMemoryMB)
}

const entryRequest = "POST /v1/services/match/requests?%016x HTTP/1.1\r\nHost: h\r\n" + entry.HeaderIdempotent + ": true\r\n"

// Guards against an entry host that holds the bodies of any number of callers in memory.
func TestEntryLargeBodies(t *testing.T) {
	e := startEntry(t)
	sendCrowd(t, e.CallerAddress, nil, client{header: entryRequest, body: bytes.Repeat([]byte("x"), entryBodyBytes), piece: pieceBytes})
	e.check(t)
}

// Guards against the same with bodies of unknown length in large chunks.
func TestEntryLargeChunks(t *testing.T) {
	e := startEntry(t)
	sendCrowd(t, e.CallerAddress, nil, client{header: entryRequest, body: bytes.Repeat([]byte("x"), entryBodyBytes), chunk: largeChunk})
	e.check(t)
}

// Guards against the same with very small chunks.
func TestEntrySmallChunks(t *testing.T) {
	e := startEntry(t)
	sendCrowd(t, e.CallerAddress, nil, client{header: entryRequest, body: bytes.Repeat([]byte("x"), entryBodyBytes), chunk: smallChunk, piece: pieceBytes})
	e.check(t)
}

const rpcHeader = " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"

// Guards against the same on the APIs of peers and operators.
func TestEntryPeerAndOperatorBodies(t *testing.T) { checkPeerAndOperatorBodies(t, "", "") }

// Guards against the same if the clients have valid tokens.
func TestEntryPeerAndOperatorBodiesWithTokens(t *testing.T) {
	checkPeerAndOperatorBodies(t, authorization(localfleet.PeerToken), authorization(localfleet.OperatorToken))
}

// authorization returns a header line with a token.
func authorization(token string) string { return "Authorization: Bearer " + token + "\r\n" }

// checkPeerAndOperatorBodies sends a crowd to either API, with further header lines.
func checkPeerAndOperatorBodies(t *testing.T, peerHeader, operatorHeader string) {
	t.Helper()
	e := startEntry(t)
	body := bytes.Repeat([]byte(" "), entryBodyBytes)
	sendCrowd(t, e.PeerAddress, e.tlsConfig(t), client{
		header: "POST " + fleetv1connect.PeerServiceForwardProcedure + "?%016x" + rpcHeader + peerHeader, body: body,
	})
	sendCrowd(t, e.OperatorAddress, e.tlsConfig(t), client{
		header: "POST " + fleetv1connect.OperatorServiceSubmitTicketProcedure + "?%016x" + rpcHeader + operatorHeader, body: body, chunk: largeChunk,
	})
	e.check(t)
}

// Guards against the same with HTTP/2 streams, many of which share a connection.
func TestEntryPeerStreams(t *testing.T) {
	checkPeerStreams(t, http.Header{"Content-Type": {"application/json"}})
}

// Guards against the same if the clients have valid tokens.
func TestEntryPeerStreamsWithTokens(t *testing.T) {
	checkPeerStreams(t, http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + localfleet.PeerToken}})
}

func checkPeerStreams(t *testing.T, header http.Header) {
	t.Helper()
	e := startEntry(t)
	sendStreams(t, "https://"+e.PeerAddress+fleetv1connect.PeerServiceForwardProcedure, header, e.tlsConfig(t),
		bytes.Repeat([]byte(" "), entryBodyBytes))
	e.check(t)
}

// Guards against connections to the admin listener that use up the descriptors of the process.
func TestEntryConnectionsToAdmin(t *testing.T) {
	e := startEntry(t)
	sendCrowd(t, e.AdminAddress, nil, client{header: "GET /metrics?%016x HTTP/1.1\r\nHost: h\r\n", body: bytes.Repeat([]byte("x"), 2<<10)})
	e.check(t)
}
