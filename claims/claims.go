// Package claims makes non-idempotent requests with an idempotency key run at
// most once: an entry host creates a row for the key in the platform's table
// before it dispatches the request, and records the response there afterwards.
// Writes of concurrent requests are committed in batches.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
)

// Errors that callers of this package match.
var (
	// ErrUnavailable means that the key could not be claimed because the table does not respond or too
	// many writes wait for it. The request must not be dispatched.
	ErrUnavailable = errors.New("claims: store is unavailable")
	// ErrDeadline means that the context ended before the claim was known to be durable. The request
	// must not be dispatched; if the claim was written, its row is set to StateVoid in the background.
	ErrDeadline = errors.New("claims: deadline passed before the claim was durable")
	// ErrInProgress means that the key is claimed by a request that is in progress or whose outcome is unknown,
	// so it may have run.
	ErrInProgress = errors.New("claims: key is claimed and its outcome is unknown")
	// ErrMismatch means that the key was used for a request with another fingerprint.
	ErrMismatch = errors.New("claims: key was used for a different request")
	// ErrNotFound means that no claim of the key is stored.
	ErrNotFound = errors.New("claims: key is not claimed")
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	// StateClaimed means that the request may have run; its outcome is unknown.
	StateClaimed State = "claimed"
	// StateDone means that a target executed the request.
	StateDone State = "done"
	// StateNotRun means that the request certainly did not run. Its key can be claimed again.
	StateNotRun State = "not_run"
	// StateVoid means that the claim was abandoned before the request was dispatched. Its key can be claimed
	// again.
	StateVoid State = "void"
)

const (
	// Prefix is the prefix of the row keys of claims.
	Prefix = "claim/"
	// MaxStoredBody bounds a stored response body in bytes.
	MaxStoredBody = 64 << 10
	// DefaultRetention is the default of Options.Retention.
	DefaultRetention = 48 * time.Hour
)

// Key identifies a request across the retries of a caller.
type Key struct {
	Caller         string
	Service        string
	IdempotencyKey string
}

// RowKey returns the key of the row in the table, a hash of the parts. The length of each part is hashed before
// the part, so that different keys never give the same input to the hash.
func (k Key) RowKey() string {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{k.Caller, k.Service, k.IdempotencyKey} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Write of a hash never returns an error.
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return Prefix + hex.EncodeToString(h.Sum(nil))
}

// Response is the stored response of a target.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Encoding    string `json:"encoding,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted means that the body was larger than MaxStoredBody and is not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// Record is the stored form of a claim.
type Record struct {
	State State `json:"state"`
	// Owner is the entry host that made the claim, and Incarnation the run of its process.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Nonce identifies the request that made the claim.
	Nonce string `json:"nonce"`
	// Fingerprint identifies the content of the request.
	Fingerprint    string    `json:"fingerprint"`
	ClaimedUnixMS  int64     `json:"claimed_unix_ms"`
	FinishedUnixMS int64     `json:"finished_unix_ms,omitempty"`
	Response       *Response `json:"response,omitempty"`
}

// encode returns the row value. The error is ignored because strings, numbers and byte slices always encode.
func (r Record) encode() []byte {
	b, _ := json.Marshal(r)
	return b
}

func decode(row cloud.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode claim")
	}
	return r, nil
}

// Final is the outcome of a claimed request that ended.
type Final struct {
	State State
	// Response is set if State is StateDone.
	Response *Response
}

// Done returns the outcome of a request that a target executed. The body is omitted if it is larger than
// MaxStoredBody.
func Done(r Response) Final {
	if len(r.Body) > MaxStoredBody {
		r.Body, r.Omitted = nil, true
	}
	return Final{State: StateDone, Response: &r}
}

// NotRun returns the outcome of a request that certainly did not run.
func NotRun() Final { return Final{State: StateNotRun} }

// Unknown returns the outcome of a request that may have run. The row stays claimed.
func Unknown() Final { return Final{State: StateClaimed} }
