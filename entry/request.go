package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/claims"
	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Headers of the caller API and of requests to targets and their responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderIdempotent     = "Tamarack-Idempotent"
	HeaderPriority       = "Tamarack-Priority"
	HeaderDeadline       = "Tamarack-Deadline-Ms"
	HeaderTeam           = "Tamarack-Team"
	HeaderOutcome        = "Tamarack-Outcome"
	HeaderRequestID      = "Tamarack-Request-Id"
	HeaderService        = "Tamarack-Service"
	HeaderAttempt        = "Tamarack-Attempt"
	HeaderDigest         = "Tamarack-Digest"
)

const (
	// maxKeyBytes bounds an idempotency key, maxNameBytes a team name.
	maxKeyBytes  = 128
	maxNameBytes = 128
	// maxContentTypeBytes bounds the content type, which is stored with a claim.
	maxContentTypeBytes = 256
)

// request is a validated caller request.
type request struct {
	id string
	// nonce identifies the request in its claim and its attempts; it is new on each entry host.
	nonce       string
	caller      string
	service     *structs.Service
	team        string
	priority    structs.Priority
	idempotent  bool
	key         string
	deadline    time.Time
	contentType string
	encoding    string
	body        []byte
	// forwarded means that another data centre forwarded the request.
	forwarded bool
	// firstAttempt means that the caller declares that it sends the key for the first time.
	firstAttempt bool
	// noEarlierRun means that according to the claim store no earlier submission of this request ran.
	noEarlierRun bool
}

// fingerprint returns a hash of the content. A key may only be used again with the same fingerprint.
func (r *request) fingerprint() string {
	h := sha256.New()
	// A hash never returns an error. The zero byte separates the fields.
	_, _ = io.WriteString(h, r.contentType+"\x00"+r.encoding+"\x00")
	_, _ = h.Write(r.body)
	return hex.EncodeToString(h.Sum(nil))
}

// needsClaim reports whether the key must be claimed before the request is dispatched.
func (r *request) needsClaim() bool { return !r.idempotent && r.key != "" }

func (r *request) claimKey() claims.Key {
	return claims.Key{Caller: r.caller, Service: r.service.Name, IdempotencyKey: r.key}
}

// parseRequest validates the path and the headers. The body is read later.
func (s *Server) parseRequest(hr *http.Request, caller string) (*request, *APIError) {
	req := &request{id: uuid.NewString(), caller: caller}
	req.nonce = req.id
	service := s.opts.View().Services[hr.PathValue("service")]
	if service == nil {
		return req, unknownServiceError()
	}
	req.service = service
	h := hr.Header
	if err := req.parseHeaders(h); err != nil {
		return req, err
	}
	deadline, err := s.parseDeadline(h, service)
	if err != nil {
		return req, err
	}
	req.deadline = s.opts.Now().Add(deadline)
	return req, nil
}

func (r *request) parseHeaders(h http.Header) *APIError {
	var err *APIError
	if r.idempotent, err = parseBool(h, HeaderIdempotent); err != nil {
		return err
	}
	if r.team, err = singleValue(h, HeaderTeam, maxNameBytes); err != nil {
		return err
	}
	if r.key, err = singleValue(h, HeaderIdempotencyKey, maxKeyBytes); err != nil {
		return err
	}
	if r.priority, err = parsePriority(h); err != nil {
		return err
	}
	if r.firstAttempt, err = parseFirstAttempt(h); err != nil {
		return err
	}
	if r.contentType, err = singleValue(h, "Content-Type", maxContentTypeBytes); err != nil {
		return err
	}
	r.encoding, err = singleValue(h, "Content-Encoding", maxContentTypeBytes)
	return err
}

func unknownServiceError() *APIError {
	return permanentError(http.StatusNotFound, CodeUnknownService, "the service is not declared")
}

func missingHeaderError(name string) *APIError {
	return permanentError(http.StatusBadRequest, CodeMissingHeader, "header "+name+" is required")
}

func malformedHeaderError(name, want string) *APIError {
	return permanentError(http.StatusBadRequest, CodeMalformedHeader, "header "+name+" must be "+want)
}

// singleValue returns the value of a header, or "" if it is absent. The header must not be repeated, and its
// value must have 1 to limit printable ASCII characters.
func singleValue(h http.Header, name string, limit int) (string, *APIError) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > limit || !isPrintable(values[0]) {
		return "", malformedHeaderError(name, "one value of 1 to "+strconv.Itoa(limit)+" printable ASCII characters")
	}
	return values[0], nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func parseBool(h http.Header, name string) (bool, *APIError) {
	value, err := singleValue(h, name, maxNameBytes)
	switch {
	case err != nil:
		return false, err
	case value == "":
		return false, missingHeaderError(name)
	case value == "true", value == "false":
		return value == "true", nil
	}
	return false, malformedHeaderError(name, "true or false")
}

// parseFirstAttempt reports whether the caller declares the request as the first attempt of its key. Without
// the header it may be a repetition.
func parseFirstAttempt(h http.Header) (bool, *APIError) {
	value, err := singleValue(h, HeaderAttempt, maxNameBytes)
	if err != nil || value == "" {
		return false, err
	}
	n, parseErr := strconv.ParseUint(value, 10, 32)
	if parseErr != nil || n == 0 {
		return false, malformedHeaderError(HeaderAttempt, "a whole number from 1")
	}
	return n == 1, nil
}

// parsePriority returns the priority of the request. A request without the header is urgent, because a
// person usually waits for it.
func parsePriority(h http.Header) (structs.Priority, *APIError) {
	value, err := singleValue(h, HeaderPriority, maxNameBytes)
	if err != nil {
		return "", err
	}
	switch p := structs.Priority(value); p {
	case "":
		return structs.PriorityUrgent, nil
	case structs.PriorityUrgent, structs.PriorityBatch:
		return p, nil
	}
	return "", malformedHeaderError(HeaderPriority, "urgent or batch")
}

func (s *Server) parseDeadline(h http.Header, service *structs.Service) (time.Duration, *APIError) {
	limit := s.opts.MaxDeadline
	value, err := singleValue(h, HeaderDeadline, maxNameBytes)
	if err != nil {
		return 0, err
	}
	if value == "" {
		if ms := service.DefaultDeadlineMS; ms > 0 {
			return min(time.Duration(ms)*time.Millisecond, limit), nil
		}
		return min(s.opts.DefaultDeadline, limit), nil
	}
	ms, convErr := strconv.ParseInt(value, 10, 64)
	if convErr != nil || ms > limit.Milliseconds() {
		return 0, malformedHeaderError(HeaderDeadline, "a number of milliseconds up to "+strconv.FormatInt(limit.Milliseconds(), 10))
	}
	if ms <= 0 {
		return 0, deadlineExpiredError()
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func deadlineExpiredError() *APIError {
	return permanentError(http.StatusBadRequest, CodeDeadlineExpired, "the deadline passed before the request was dispatched")
}

func (s *Server) bodyLimit(service *structs.Service) int64 {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return s.opts.MaxBodyBytes
}

func bodyTooLargeError(limit int64) *APIError {
	return permanentError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// readBody reads the body within the limit and the deadline.
func (s *Server) readBody(w http.ResponseWriter, hr *http.Request, req *request) *APIError {
	limit := s.bodyLimit(req.service)
	if hr.ContentLength > limit {
		ingresslimit.Discard(w)
		return bodyTooLargeError(limit)
	}
	if ingresslimit.Admit(hr) != nil {
		ingresslimit.Discard(w)
		return noRoomError()
	}
	// If the connection does not support read deadlines, the timeouts of its HTTP server apply.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(req.deadline)
	defer func() {
		if control != nil {
			_ = control.SetReadDeadline(time.Time{})
		}
	}()
	body, err := readAll(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength)
	if err == nil {
		req.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLargeError(limit)
	case errors.Is(err, ingresslimit.ErrNoRoom):
		control = nil
		ingresslimit.Discard(w)
		return noRoomError()
	case !s.opts.Now().Before(req.deadline):
		return deadlineExpiredError()
	case errors.Is(err, context.Canceled):
		return callerGoneError(structs.OutcomeNotRun)
	}
	return permanentError(http.StatusBadRequest, CodeMalformedBody, "the body could not be read")
}

// readAll reads to the end. If size is known (not negative), it reads into one buffer of that size, which
// avoids copies of a growing buffer.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// noRoomError is the error of a request whose body is not read because the bodies in memory use up their budget.
func noRoomError() *APIError {
	return retryableError(http.StatusServiceUnavailable, CodeRejected, "this entry host has no room for the body", minRetryAfter)
}

// Refuse answers a request of a caller for which the entry host has no room, before anything of it was read.
func (s *Server) Refuse(w http.ResponseWriter, hr *http.Request) {
	ingresslimit.Discard(w)
	e := noRoomError()
	if hr.Header.Get(HeaderIdempotencyKey) != "" {
		// An earlier submission of the key may have run.
		e.Outcome = structs.OutcomeUnknown
	}
	writeError(w, e)
}

func callerGoneError(outcome structs.Outcome) *APIError {
	return &APIError{Status: statusClientClosedRequest, Code: CodeCallerGone, Message: "the caller closed the connection", Outcome: outcome}
}
