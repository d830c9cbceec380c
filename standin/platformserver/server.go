// Package platformserver serves an in-memory platform over HTTP, with a
// control API for faults. It stands in for the real platform in tests,
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

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 16 << 20

// Server serves one in-memory platform. Each data centre has a handle of its
// own, so that one of them can be partitioned from the platform.
type Server struct {
	p *memory.Platform

	mu      sync.Mutex
	handles map[string]*memory.Handle
}

// New returns a server for p.
func New(p *memory.Platform) *Server {
	return &Server{p: p, handles: make(map[string]*memory.Handle)}
}

func (s *Server) handle(dataCentre string) *memory.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handles[dataCentre]
	if !ok {
		h = s.p.Handle()
		s.handles[dataCentre] = h
	}
	return h
}

// API returns the handler that the system's processes call.
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

// Control returns the handler of the control port.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", s.setFaults)
	mux.HandleFunc("POST /control/hosts", s.setHost)
	mux.HandleFunc("POST /control/workers", s.setWorker)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.p.Counters(), nil)
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.p.TaskStarts(), nil)
	})
	return mux
}

func (s *Server) of(r *http.Request) *memory.Handle {
	return s.handle(r.Header.Get(platformclient.HeaderDataCentre))
}

// reply answers with v as JSON or with the status of err. An ambiguous result
// closes the connection without an answer, as a lost answer does.
func reply(w http.ResponseWriter, v any, err error) {
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
	// A failed write means that the client went away; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.of(r).Get(r.Context(), r.FormValue("key"))
	reply(w, row, err)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := s.of(r).List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
	reply(w, rows, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn cloud.Txn
	if !read(w, r, &txn) {
		return
	}
	version, err := s.of(r).Commit(r.Context(), txn)
	reply(w, platformclient.CommitResponse{Version: version}, err)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, nil, s.of(r).PutObject(r.Context(), r.URL.Query().Get("key"), value))
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	value, err := s.of(r).GetObject(r.Context(), r.FormValue("key"))
	if err != nil {
		reply(w, nil, err)
		return
	}
	// A failed write means that the client went away; there is nobody to tell.
	_, _ = w.Write(value)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	reply(w, nil, s.of(r).DeleteObject(r.Context(), r.URL.Query().Get("key")))
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.of(r).Hosts(r.Context(), r.FormValue("data_centre"))
	reply(w, hosts, err)
}

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	var in platformclient.RebootRequest
	if read(w, r, &in) {
		reply(w, nil, s.of(r).Reboot(r.Context(), in.Host, in.Incarnation))
	}
}

func (s *Server) startTask(w http.ResponseWriter, r *http.Request) {
	var spec cloud.TaskSpec
	if read(w, r, &spec) {
		reply(w, nil, s.of(r).StartTask(r.Context(), spec))
	}
}

func (s *Server) renewTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if read(w, r, &in) {
		reply(w, nil, s.of(r).RenewTask(r.Context(), in.ID, in.Lease))
	}
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if !read(w, r, &in) {
		return
	}
	checkpoint, err := s.of(r).CheckpointTask(r.Context(), in.ID)
	reply(w, platformclient.CheckpointResponse{Checkpoint: checkpoint}, err)
}

func (s *Server) throttleTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if read(w, r, &in) {
		reply(w, nil, s.of(r).ThrottleTask(r.Context(), in.ID, in.On))
	}
}

func (s *Server) stopTask(w http.ResponseWriter, r *http.Request) {
	var in platformclient.TaskRequest
	if read(w, r, &in) {
		reply(w, nil, s.of(r).StopTask(r.Context(), in.ID))
	}
}

func (s *Server) task(w http.ResponseWriter, r *http.Request) {
	task, err := s.of(r).Task(r.Context(), r.FormValue("id"))
	reply(w, task, err)
}

func (s *Server) tasks(w http.ResponseWriter, r *http.Request) {
	tasks, err := s.of(r).Tasks(r.Context(), r.FormValue("data_centre"))
	reply(w, tasks, err)
}

// FaultsRequest sets the faults that one data centre sees, or all if DataCentre is empty.
type FaultsRequest struct {
	DataCentre string        `json:"data_centre,omitempty"`
	Faults     memory.Faults `json:"faults"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultsRequest
	if !read(w, r, &in) {
		return
	}
	if in.DataCentre == "" {
		s.p.SetFaults(in.Faults)
	} else {
		s.handle(in.DataCentre).SetFaults(in.Faults)
	}
	reply(w, nil, nil)
}

func (s *Server) setHost(w http.ResponseWriter, r *http.Request) {
	var state structs.HostState
	if read(w, r, &state) {
		s.p.SetHost(state)
		reply(w, nil, nil)
	}
}

// WorkerRequest sets the faults of one worker.
type WorkerRequest struct {
	Host    string `json:"host"`
	Failing bool   `json:"failing"`
}

func (s *Server) setWorker(w http.ResponseWriter, r *http.Request) {
	var in WorkerRequest
	if read(w, r, &in) {
		s.p.SetWorkerFailing(in.Host, in.Failing)
		reply(w, nil, nil)
	}
}
