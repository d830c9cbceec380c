package entry

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxJobBytes bounds the body of a job submission.
const maxJobBytes = 256 << 10

// jobNamespace is the UUID namespace for job ids that are derived from the caller and its idempotency key, so
// that a repeated submission has the same id.
var jobNamespace = uuid.MustParse("6f1ff9a4-3f0e-4f6a-9d5f-0b8ac5a6d3b1")

// JobSubmission is a long job that a caller submits.
type JobSubmission struct {
	// ID is the same for repeated submissions with the same idempotency key.
	ID     string
	Caller string
	Spec   structs.JobSpec
}

func (s *Server) jobRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", s.jobRoute(s.submitJob))
	mux.HandleFunc("GET /v1/jobs/{id}", s.jobRoute(func(_ http.ResponseWriter, hr *http.Request, caller string) (structs.Job, int, error) {
		job, err := s.callerJob(hr, caller)
		return job, http.StatusOK, err
	}))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.jobRoute(func(_ http.ResponseWriter, hr *http.Request, caller string) (structs.Job, int, error) {
		job, err := s.callerJob(hr, caller)
		if err != nil {
			return job, 0, err
		}
		job, err = s.opts.Jobs.Cancel(hr.Context(), job.ID)
		return job, http.StatusOK, err
	}))
}

// jobHandler returns the job and the status for the response.
type jobHandler func(w http.ResponseWriter, hr *http.Request, caller string) (structs.Job, int, error)

// jobRoute returns a handler that identifies the caller, calls handle and writes the job or the error.
func (s *Server) jobRoute(handle jobHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, hr *http.Request) {
		caller, apiErr := s.caller(hr)
		if apiErr == nil {
			apiErr = s.beginRequest()
		}
		if apiErr != nil {
			writeError(w, apiErr)
			return
		}
		defer s.endRequest()
		job, status, err := handle(w, hr, caller)
		if err != nil {
			writeError(w, s.jobError(err))
			return
		}
		body, err := json.Marshal(job)
		if err != nil {
			writeError(w, s.jobError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		s.writeBody(w, append(body, '\n'))
	}
}

func (s *Server) submitJob(w http.ResponseWriter, hr *http.Request, caller string) (structs.Job, int, error) {
	key, apiErr := singleValue(hr.Header, HeaderIdempotencyKey, maxKeyBytes)
	if apiErr != nil {
		return structs.Job{}, 0, apiErr
	}
	sub := JobSubmission{ID: uuid.NewString(), Caller: caller}
	if key != "" {
		sub.ID = uuid.NewSHA1(jobNamespace, []byte(caller+"\x00"+key)).String()
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, hr.Body, maxJobBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&sub.Spec); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return structs.Job{}, 0, bodyTooLargeError(maxJobBytes)
		}
		if errors.Is(err, ingresslimit.ErrNoRoom) {
			ingresslimit.Discard(w)
			e := noRoomError()
			if key != "" {
				// An earlier submission of the key may have been accepted.
				e.Outcome = structs.OutcomeUnknown
			}
			return structs.Job{}, 0, e
		}
		return structs.Job{}, 0, permanentError(http.StatusBadRequest, CodeMalformedBody, "the body must be the declaration of a job in JSON")
	}
	if s.opts.View().Services[sub.Spec.Service] == nil {
		return structs.Job{}, 0, unknownServiceError()
	}
	// The header is set before the submission, so that the caller can read the job even if the result of the
	// submission is unknown.
	w.Header().Set("Location", "/v1/jobs/"+sub.ID)
	job, err := s.opts.Jobs.Submit(hr.Context(), sub)
	return job, http.StatusAccepted, err
}

// callerJob returns a job of the caller. A job of another caller is reported as unknown.
func (s *Server) callerJob(hr *http.Request, caller string) (structs.Job, error) {
	job, err := s.opts.Jobs.Get(hr.Context(), hr.PathValue("id"))
	if err == nil && job.Caller != caller {
		return structs.Job{}, permanentError(http.StatusNotFound, CodeUnknownJob, "no such job")
	}
	return job, err
}

func (s *Server) jobError(err error) *APIError {
	var apiErr *APIError
	if errors.As(err, &apiErr) {
		return apiErr
	}
	s.opts.Log.WithError(err).Error("job request failed")
	e := retryableError(http.StatusInternalServerError, CodeInternal, "the job request failed", minRetryAfter)
	e.Outcome = structs.OutcomeUnknown
	return e
}
