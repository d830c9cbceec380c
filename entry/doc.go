// Package entry serves the caller API of an entry host: it validates and
// admits requests, claims idempotency keys, dispatches to targets, checks the
// responses and reports an accurate outcome: done, not_run or unknown. It
// forwards requests to another data centre if this one has no usable target,
// and passes long jobs to an implementation of Jobs.
//
// An outcome is not_run only if the request certainly did not run. Requests
// are sent to a second target only if they are idempotent or the first one
// certainly did not run them.
//
// Tests name the invariants P1 to P8 of docs/design.md that they check.
package entry
