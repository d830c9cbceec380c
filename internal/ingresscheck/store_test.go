package ingresscheck

import (
	"net/http/httptest"
	"testing"

	"github.com/tamarackworks/tamarackworks/platform/platformtest"
	"github.com/tamarackworks/tamarackworks/standin/rows"
)

// startStore serves an in-memory store with the platform's HTTP interface and returns its address.
func startStore(t *testing.T, store *rows.Store) string {
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}
