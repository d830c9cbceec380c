package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/loadgen"
)

// drainResult remembers which target was drained and when the ticket was accepted.
type drainResult struct {
	control string
	at      time.Time
}

// drainTarget drains one target of the second data centre by a ticket.
func (r *run) drainTarget(ctx context.Context) error {
	if err := sleep(ctx, drainAfter); err != nil {
		return err
	}
	target := r.fleet.Targets[len(r.fleet.Targets)/2]
	stdout, stderr, code, err := r.fleet.RunTamarack(ctx, "drain", target.Host, "--reason", "demonstration")
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "drain: exit code %d: %s%s", code, stdout, stderr))
	}
	fmt.Fprintln(r.out, "draining", target.Host)
	r.drain = drainResult{control: target.ControlAddress, at: time.Now()}
	return nil
}

func (r *run) judgeDrain(ctx context.Context) error {
	executions, err := loadgen.Executions(ctx, r.drain.control)
	if err != nil {
		return err
	}
	late := 0
	for _, e := range executions {
		if e.Started.After(r.drain.at.Add(drainBound)) {
			late++
		}
	}
	r.add("new work on a draining target after 3 s", late == 0, "%d", late)
	return nil
}

// ticketStatus is the JSON form of `tamarack ticket status`.
type ticketStatus struct {
	Entries []struct {
		Entry   string `json:"entry"`
		InForce bool   `json:"in_force"`
	} `json:"entries"`
}

// ticketInEffect returns nil when all running entry hosts report the first ticket as in effect.
func (r *run) ticketInEffect(ctx context.Context) error {
	stdout, stderr, code, err := r.fleet.RunTamarack(ctx, "ticket", "status", "1", "--output", "json")
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "status: exit code %d: %s", code, stderr))
	}
	var status ticketStatus
	if err := json.Unmarshal([]byte(stdout), &status); err != nil {
		return errors.Wrapf(ErrOutcome, "status: %s: %s", err, stdout)
	}
	inEffect := 0
	for _, e := range status.Entries {
		if e.InForce {
			inEffect++
		}
	}
	if inEffect < len(r.fleet.Entries) {
		return errors.Wrapf(ErrOutcome, "ticket 1 is in effect on %d of %d entry hosts", inEffect, len(r.fleet.Entries))
	}
	return nil
}
