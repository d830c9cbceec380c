package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/structs"
)

// matches reports whether a filter selects a value. An empty filter selects every value.
func matches(filter, value string) bool { return filter == "" || filter == value }

// sortedByName returns the values of a map in the order of its keys, which are names.
func sortedByName[V any](m map[string]V) []V {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	values := make([]V, len(names))
	for i, name := range names {
		values[i] = m[name]
	}
	return values
}

// currentPool returns the pool that a host is assigned to. The home pool stands in where no assignment is known, as for all
// hosts of other data centres.
func currentPool(v *structs.View, h *structs.Host) string {
	if a := v.Assignments[h.Name]; a != nil {
		return a.Pool
	}
	return h.Pool
}

// view returns the replicated view, or an error until it is complete, since lists made from it would have gaps.
func (s *Server) view() (*structs.View, error) {
	if !s.opts.Fleet.Ready() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this entry host has not loaded its state yet"))
	}
	return s.opts.Fleet.View(), nil
}

// ListHosts implements the operator service. Phase, generation and load are only known for hosts in the data centre of this
// entry host.
func (s *Server) ListHosts(
	_ context.Context, req *connect.Request[fleetv1.ListHostsRequest],
) (*connect.Response[fleetv1.ListHostsResponse], error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	loads := map[string]int{}
	if s.opts.Loads != nil {
		loads = s.opts.Loads.HostLoads()
	}
	response := &fleetv1.ListHostsResponse{}
	for _, h := range sortedByName(view.Hosts) {
		if matches(req.Msg.GetDataCentre(), h.DataCentre) && matches(req.Msg.GetPool(), currentPool(view, h)) {
			info := s.hostInfo(view, h)
			info.InProgress = uint32(loads[h.Name])
			response.Hosts = append(response.Hosts, info)
		}
	}
	return connect.NewResponse(response), nil
}

// hostInfo describes a host without its load. The reason is that of the operator's drain, else that of the assignment, else
// that for which the host leaves.
func (s *Server) hostInfo(view *structs.View, h *structs.Host) *fleetv1.HostInfo {
	state := view.States[h.Name]
	_, leaving := view.Leaving[h.Name]
	info := &fleetv1.HostInfo{
		Name: h.Name, DataCentre: h.DataCentre, Rack: h.Rack, HomePool: h.Pool, Pool: currentPool(view, h),
		Live: state.Live, Leaving: leaving, Reason: s.opts.Fleet.LeavingReason(h.Name),
	}
	if a := view.Assignments[h.Name]; a != nil {
		info.Phase, info.Generation = string(a.Phase), a.Generation
		info.Reason = cmp.Or(a.Reason, info.Reason)
	}
	if d := view.Drains[h.Name]; d != nil {
		info.Leaving = true
		info.Reason = cmp.Or(d.Reason, "drained by an operator")
	}
	return info
}

// ListPools implements the operator service. In other data centres, Hosts counts the hosts by home pool, and Available and
// the load are 0.
func (s *Server) ListPools(
	_ context.Context, req *connect.Request[fleetv1.ListPoolsRequest],
) (*connect.Response[fleetv1.ListPoolsResponse], error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	loads := map[string]PoolLoad{}
	if s.opts.Loads != nil {
		loads = s.opts.Loads.PoolLoads()
	}
	sizes := make(map[string]uint32)
	for _, h := range view.Hosts {
		sizes[currentPool(view, h)]++
	}
	response := &fleetv1.ListPoolsResponse{}
	for _, p := range sortedByName(view.Pools) {
		if !matches(req.Msg.GetDataCentre(), p.DataCentre) {
			continue
		}
		load := loads[p.Name]
		response.Pools = append(response.Pools, &fleetv1.PoolInfo{
			Name: p.Name, DataCentre: p.DataCentre, Service: p.Service,
			Hosts: sizes[p.Name], Available: uint32(len(view.TargetsByPool[p.Name])),
			MaxUnavailable: uint32(p.MaxUnavailable), QueuedUrgent: uint32(load.QueuedUrgent),
			QueuedBatch: uint32(load.QueuedBatch), InProgress: uint32(load.InProgress),
		})
	}
	return connect.NewResponse(response), nil
}

// ListWaves implements the operator service.
func (s *Server) ListWaves(
	ctx context.Context, req *connect.Request[fleetv1.ListWavesRequest],
) (*connect.Response[fleetv1.ListWavesResponse], error) {
	if s.opts.Waves == nil {
		return nil, noSourceError("wave progress")
	}
	waves, err := s.opts.Waves.Waves(ctx, req.Msg.GetDataCentre())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &fleetv1.ListWavesResponse{}
	for _, w := range waves {
		info := &fleetv1.WaveInfo{
			Name: w.Name, DataCentre: w.DataCentre, State: w.State, Done: uint32(w.Done), Total: uint32(w.Total),
			Current: w.Current, Reason: w.Reason,
		}
		if !w.End.IsZero() {
			info.ForecastEndUnixMs = w.End.UnixMilli()
		}
		response.Waves = append(response.Waves, info)
	}
	return connect.NewResponse(response), nil
}

// ListJobs implements the operator service.
func (s *Server) ListJobs(
	ctx context.Context, req *connect.Request[fleetv1.ListJobsRequest],
) (*connect.Response[fleetv1.ListJobsResponse], error) {
	jobs, err := s.readJobs(ctx, req.Msg.GetDataCentre())
	if err != nil {
		return nil, err
	}
	response := &fleetv1.ListJobsResponse{}
	for _, j := range jobs {
		response.Jobs = append(response.Jobs, &fleetv1.JobInfo{
			Id: j.ID, Service: j.Spec.Service, Team: j.Spec.Team, State: string(j.State), Worker: j.Worker,
			Attempt: uint32(j.Attempt), Reason: j.Reason, SubmittedUnixMs: j.SubmittedUnixMS,
		})
	}
	return connect.NewResponse(response), nil
}

// readJobs reads the jobs from their source and returns errors with a Connect code.
func (s *Server) readJobs(ctx context.Context, dataCentre string) ([]structs.Job, error) {
	if s.opts.Jobs == nil {
		return nil, noSourceError("jobs")
	}
	jobs, err := s.opts.Jobs.Jobs(ctx, dataCentre)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return jobs, nil
}

// Explain implements the operator service. If several subjects are given, the first of request, host and job is explained.
func (s *Server) Explain(
	ctx context.Context, req *connect.Request[fleetv1.ExplainRequest],
) (*connect.Response[fleetv1.ExplainResponse], error) {
	var lines []string
	var err error
	switch {
	case req.Msg.GetRequestId() != "":
		lines, err = s.explainRequest(ctx, req.Msg.GetRequestId())
	case req.Msg.GetHost() != "":
		lines, err = s.explainHost(ctx, req.Msg.GetHost())
	case req.Msg.GetJob() != "":
		lines, err = s.explainJob(ctx, req.Msg.GetJob())
	default:
		err = connect.NewError(connect.CodeInvalidArgument, errors.New("a request id, a host name or a job id is required"))
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.ExplainResponse{Lines: lines}), nil
}

func (s *Server) explainRequest(ctx context.Context, id string) ([]string, error) {
	if s.opts.Explain == nil {
		return nil, noSourceError("explanations")
	}
	lines, err := s.opts.Explain.ExplainRequest(ctx, id)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if len(lines) == 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("this entry host has no record of request %s", id))
	}
	return lines, nil
}

func (s *Server) explainJob(ctx context.Context, id string) ([]string, error) {
	jobs, err := s.readJobs(ctx, "")
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(jobs, func(j structs.Job) bool { return j.ID == id })
	if i < 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("job %s does not exist", id))
	}
	j := jobs[i]
	lines := []string{fmt.Sprintf("job %s of team %s for service %s is %s", j.ID, j.Spec.Team, j.Spec.Service, j.State)}
	if j.Reason != "" {
		lines = append(lines, "reason: "+j.Reason)
	}
	lines = append(lines, fmt.Sprintf("needs %d cores, %d MB, %d accelerators", j.Spec.Cores, j.Spec.MemoryMB, j.Spec.Accelerators))
	if j.Attempt > 0 {
		lines = append(lines, fmt.Sprintf("attempt %d on worker %s", j.Attempt, j.Worker))
	}
	for _, worker := range j.FailedWorkers {
		lines = append(lines, "an attempt failed on worker "+worker)
	}
	if j.CancelRequested && !j.State.Final() {
		lines = append(lines, "its cancellation was requested")
	}
	return lines, nil
}

// explainHost explains from the view why a host receives work or not, and appends the lines of the Explainer.
func (s *Server) explainHost(ctx context.Context, name string) ([]string, error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	h := view.Hosts[name]
	if h == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("host %s does not exist at version %d", name, view.Version))
	}
	lines := append(assignmentLines(view, h), s.routingLines(view, h)...)
	if s.opts.Explain != nil {
		more, err := s.opts.Explain.ExplainHost(ctx, name)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// assignmentLines describes the declaration and the assignment of a host.
func assignmentLines(view *structs.View, h *structs.Host) []string {
	lines := []string{fmt.Sprintf("host %s in data centre %s, rack %s, home pool %s", h.Name, h.DataCentre, h.Rack, h.Pool)}
	a := view.Assignments[h.Name]
	if a == nil {
		return append(lines, "has no assignment here yet, so it is not used")
	}
	line := fmt.Sprintf("is %s in pool %s at generation %d", a.Phase, a.Pool, a.Generation)
	if a.NextPool != "" {
		line += ", moving to " + a.NextPool
	}
	if a.Reason != "" {
		line += ": " + a.Reason
	}
	return append(lines, line)
}

// routingLines says whether this entry host sends work to a host and, if not, lists the reasons.
func (s *Server) routingLines(view *structs.View, h *structs.Host) []string {
	pool := currentPool(view, h)
	for _, target := range view.TargetsByPool[pool] {
		if target.Name == h.Name {
			return []string{"receives work"}
		}
	}
	lines := []string{"receives no work from this entry host"}
	if d := view.Drains[h.Name]; d != nil {
		lines = append(lines, "is drained by an operator: "+cmp.Or(d.Reason, "no reason given"))
	}
	if incarnation, ok := view.Leaving[h.Name]; ok {
		lines = append(lines, fmt.Sprintf("incarnation %d leaves: %s", incarnation, s.opts.Fleet.LeavingReason(h.Name)))
	}
	if generation, ok := view.Released[h.Name]; ok {
		lines = append(lines, fmt.Sprintf("was released at generation %d, waits for a newer active assignment", generation))
	}
	if state, ok := view.States[h.Name]; ok && !state.Live {
		lines = append(lines, fmt.Sprintf("the platform's list shows incarnation %d as not live", state.Incarnation))
	}
	if view.Pools[pool] == nil {
		lines = append(lines, fmt.Sprintf("its pool %s is not declared", pool))
	}
	return lines
}
