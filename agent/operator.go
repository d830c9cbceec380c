package agent

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/operator"
	"github.com/tamarackworks/tamarackworks/security"
)

// addOperator registers the operator API. It has its own listener, which callers do not reach.
func (a *Agent) addOperator(k *kernel.Kernel) error {
	tokens, err := security.Tokens(a.settings.Security.OperatorTokensFile)
	if err != nil {
		return err
	}
	server := operator.NewServer(operator.Options{
		Fleet: a.replica, Table: a.platform, Tokens: tokens, Log: a.log, Registerer: a.telemetry.Registry,
		Accepted: a.controller.TicketAccepted,
		Entries:  a, Loads: a, Explain: a, Jobs: operator.JobTable{Table: a.platform}, Waves: waveReader{a.platform},
	})
	path, handler, err := server.Handler()
	if err != nil {
		return err
	}
	config, err := security.ServerTLS(a.settings.Security)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return k.Register("operator", a.httpServer(a.settings.OperatorListen, mux, config, a.limits.operators(server)))
}

// EntryStatus implements operator.Entries. It returns the status of this entry host and of its peers with regard
// to the ticket with the number.
func (a *Agent) EntryStatus(number uint64) []operator.EntryStatus {
	status := []operator.EntryStatus{{
		Entry: a.settings.ID, DataCentre: a.settings.DataCentre,
		Version: a.replica.Version(), Reachable: true, Since: a.replica.InEffectSince(number),
	}}
	for _, p := range a.peers.Peers() {
		status = append(status, operator.EntryStatus{
			Entry: p.Entry, DataCentre: p.DataCentre, Version: p.Version, Reachable: p.Alive,
			Since: a.peers.InEffectSince(p.Identity, number),
		})
	}
	return status
}

// PoolLoads implements operator.Loads. The loads are summed over the entry hosts of the data centre.
func (a *Agent) PoolLoads() map[string]operator.PoolLoad {
	loads := make(map[string]operator.PoolLoad)
	for _, p := range a.loads.PlannerSnapshot().Pools {
		loads[p.Name] = operator.PoolLoad{QueuedUrgent: p.Backlog, QueuedBatch: p.BatchBacklog, InProgress: p.InFlight}
	}
	return loads
}

// HostLoads implements operator.Loads. It returns the requests in progress by host, summed over the entry hosts of
// the data centre.
func (a *Agent) HostLoads() map[string]int { return a.loads.InProgress() }

// ExplainRequest implements operator.Explainer. Only the latest requests that this entry host rejected are known.
func (a *Agent) ExplainRequest(_ context.Context, id string) ([]string, error) {
	r, ok := a.admission.Explain(id)
	if !ok {
		return nil, nil
	}
	return []string{fmt.Sprintf("rejected at %s: %s, retry after %s", r.At.Format(time.RFC3339), r.Reason, r.RetryAfter)}, nil
}

// ExplainHost implements operator.Explainer. It describes the assignment of the host and the requests of this
// entry host in progress there.
func (a *Agent) ExplainHost(_ context.Context, host string) ([]string, error) {
	view := a.replica.View()
	var lines []string
	if as := view.Assignments[host]; as != nil {
		lines = append(lines, fmt.Sprintf("pool %s, phase %s, generation %d: %s", as.Pool, as.Phase, as.Generation, as.Reason))
	}
	if n := a.router.InProgress(host); n > 0 {
		lines = append(lines, fmt.Sprintf("%d requests of %s are in progress", n, a.settings.ID))
	}
	return lines, nil
}
