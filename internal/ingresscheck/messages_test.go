package ingresscheck

import (
	"bytes"
	"compress/gzip"
	"crypto/tls"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
)

// The tests of this file send complete messages to the APIs of other hosts and of operators.

const (
	// messageBytes is the size of a message before it is compressed.
	messageBytes = 30 << 20
	gzipHeader   = "Content-Encoding: gzip\r\n"
)

func compressed(t *testing.T, content []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(content)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Bytes()
}

// Guards against messages of other hosts that are decompressed without any bound.
func TestNodeInternalCompressedMessages(t *testing.T) {
	n := startNode(t)
	message := compressed(t, []byte(`{"job":"`+strings.Repeat("x", messageBytes)+`"}`))
	wholeCrowd{clients: 100, requests: 1}.send(t, n.internal, "POST "+schedulev1connect.ScheduleServiceJobStatusProcedure+"?%016x"+rpcHeader+gzipHeader, message)
	n.check(t)
}

// Guards against the same with messages that are not compressed, all of them as large as the budget for bodies lets pass.
func TestNodeInternalWholeMessages(t *testing.T) {
	n := startNode(t)
	message := []byte(`{"job":"00000000000000aa","value":"` + strings.Repeat("x", nodeBodyBytes-64) + `"}`)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, n.internal, "POST "+schedulev1connect.ScheduleServiceStoreJobProcedure+"?%016x"+rpcHeader, message)
	n.check(t)
}

// ticketMessage returns a message of the peer API with as many empty tickets as fit into size bytes.
func ticketMessage(size int) []byte { return repeated(size, `{"tickets":[`, `{}`, `]}`) }

func (e *testEntry) tlsConfig(t *testing.T) *tls.Config {
	t.Helper()
	client, _, err := e.fleet.OperatorHTTPClient()
	assert.NilError(t, err)
	config := client.Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ServerName = "127.0.0.1"
	return config
}

// Guards against messages of clients without a token that are read, decompressed and decoded before the token is checked.
func TestEntryPeerCompressedMessages(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	wholeCrowd{clients: 100, requests: 1, tls: e.tlsConfig(t)}.send(t, e.PeerAddress,
		"POST "+fleetv1connect.PeerServicePushTicketsProcedure+"?%016x"+rpcHeader+gzipHeader, compressed(t, ticketMessage(messageBytes)))
	e.check(t)
}

// Guards against the same with messages that are not compressed.
func TestEntryPeerWholeMessages(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	wholeCrowd{clients: 100, requests: waves, tls: e.tlsConfig(t)}.send(t, e.PeerAddress,
		"POST "+fleetv1connect.PeerServicePushTicketsProcedure+"?%016x"+rpcHeader, ticketMessage(1<<20))
	e.check(t)
}

// Guards against the same on the API of operators.
func TestEntryOperatorMessages(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	const size = 2<<20 - 1
	message := repeated(size, `{"ticket":{"objects":[`, `{}`, `]}}`)
	header := "POST " + fleetv1connect.OperatorServiceSubmitTicketProcedure + "?%016x" + rpcHeader
	wholeCrowd{clients: 100, requests: waves, tls: e.tlsConfig(t)}.send(t, e.OperatorAddress, header, message)
	wholeCrowd{clients: 100, requests: waves, tls: e.tlsConfig(t)}.send(t, e.OperatorAddress, header+gzipHeader, compressed(t, message))
	e.check(t)
}
