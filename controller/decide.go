package controller

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/drainer"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ReasonDrain is the reason of assignments of hosts that are out of service because of a drain object.
const ReasonDrain = "drain"

// reconcile starts, on the leader, the steps that bring hosts and waves to their declared state. Each host has at most
// one step in progress, except for an undo. Steps read the rows before they change anything, so repeating one is safe.
func (c *Controller) reconcile() {
	if c.members == nil {
		return
	}
	view := c.opts.Fleet.View()
	var unassigned []structs.Host
	for name, host := range view.Hosts {
		if host.DataCentre != c.opts.Registration.DataCentre {
			continue
		}
		a := view.Assignments[name]
		switch {
		case a != nil:
			c.reconcileHost(view, host, a)
		case view.Pools[host.Pool] != nil:
			unassigned = append(unassigned, *host)
		}
	}
	for name, a := range view.Assignments {
		if view.Hosts[name] == nil {
			c.reconcileUndeclared(a)
		}
	}
	if len(unassigned) > 0 {
		c.startBackground("assign", func(ctx context.Context) func() {
			return c.recordStep("assign", "", c.members.Assign(ctx, unassigned))
		})
	}
	c.reconcileWaves(view)
}

// reconcileHost starts the next step of a declared host, if any.
func (c *Controller) reconcileHost(view *structs.View, host *structs.Host, a *structs.Assignment) {
	name := a.Host
	drain := view.Drains[name]
	switch {
	case a.Phase == structs.PhaseReleasing && a.Reason == membership.ReasonHome && a.NextPool != host.Pool:
		// The ticket that asked for the move was replaced. The undo has a key of its own, because the move is still running
		// under the key of the host.
		c.startBackground("undo/"+name, func(ctx context.Context) func() {
			return c.recordStep("undo", name, c.members.Undo(ctx, name, "home pool changed again"))
		})
	case a.Phase == structs.PhaseReleasing:
		c.startHostStep("resume", name, func(ctx context.Context) error { return c.members.Resume(ctx, name) })
	case a.Phase == structs.PhaseActive && drain != nil, a.Phase == structs.PhaseDraining && a.Reason == ReasonDrain && drain != nil:
		c.startHostStep("drain", name, func(ctx context.Context) error { return c.drain(ctx, name, ReasonDrain) })
	case (a.Phase == structs.PhaseDown || a.Phase == structs.PhaseDraining) && (a.Reason == ReasonDrain && drain == nil || a.Reason == membership.ReasonRemoved):
		c.startHostStep("return", name, func(ctx context.Context) error { return c.members.Return(ctx, name, a.Reason+" ended") })
	case c.waves != nil && (a.Phase == structs.PhaseDraining || a.Phase == structs.PhaseRebooting) && strings.HasPrefix(a.Reason, drainer.ReasonPrefix) &&
		view.Waves[strings.TrimPrefix(a.Reason, drainer.ReasonPrefix)] == nil:
		c.startHostStep("abandoned", name, func(ctx context.Context) error { return c.waves.FinishAbandoned(ctx, *a) })
	case a.Phase == structs.PhaseActive && a.Home != "" && a.Home != host.Pool && view.Pools[host.Pool] != nil:
		c.startHostStep("move", name, func(ctx context.Context) error {
			return c.members.Move(ctx, name, host.Pool, membership.ReasonHome)
		})
	}
}

// reconcileUndeclared starts the next step for a host that is no longer declared, until it is down with ReasonRemoved. A
// move in progress is completed first, and a host that is out for another reason is returned first.
func (c *Controller) reconcileUndeclared(a *structs.Assignment) {
	switch {
	case a.Phase == structs.PhaseReleasing:
		c.startHostStep("resume", a.Host, func(ctx context.Context) error { return c.members.Resume(ctx, a.Host) })
	case a.Phase == structs.PhaseActive, a.Phase == structs.PhaseDraining && a.Reason == membership.ReasonRemoved:
		c.startHostStep("remove", a.Host, func(ctx context.Context) error { return c.drain(ctx, a.Host, membership.ReasonRemoved) })
	case a.Phase == structs.PhaseRebooting:
		c.startHostStep("return", a.Host, func(ctx context.Context) error { return c.members.Return(ctx, a.Host, "maintained") })
	case a.Reason != membership.ReasonRemoved:
		c.startHostStep("return", a.Host, func(ctx context.Context) error { return c.members.Return(ctx, a.Host, "host removed while out") })
	}
}

// drain takes a host out of service and marks it as down.
func (c *Controller) drain(ctx context.Context, host, reason string) error {
	// The timeout lets the next pass notice a withdrawn drain; otherwise the next pass continues this one.
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	drained, err := c.members.Drain(ctx, host, reason)
	if err != nil {
		return err
	}
	return c.members.SetDown(ctx, drained)
}

// reconcileWaves starts a pass of each wave of this data centre and deletes the progress of undeclared ones.
func (c *Controller) reconcileWaves(view *structs.View) {
	if c.waves == nil {
		return
	}
	if c.intervalElapsed("collect", CleanupInterval) {
		c.startBackground("collect", func(ctx context.Context) func() {
			return c.recordStep("collect", "", c.waves.DeleteUndeclared(ctx, view.Waves))
		})
	}
	for name, wave := range view.Waves {
		if wave.DataCentre != c.opts.Registration.DataCentre {
			continue
		}
		c.startBackground("wave/"+name, func(ctx context.Context) func() {
			return c.recordStep("wave", name, c.waves.Run(ctx, *wave))
		})
	}
}

// startPlannedMoves runs the planner in the background and starts the moves that it returns. Moves of hosts whose last
// move was undone recently are skipped.
func (c *Controller) startPlannedMoves(view *structs.View) {
	if c.members == nil || c.opts.Planner == nil {
		return
	}
	c.startBackground("plan", func(context.Context) func() {
		moves := c.opts.Planner.Plan(view, c.peers.Peers(), time.Now())
		return func() {
			for _, m := range moves {
				if time.Now().Before(c.notBefore["undone/"+m.Host]) {
					continue
				}
				c.startHostStep("move", m.Host, func(ctx context.Context) error { return c.members.Move(ctx, m.Host, m.To, m.Reason) })
			}
		}
	})
}

// startHostStep starts a step on one host unless another step on it is running. step is its label in logs and metrics.
func (c *Controller) startHostStep(step, name string, work func(ctx context.Context) error) {
	c.startBackground("host/"+name, func(ctx context.Context) func() {
		err := work(ctx)
		c.recordStep(step, name, err)
		if !errors.Is(err, membership.ErrUndone) {
			return nil
		}
		return func() { c.notBefore["undone/"+name] = time.Now().Add(UndoneBackoff) }
	})
}

// recordStep counts and logs the result of a step, unless the controller is stopping. Failures that the next pass
// retries are logged at debug level. It always returns nil, for use as the result of background work.
func (c *Controller) recordStep(step, name string, err error) func() {
	if c.ctx.Err() != nil {
		return nil
	}
	c.metrics.steps.WithLabelValues(step, resultLabel(err)).Inc()
	if err == nil {
		// Only changes of single hosts are logged: they are few and explain what is observed, while passes of waves and
		// first assignments repeat.
		if name != "" && step != "wave" {
			c.opts.Log.WithField("step", step).WithField("name", name).Info("step finished")
		}
		return nil
	}
	entry := c.opts.Log.WithError(err).WithField("step", step).WithField("name", name)
	if errors.Is(err, membership.ErrRetry) || errors.Is(err, membership.ErrNotLeader) || errors.Is(err, membership.ErrBudget) ||
		errors.Is(err, membership.ErrNotReady) || errors.Is(err, drainer.ErrRetry) || errors.Is(err, context.DeadlineExceeded) {
		entry.Debug("step failed and will be retried")
	} else {
		entry.Warn("step failed")
	}
	return nil
}
