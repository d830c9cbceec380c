package controller

import (
	"context"

	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/structs"
)

var _ peer.Control = (*Controller)(nil)

// TicketAccepted merges a ticket that this entry host accepted into the view and pushes it to all known peers.
func (c *Controller) TicketAccepted(t structs.Ticket) {
	_ = c.post(c.ctx, func() {
		c.opts.Fleet.MergeTickets([]structs.Ticket{t})
		c.peers.PushTickets(c.ctx, []structs.Ticket{t})
	})
}

// AssignmentsWritten merges assignments that this process wrote as leader into the view and pushes them to the peers
// of the data centre.
func (c *Controller) AssignmentsWritten(assignments []structs.Assignment) {
	_ = c.post(c.ctx, func() {
		c.opts.Fleet.MergeAssignments(assignments)
		c.peers.PushAssignments(c.ctx, assignments)
	})
}

// MergeTickets implements peer.Control.
func (c *Controller) MergeTickets(ctx context.Context, tickets []structs.Ticket) error {
	return c.post(ctx, func() { c.opts.Fleet.MergeTickets(tickets) })
}

// MergeAssignments implements peer.Control. It ignores assignments until the view is ready, because the first merge must
// be a complete listing: otherwise a replica that lacks rows would become ready.
func (c *Controller) MergeAssignments(ctx context.Context, assignments []structs.Assignment) error {
	return c.post(ctx, func() {
		if c.opts.Fleet.Ready() {
			c.opts.Fleet.MergeAssignments(assignments)
		}
	})
}

// MarkLeaving implements peer.Control.
func (c *Controller) MarkLeaving(ctx context.Context, hosts []peer.Leaving) error {
	return c.post(ctx, func() {
		for _, h := range hosts {
			c.opts.Fleet.MarkLeaving(h.Host, h.Incarnation, h.Reason)
		}
	})
}

// Release implements peer.Control. It returns after the view without the host is published.
func (c *Controller) Release(ctx context.Context, host string, generation uint64) error {
	published := make(chan struct{})
	err := c.post(ctx, func() {
		c.opts.Fleet.Release(host, generation)
		close(published)
	})
	if err != nil {
		return err
	}
	select {
	case <-published:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrStopped
	}
}

// PeerVersion implements peer.Control. It pulls the missing tickets from a peer with a higher version. Reports come with
// each heartbeat, so a report is dropped while another one is queued.
func (c *Controller) PeerVersion(p peer.Identity, version uint64) {
	if version <= c.opts.Fleet.Version() || !c.versionEventQueued.CompareAndSwap(false, true) {
		return
	}
	event := func() {
		c.versionEventQueued.Store(false)
		if version > c.opts.Fleet.Version() && c.opts.Fleet.Ready() {
			c.startBackground("pull", func(ctx context.Context) func() { return c.pullTickets(ctx, p) })
		}
	}
	select {
	case c.events <- event:
	default:
		c.versionEventQueued.Store(false)
	}
}

// pullTickets reads the missing tickets from a peer, or from the table if the peer no longer has them.
func (c *Controller) pullTickets(ctx context.Context, from peer.Identity) func() {
	after := c.opts.Fleet.Version()
	tickets, err := c.peers.Pull(ctx, from, after)
	if err != nil {
		return nil
	}
	if len(tickets) == 0 || tickets[0].Number != after+1 {
		// The peer no longer has the first missing ticket.
		return func() { c.startBackground("head", c.pollHead) }
	}
	return func() { c.opts.Fleet.MergeTickets(tickets) }
}
