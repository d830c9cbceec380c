// Package targetserver is a stand-in for a target. It executes requests in a
// fixed number of slots, follows the target contract of docs/design.md and has
// a control API to inject faults.
package targetserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the target contract.
const (
	HeaderRequestID = "Tamarack-Request-Id"
	HeaderService   = "Tamarack-Service"
	HeaderOutcome   = "Tamarack-Outcome"
	HeaderDigest    = "Tamarack-Digest"
)

const (
	maxBodyBytes = 4 << 20
	// maxExecutions bounds the recorded executions; later ones run, but are neither recorded nor counted.
	maxExecutions = 1 << 20
)

// Options configure a Server.
type Options struct {
	// Host is the name of the host that the target runs on.
	Host string
	// Slots is the number of requests executed at once; 0 means 8.
	Slots int
}

// Faults change how a target answers. Several may be set at once.
type Faults struct {
	// Freeze holds every request before its execution until the fault is cleared.
	Freeze bool `json:"freeze"`
	// FailAll answers every request with status 500, without an outcome and without executing it.
	FailAll bool `json:"fail_all"`
	// Refuse answers every request as not run, as if no slot was free.
	Refuse bool `json:"refuse"`
	// Delay is the time between an execution and its answer; the slot is free meanwhile.
	Delay time.Duration `json:"delay"`
	// CrossAnswers answers each request with the request id and the body of the answer to the one before; the first
	// request gets its own body with the id "none".
	CrossAnswers bool `json:"cross_answers"`
	// Truncate closes the connection after half of the body.
	Truncate bool `json:"truncate"`
	// LoseAnswers closes the connection after the execution, without an answer.
	LoseAnswers bool `json:"lose_answers"`
}

// Work is the body of a request to this stand-in. A body in another form is executed in no time.
type Work struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Text is returned in the result and recorded in the execution.
	Text string `json:"text,omitempty"`
}

// Result is the body of an answer.
type Result struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	// Digest is the digest of the request's body.
	Digest string `json:"digest"`
	Text   string `json:"text,omitempty"`
}

// Execution records one request that got a slot. Finished is zero while it runs.
type Execution struct {
	RequestID string    `json:"request_id"`
	Service   string    `json:"service"`
	Text      string    `json:"text"`
	Started   time.Time `json:"started"`
	Finished  time.Time `json:"finished"`
}

// Server is one target stand-in.
type Server struct {
	opts     Options
	slots    chan struct{}
	listener *Listener

	mu     sync.Mutex
	faults Faults
	// unfrozen is closed and replaced when Freeze is cleared.
	unfrozen       chan struct{}
	executions     []*Execution
	rejected       uint64
	aborted        uint64
	failed         uint64
	previousAnswer storedAnswer
}

// storedAnswer is an answer that CrossAnswers sends to the next request.
type storedAnswer struct {
	id   string
	body []byte
}

// New returns a target without faults whose slots are all free.
func New(opts Options) *Server {
	if opts.Slots <= 0 {
		opts.Slots = 8
	}
	return &Server{opts: opts, slots: make(chan struct{}, opts.Slots), unfrozen: make(chan struct{})}
}

// API returns the handler of the target contract.
func (s *Server) API() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /work/{service}", s.handleWork)
	return mux
}

// Control returns the handler of the control port, which sets faults and reports executions and counters.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		// Encoding fails if the client closed the connection; then nobody waits for the answer.
		_ = json.NewEncoder(w).Encode(s.Executions())
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counters())
	})
	s.registerConnectionControls(mux)
	return mux
}

// SetFaults replaces the faults. Clearing Freeze lets the held requests continue.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Freeze && !f.Freeze {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
	s.faults = f
}

// Executions returns a copy of the recorded executions in the order of their start.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Execution, len(s.executions))
	for i, e := range s.executions {
		list[i] = *e
	}
	return list
}

// Counters count requests by what happened to them.
type Counters struct {
	// Executed counts the recorded executions, those that still run included.
	Executed uint64 `json:"executed"`
	// Rejected counts requests that were answered as not run.
	Rejected uint64 `json:"rejected"`
	// Aborted counts requests whose client was gone at the end of the execution.
	Aborted uint64 `json:"aborted"`
	// Failed counts requests that the fault FailAll answered.
	Failed uint64 `json:"failed"`
}

// Counters returns the counts since the server was created.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{Executed: uint64(len(s.executions)), Rejected: s.rejected, Aborted: s.aborted, Failed: s.failed}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// RebootRequest asks for the close of all connections; until Down has passed, new ones are closed at once.
type RebootRequest struct {
	Down time.Duration `json:"down"`
}

func (s *Server) handleReboot(w http.ResponseWriter, r *http.Request) {
	var in RebootRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.listener != nil {
		s.listener.Reboot(in.Down)
	}
}

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, ok := s.waitWhileFrozen(r)
	if !ok {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if faults.FailAll {
		s.mu.Lock()
		s.failed++
		s.mu.Unlock()
		w.Header().Set(HeaderRequestID, id)
		http.Error(w, "target fails every request", http.StatusInternalServerError)
		return
	}
	if faults.Refuse || !s.acquireSlot() {
		s.writeNotRun(w, id)
		return
	}
	answer := s.execute(r, id, body)
	<-s.slots
	s.writeAnswer(w, r, faults, id, answer)
}

// waitWhileFrozen waits until Freeze is cleared and returns the faults then, or false if the client closed the connection.
func (s *Server) waitWhileFrozen(r *http.Request) (Faults, bool) {
	for {
		s.mu.Lock()
		faults, unfrozen := s.faults, s.unfrozen
		s.mu.Unlock()
		if !faults.Freeze {
			return faults, true
		}
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return faults, false
		}
	}
}

func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// writeNotRun answers that the request was not run.
func (s *Server) writeNotRun(w http.ResponseWriter, id string) {
	s.mu.Lock()
	s.rejected++
	s.mu.Unlock()
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderOutcome, "not_run")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// execute runs the work in a slot and returns the body of the answer.
func (s *Server) execute(r *http.Request, id string, body []byte) []byte {
	var work Work
	// A body in another form is executed in no time.
	_ = json.Unmarshal(body, &work)
	service := r.PathValue("service")
	e := &Execution{RequestID: id, Service: service, Text: work.Text, Started: time.Now()}
	s.mu.Lock()
	if len(s.executions) < maxExecutions {
		s.executions = append(s.executions, e)
	}
	s.mu.Unlock()
	if work.RunMS > 0 {
		time.Sleep(time.Duration(work.RunMS) * time.Millisecond)
	}
	s.mu.Lock()
	e.Finished = time.Now()
	if r.Context().Err() != nil {
		s.aborted++
	}
	s.mu.Unlock()
	result := Result{Host: s.opts.Host, Service: service, Text: work.Text, Digest: digest(body)}
	// Encoding cannot fail, as Result holds only strings.
	answer, _ := json.Marshal(result)
	return answer
}

func digest(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// writeAnswer sends the answer to an executed request, subject to the faults f.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, f Faults, id string, body []byte) {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if f.CrossAnswers {
		id, body = s.swapAnswer(id, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderDigest, digest(body))
	w.Header().Set(HeaderOutcome, "done")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	// Write fails if the client closed the connection; the execution is recorded all the same.
	_, _ = w.Write(body)
}

// swapAnswer stores an answer and returns the one stored before it. The first call returns its own body with the id
// "none".
func (s *Server) swapAnswer(id string, body []byte) (string, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previousAnswer
	s.previousAnswer = storedAnswer{id: id, body: body}
	if previous.id == "" {
		return "none", body
	}
	return previous.id, previous.body
}
