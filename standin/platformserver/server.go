// Package platformserver serves an in-memory platform over HTTP, with a
// control API to inject faults. It replaces the real platform in tests,
// demonstrations and experiments.
package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/platformclient"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxBodyBytes bounds the body of one request.
const maxBodyBytes = 16 << 20

// Server serves one in-memory platform. Each data centre has its own handle, so
// that one of them can be partitioned from the platform.
type Server struct {
	p *memory.Platform

	mu      sync.Mutex
	handles map[string]*memory.Handle
}

// New returns a server for p.
func New(p *memory.Platform) *Server {
	return &Server{p: p, handles: make(map[string]*memory.Handle)}
}

// dataCentreHandle returns the handle of a data centre, which the first call creates.
func (s *Server) dataCentreHandle(dataCentre string) *memory.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handles[dataCentre]
	if !ok {
		h = s.p.Handle()
		s.handles[dataCentre] = h
	}
	return h
}

// API returns the handler of the platform's calls; platformclient is its client.
func (s *Server) API() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/row", s.getRow)
	mux.HandleFunc("GET /v1/table/rows", s.listRows)
	mux.HandleFunc("POST /v1/table/commit", s.commit)
	mux.HandleFunc("PUT /v1/objects", s.putObject)
	mux.HandleFunc("GET /v1/objects", s.getObject)
	mux.HandleFunc("DELETE /v1/objects", s.deleteObject)
	mux.HandleFunc("GET /v1/hosts", s.hosts)
	mux.HandleFunc("POST /v1/reboot", s.reboot)
	mux.HandleFunc("POST /v1/tasks/start", s.startTask)
	mux.HandleFunc("POST /v1/tasks/renew", s.renewTask)
	mux.HandleFunc("POST /v1/tasks/checkpoint", s.checkpointTask)
	mux.HandleFunc("POST /v1/tasks/throttle", s.throttleTask)
	mux.HandleFunc("POST /v1/tasks/stop", s.stopTask)
	mux.HandleFunc("GET /v1/tasks/one", s.task)
	mux.HandleFunc("GET /v1/tasks", s.tasks)
	return mux
}

// Control returns the handler of the control port, which sets faults, hosts and workers and reports counters.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", s.setFaults)
	mux.HandleFunc("POST /control/hosts", s.setHost)
	mux.HandleFunc("POST /control/workers", s.setWorker)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, s.p.Counters(), nil)
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, s.p.TaskStarts(), nil)
	})
	return mux
}

// callerHandle returns the handle of the data centre that the request comes from.
func (s *Server) callerHandle(r *http.Request) *memory.Handle {
	return s.dataCentreHandle(r.Header.Get(platformclient.HeaderDataCentre))
}

// writeResponse writes v as JSON, or the status that stands for err. For an ambiguous
// result it aborts the connection without a response, as if the response was lost.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
	case errors.Is(err, cloud.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
		return
	case errors.Is(err, cloud.ErrConflict):
		w.WriteHeader(http.StatusConflict)
		return
	case errors.Is(err, cloud.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case errors.Is(err, cloud.ErrAmbiguous):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if v == nil {
		v = struct{}{}
	}
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails if the client closed the connection; then nobody waits for the answer.
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody decodes the body into v. If that fails it answers with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.callerHandle(r).Get(r.Context(), r.FormValue("key"))
	writeResponse(w, row, err)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := s.callerHandle(r).List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
	writeResponse(w, rows, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn cloud.Txn
	if !decodeBody(w, r, &txn) {
		return
	}
	version, err := s.callerHandle(r).Commit(r.Context(), txn)
	writeResponse(w, platformclient.CommitResponse{Version: version}, err)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, nil, s.callerHandle(r).PutObject(r.Context(), r.URL.Query().Get("key"), value))
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	value, err := s.callerHandle(r).GetObject(r.Context(), r.FormValue("key"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	// Write fails if the client closed the connection; then nobody waits for the answer.
	_, _ = w.Write(value)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, nil, s.callerHandle(r).DeleteObject(r.Context(), r.URL.Query().Get("key")))
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.callerHandle(r).Hosts(r.Context(), r.FormValue("data_centre"))
	writeResponse(w, hosts, err)
}

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	var in platformclient.RebootRequest
	if decodeBody(w, r, &in) {
		writeResponse(w, nil, s.callerHandle(r).Reboot(r.Context(), in.Host, in.Incarnation))
	}
}

func (s *Server) startTask(w http.ResponseWriter, r *http.Request) {
	var spec cloud.TaskSpec
	if decodeBody(w, r, &spec) {
		writeResponse(w, nil, s.callerHandle(r).StartTask(r.Context(), spec))
	}
}

func (s *Server) renewTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if decodeBody(w, r, &in) {
		writeResponse(w, nil, s.callerHandle(r).RenewTask(r.Context(), in.ID, in.Lease))
	}
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if !decodeBody(w, r, &in) {
		return
	}
	checkpoint, err := s.callerHandle(r).CheckpointTask(r.Context(), in.ID)
	writeResponse(w, platformclient.CheckpointResponse{Checkpoint: checkpoint}, err)
}

func (s *Server) throttleTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if decodeBody(w, r, &in) {
		writeResponse(w, nil, s.callerHandle(r).ThrottleTask(r.Context(), in.ID, in.On))
	}
}

func (s *Server) stopTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if decodeBody(w, r, &in) {
		writeResponse(w, nil, s.callerHandle(r).StopTask(r.Context(), in.ID))
	}
}

func (s *Server) task(w http.ResponseWriter, r *http.Request) {
	task, err := s.callerHandle(r).Task(r.Context(), r.FormValue("id"))
	writeResponse(w, task, err)
}

func (s *Server) tasks(w http.ResponseWriter, r *http.Request) {
	tasks, err := s.callerHandle(r).Tasks(r.Context(), r.FormValue("data_centre"))
	for i := range tasks {
		// The payloads of all tasks may exceed what a client reads; that of one task is in its own report.
		tasks[i].Spec.Payload = ""
	}
	writeResponse(w, tasks, err)
}

// FaultsRequest sets the faults of one data centre or, if DataCentre is empty, those of the platform that all data
// centres see.
type FaultsRequest struct {
	DataCentre string        `json:"data_centre,omitempty"`
	Faults     memory.Faults `json:"faults"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultsRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if in.DataCentre == "" {
		s.p.SetFaults(in.Faults)
	} else {
		s.dataCentreHandle(in.DataCentre).SetFaults(in.Faults)
	}
	writeResponse(w, nil, nil)
}

func (s *Server) setHost(w http.ResponseWriter, r *http.Request) {
	var state structs.HostState
	if decodeBody(w, r, &state) {
		s.p.SetHost(state)
		writeResponse(w, nil, nil)
	}
}

// WorkerRequest sets whether a worker fails every task that it starts.
type WorkerRequest struct {
	Host    string `json:"host"`
	Failing bool   `json:"failing"`
}

func (s *Server) setWorker(w http.ResponseWriter, r *http.Request) {
	var in WorkerRequest
	if decodeBody(w, r, &in) {
		s.p.SetWorkerFailing(in.Host, in.Failing)
		writeResponse(w, nil, nil)
	}
}
