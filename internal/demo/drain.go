package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/loadgen"
)

// drainedTarget holds which target was drained and when the ticket was accepted.
type drainedTarget struct {
	controlAddress string
	acceptedAt     time.Time
}

// drainTarget drains the host of a target in the second data centre by a ticket.
func (d *demonstration) drainTarget(ctx context.Context) error {
	if err := sleep(ctx, drainAfter); err != nil {
		return err
	}
	target := d.fleet.Targets[len(d.fleet.Targets)/2]
	stdout, stderr, code, err := d.fleet.RunTamarack(ctx, "drain", target.Host, "--reason", "demonstration")
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "drain: exit code %d: %s%s", code, stdout, stderr))
	}
	fmt.Fprintln(d.out, "draining", target.Host)
	d.drained = drainedTarget{controlAddress: target.ControlAddress, acceptedAt: time.Now()}
	return nil
}

// checkDrain counts the requests that the drained target started more than drainBound after the ticket was accepted.
func (d *demonstration) checkDrain(ctx context.Context) error {
	executions, err := loadgen.Executions(ctx, d.drained.controlAddress)
	if err != nil {
		return err
	}
	late := 0
	for _, e := range executions {
		if e.Started.After(d.drained.acceptedAt.Add(drainBound)) {
			late++
		}
	}
	d.addCheck("new work on a draining target after 3 s", late == 0, "%d", late)
	return nil
}

// ticketStatus is the JSON output of `tamarack ticket status`.
type ticketStatus struct {
	Entries []struct {
		Entry   string `json:"entry"`
		InForce bool   `json:"in_force"`
	} `json:"entries"`
}

// checkTicketInEffect returns an error unless the first ticket is in effect on all entry hosts of the fleet.
func (d *demonstration) checkTicketInEffect(ctx context.Context) error {
	stdout, stderr, code, err := d.fleet.RunTamarack(ctx, "ticket", "status", "1", "--output", "json")
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
	if inEffect < len(d.fleet.Entries) {
		return errors.Wrapf(ErrOutcome, "ticket 1 is in effect on %d of %d entry hosts", inEffect, len(d.fleet.Entries))
	}
	return nil
}
