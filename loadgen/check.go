package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrControl means that the executions of a target could not be read from its control address.
var ErrControl = errors.New("loadgen: cannot read executions")

// Violations counts, by kind, outcomes reported to callers that contradict the executions of the targets.
type Violations struct {
	// Doubled counts non-idempotent requests that were executed more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts requests reported as not run that were executed.
	FalseNotRun int `json:"false_not_run"`
	// FalseDone counts requests reported as done that no target executed.
	FalseDone int `json:"false_done"`
	// Foreign counts requests whose complete response belonged to another request.
	Foreign int `json:"foreign"`
	// WrongService counts executions for another service than the request named.
	WrongService int `json:"wrong_service"`
}

// Total returns the number of violations of all kinds.
func (v Violations) Total() int {
	return v.Doubled + v.FalseNotRun + v.FalseDone + v.Foreign + v.WrongService
}

// Check compares records with the executions of all targets. It matches them by the ID of the record, which the target
// stores as the text of the execution, and ignores executions without a record.
func Check(records []Record, executions []targetserver.Execution) Violations {
	byID := make(map[string][]targetserver.Execution)
	for _, e := range executions {
		byID[e.Text] = append(byID[e.Text], e)
	}
	var v Violations
	for _, rec := range records {
		executed := byID[rec.ID]
		if !rec.Arrival.Idempotent && len(executed) > 1 {
			v.Doubled++
		}
		if rec.Outcome == structs.OutcomeNotRun && len(executed) > 0 && coversAllAttempts(rec) {
			v.FalseNotRun++
		}
		if rec.Outcome == structs.OutcomeDone && rec.Status < http.StatusBadRequest && len(executed) == 0 {
			v.FalseDone++
		}
		if rec.Foreign {
			v.Foreign++
		}
		for _, e := range executed {
			if e.Service != rec.Arrival.Service {
				v.WrongService++
			}
		}
	}
	return v
}

// coversAllAttempts reports whether the last response holds for all attempts of a request. Without a key, an earlier
// attempt may have been executed although its response was lost. With a key, a response covers all attempts.
func coversAllAttempts(rec Record) bool { return rec.Attempts == 1 || rec.Arrival.Keyed }

// Executions reads from the control address of a target, host and port, the executions that the target recorded.
func Executions(ctx context.Context, control string) ([]targetserver.Execution, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/control/executions", nil)
	if err != nil {
		return nil, errors.Wrap(ErrControl, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrControl, err.Error())
	}
	defer resp.Body.Close()
	var executions []targetserver.Execution
	if err := json.NewDecoder(resp.Body).Decode(&executions); err != nil {
		return nil, errors.Wrap(ErrControl, err.Error())
	}
	return executions, nil
}
