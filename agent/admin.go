package agent

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tamarackworks/tamarackworks/kernel"
)

// addAdmin registers the admin listener, which serves health and metrics. /healthz succeeds while the process
// runs, /readyz while it may receive requests.
func (a *Agent) addAdmin(k *kernel.Kernel) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.entry.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.telemetry.Registry, promhttp.HandlerOpts{}))
	return k.Register("admin", a.httpServer(a.settings.AdminListen, mux, nil, a.limits.admin()))
}
