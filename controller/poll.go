package controller

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// join registers this entry host, then reads the assignments and the objects. While the store is down, it restores the
// state of the peers instead. It is repeated until the registration is written.
func (c *Controller) join(ctx context.Context) func() {
	startedAt := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := c.registrar.Register(pollCtx)
	if err == nil {
		return c.loadState(pollCtx)
	}
	c.opts.Log.WithError(err).Warn("registration failed")
	if c.opts.Fleet.Ready() || ctx.Err() != nil {
		c.sleep(ctx, time.Second-time.Since(startedAt))
		return nil
	}
	states, err := c.peers.States(ctx)
	if err != nil {
		c.opts.Log.WithError(err).Warn("reading the state of peers failed")
		c.sleep(ctx, time.Second-time.Since(startedAt))
		return nil
	}
	return func() {
		for _, state := range states {
			if err := c.opts.Fleet.Restore(state); err != nil {
				c.opts.Log.WithError(err).Warn("restoring the state of a peer failed")
				continue
			}
			c.assignmentsCurrent = true
		}
	}
}

// sleep waits for d or until ctx ends. It spaces the attempts to join.
func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// loadState reads all assignments of the data centre and all objects. It must run after the registration was written.
func (c *Controller) loadState(ctx context.Context) func() {
	assignments, err := membership.Assignments(ctx, c.opts.Table, c.opts.Registration.DataCentre)
	if err != nil {
		c.opts.Log.WithError(err).Warn("reading the assignments failed")
		return nil
	}
	objects, version, err := ticket.LoadObjects(ctx, c.opts.Table)
	if err != nil {
		c.opts.Log.WithError(err).Warn("reading the objects failed")
		return nil
	}
	return func() {
		c.opts.Fleet.MergeAssignments(assignments)
		c.opts.Fleet.MergeObjects(objects, version)
		c.registered, c.assignmentsCurrent = true, true
	}
}

// pollHead reads the number of the latest ticket and then the missing tickets, or all objects if too many are missing.
func (c *Controller) pollHead(ctx context.Context) func() {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	version := c.opts.Fleet.Version()
	head, err := ticket.Head(ctx, c.opts.Table)
	if err != nil || head <= version {
		return nil
	}
	if head-version > maxTicketsPerRead {
		objects, version, err := ticket.LoadObjects(ctx, c.opts.Table)
		if err != nil {
			return nil
		}
		return func() { c.opts.Fleet.MergeObjects(objects, version) }
	}
	tickets, err := ticket.Load(ctx, c.opts.Table, version, maxTicketsPerRead)
	if err != nil {
		return nil
	}
	return func() { c.opts.Fleet.MergeTickets(tickets) }
}

// pollHosts reads the platform's host list and notifies peers of the leaving hosts that were not known before.
func (c *Controller) pollHosts(ctx context.Context) func() {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	states, err := c.opts.Hosts.Hosts(ctx, c.opts.Registration.DataCentre)
	if err != nil {
		return nil
	}
	return func() {
		known := c.opts.Fleet.View().Leaving
		var leaving []peer.Leaving
		for _, s := range states {
			if incarnation, ok := known[s.Name]; s.Leaving && (!ok || incarnation < s.Incarnation) {
				leaving = append(leaving, peer.Leaving{Host: s.Name, Incarnation: s.Incarnation, Reason: "platform"})
			}
		}
		c.opts.Fleet.SetHostStates(states)
		for _, l := range leaving {
			c.opts.Fleet.MarkLeaving(l.Host, l.Incarnation, l.Reason)
		}
		if len(leaving) > 0 {
			c.peers.NotifyLeaving(c.ctx, leaving)
		}
		byName := make(map[string]structs.HostState, len(states))
		for _, s := range states {
			byName[s.Name] = s
		}
		c.peers.DropDependents(func(reg structs.Registration) bool { return membership.Gone(reg, byName) })
	}
}

// pollAssignments reads the assignments and pushes to peers the unknown ones that took a host out of service.
func (c *Controller) pollAssignments(ctx context.Context) func() {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	assignments, err := membership.Assignments(ctx, c.opts.Table, c.opts.Registration.DataCentre)
	if err != nil {
		return nil
	}
	return func() {
		known := c.opts.Fleet.View().Assignments
		var newlyOut []structs.Assignment
		for _, a := range assignments {
			if old := known[a.Host]; a.Phase != structs.PhaseActive && (old == nil || old.Generation < a.Generation) {
				newlyOut = append(newlyOut, a)
			}
		}
		c.opts.Fleet.MergeAssignments(assignments)
		if len(newlyOut) > 0 {
			c.peers.PushAssignments(c.ctx, newlyOut)
		}
	}
}

// pollRegistrations updates the peers of the data centre. If the registration of this entry host was removed although
// the process runs, it stops serving until it has registered again and read the assignments.
func (c *Controller) pollRegistrations(ctx context.Context) func() {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	regs, err := membership.Registrations(ctx, c.opts.Table, c.opts.Registration.DataCentre)
	if err != nil {
		return nil
	}
	registered := false
	for _, reg := range regs {
		registered = registered || reg == c.opts.Registration
	}
	return func() {
		c.peers.SetRegistered(c.opts.Registration.DataCentre, regs)
		if !registered {
			c.opts.Log.Warn("the registration of this entry host was removed")
			c.registered, c.assignmentsCurrent = false, false
		}
	}
}

// pollAllRegistrations updates the peers of all data centres.
func (c *Controller) pollAllRegistrations(ctx context.Context) func() {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	regs, err := membership.AllRegistrations(ctx, c.opts.Table)
	if err != nil {
		return nil
	}
	return func() { c.peers.SetRegistered("", regs) }
}
