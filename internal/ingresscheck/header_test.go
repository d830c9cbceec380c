package ingresscheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
)

// longValueBytes is the size of a value in a header, below the limit that servers have by default.
const longValueBytes = 512 << 10

// Guards against long headers, which no limit of bodies counts, on listeners without a limit of their own, and against keeping the names that
// clients give themselves.
func TestNodeLongHeaders(t *testing.T) {
	n := startNode(t)
	crowd := wholeCrowd{clients: 100, requests: waves}
	name := strings.Repeat("x", longValueBytes)
	crowd.send(t, n.internal, "POST "+schedulev1connect.ScheduleServiceHolderProcedure+rpcHeader+"Tamarack-Host: %016x"+name+"\r\n", []byte("{}"))
	for _, address := range []string{n.ready, n.admin} {
		crowd.send(t, address, "GET /?%016x HTTP/1.1\r\nHost: h\r\nX: "+name+"\r\n", nil)
	}
	n.check(t)
}

// Guards against names of any number of hosts that clients claim to be.
func TestNodeManyHostNames(t *testing.T) {
	n := startNode(t)
	name := strings.Repeat("x", 8<<10)
	for client := range 4 {
		header := "POST " + schedulev1connect.ScheduleServiceHolderProcedure + rpcHeader + fmt.Sprintf("Tamarack-Host: %x-%%016x", client) + name + "\r\n"
		wholeCrowd{clients: 100, requests: 25}.send(t, n.internal, header, []byte("{}"))
	}
	n.check(t)
}

// Guards against long headers on the API of peers, before the token is looked at.
func TestEntryLongHeaders(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	header := "POST " + fleetv1connect.PeerServiceHeartbeatProcedure + "?%016x" + rpcHeader + "X: " + strings.Repeat("x", longValueBytes) + "\r\n"
	wholeCrowd{clients: crowdSize, requests: waves, tls: e.tlsConfig(t)}.send(t, e.PeerAddress, header, []byte("{}"))
	e.check(t)
}
