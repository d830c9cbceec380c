package entry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

// rejectionMessages are the texts sent to callers for the rejection reasons of package admission.
var rejectionMessages = map[admission.Reason]string{
	admission.ReasonTeamQuota:   "the team's quota of concurrent requests is used up",
	admission.ReasonQueueFull:   "the queue of the service is full",
	admission.ReasonDeadline:    "the request cannot start early enough before its deadline",
	admission.ReasonUrgentLimit: "the urgent request cannot start within the urgent start limit",
	admission.ReasonRetryBudget: "the retry budget of the service is used up",
}

// FromAdmission adapts *admission.Admission to the interface Admission.
func FromAdmission(a *admission.Admission) Admission { return admissionAdapter{a} }

type admissionAdapter struct{ admission *admission.Admission }

func (a admissionAdapter) Enter(ctx context.Context, req AdmissionRequest) (Permit, error) {
	p, err := a.admission.Enter(ctx, admission.Request{
		ID: req.ID, Service: req.Service, Team: req.Team, Priority: req.Priority, Deadline: req.Deadline,
	})
	if err != nil {
		return nil, translateRejection(err)
	}
	return permit{p}, nil
}

type permit struct{ permit *admission.Permit }

func (p permit) Host() *structs.Host { return p.permit.Slot().Host() }

func (p permit) Retry(r Result, tried []string) error {
	if err := p.permit.Retry(router.Result(r), tried); err != nil {
		return translateRejection(err)
	}
	return nil
}

func (p permit) Close(r Result) { p.permit.Close(router.Result(r)) }

// translateRejection translates an error of package admission to the errors that Admission.Enter documents.
func translateRejection(err error) error {
	var rejected *admission.RejectedError
	if !errors.As(err, &rejected) {
		return err
	}
	switch rejected.Reason {
	case admission.ReasonNoTarget:
		return ErrNoTarget
	case admission.ReasonCancelled:
		return errors.Wrap(rejected.Cause, "admission")
	}
	reason, ok := rejectionMessages[rejected.Reason]
	if !ok {
		reason = string(rejected.Reason)
	}
	return &RejectedError{Reason: reason, RetryAfter: rejected.RetryAfter}
}
