// Package operator serves the operator API of an entry host: operators submit change tickets, list tickets, declared objects,
// hosts, pools, waves and jobs, and ask why a request was rejected, a host gets no work or a job waits. Tickets are read from
// and committed to the platform's table. Hosts and pools come from the replicated view of the entry host, which also serves
// tickets and objects while the table is unavailable.
package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

const (
	// maxRequestBytes bounds the size of a request. The largest ticket has 40 specs of 16 KiB.
	maxRequestBytes = 2 << 20
	// defaultTicketLimit is how many tickets ListTickets returns if the request sets no limit; maxTicketLimit is the most.
	defaultTicketLimit = 50
	maxTicketLimit     = 500
	// maxCatchUpTickets is how many tickets the view may lack to be completed from them; beyond it all objects are read.
	maxCatchUpTickets = 1000
)

// Options configure a Server. Entries, Loads, Waves, Jobs and Explain are optional sources. Without Loads all loads are 0,
// and without Explain hosts are explained from the view alone; other calls whose source is nil fail with CodeUnavailable.
type Options struct {
	// Fleet and Table are required.
	Fleet Fleet
	Table ticket.Table
	// Accepted, if set, is called with each ticket that was accepted through this server, so that it can be merged into the
	// view and pushed to peers. It must not block.
	Accepted func(structs.Ticket)
	Entries  Entries
	Loads    Loads
	Waves    Waves
	Jobs     Jobs
	Explain  Explainer
	// Tokens maps bearer tokens to operator names. If it is empty, no token is required and the author of a ticket is taken
	// from the request.
	Tokens map[string]string
	// Log receives a line for each submission except dry runs; nil discards them.
	Log log.Interface
	// Registerer registers the metrics of the server; nil registers none.
	Registerer prometheus.Registerer
}

// Server implements the operator service.
type Server struct {
	opts        Options
	credentials []credential
}

var _ fleetv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a server with the given options.
func NewServer(opts Options) *Server {
	if opts.Log == nil {
		opts.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	return &Server{opts: opts, credentials: newCredentials(opts.Tokens)}
}

// Handler returns the handler of the operator API and the path prefix to mount it at. It registers the metrics and must be
// called only once.
func (s *Server) Handler() (string, http.Handler, error) {
	telemetry, err := newTelemetryInterceptor(s.opts.Registerer)
	if err != nil {
		return "", nil, errors.Wrap(err, "register metrics of the operator API")
	}
	prefix, handler := fleetv1connect.NewOperatorServiceHandler(s,
		connect.WithInterceptors(telemetry, newAuthInterceptor(s.credentials)),
		connect.WithReadMaxBytes(maxRequestBytes))
	return prefix, handler, nil
}

// noSourceError returns the error of a call whose source is not set in the options.
func noSourceError(source string) error {
	return connect.NewError(connect.CodeUnavailable, errors.Errorf("this entry host has no source of %s", source))
}

// rpcError gives an error of package ticket its Connect code.
func rpcError(err error) error {
	var conflict *ticket.ConflictError
	var unknown *ticket.UnknownError
	code := connect.CodeInternal
	switch {
	case errors.As(err, &conflict):
		code = connect.CodeAborted
	case errors.As(err, &unknown):
		code = connect.CodeUnknown
	case ticket.IsInvalid(err):
		code = connect.CodeInvalidArgument
	case errors.Is(err, ticket.ErrIDReused):
		code = connect.CodeAlreadyExists
	case errors.Is(err, ticket.ErrNotFound):
		code = connect.CodeNotFound
	case errors.Is(err, ticket.ErrUnavailable):
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, err)
}

// catalogAt returns the declared objects with the effect of at least all tickets up to head, the number of the last accepted
// ticket. It completes the objects of the view with the tickets that they lack.
func (s *Server) catalogAt(ctx context.Context, head uint64) (*ticket.Catalog, error) {
	objects, version := s.opts.Fleet.Objects("")
	if version+maxCatchUpTickets < head {
		var err error
		if objects, version, err = ticket.LoadObjects(ctx, s.opts.Table); err != nil {
			return nil, err
		}
	}
	c := ticket.NewCatalog(objects, version)
	if version >= head {
		return c, nil
	}
	tickets, err := ticket.Load(ctx, s.opts.Table, version, int(head-version))
	if err != nil {
		return nil, err
	}
	for _, t := range tickets {
		c.Apply(t)
	}
	if c.Version() < head {
		return nil, errors.Wrapf(ticket.ErrCorrupt, "tickets after %d are missing, although %d is the last accepted ticket", c.Version(), head)
	}
	return c, nil
}

// currentCatalog returns the declared objects as of the table's head, or those of the view if the table cannot be read.
func (s *Server) currentCatalog(ctx context.Context) (*ticket.Catalog, error) {
	head, err := ticket.Head(ctx, s.opts.Table)
	if err == nil {
		var c *ticket.Catalog
		if c, err = s.catalogAt(ctx, head); err == nil {
			return c, nil
		}
	}
	if !s.opts.Fleet.Ready() {
		return nil, err
	}
	objects, version := s.opts.Fleet.Objects("")
	return ticket.NewCatalog(objects, version), nil
}

// validateAt validates a ticket against the objects at a head. It is the Check of ticket.Submitter.
func (s *Server) validateAt(ctx context.Context, head uint64, t structs.Ticket) error {
	c, err := s.catalogAt(ctx, head)
	if err != nil {
		return err
	}
	return ticket.Validate(c, t)
}

// SubmitTicket implements the operator service.
func (s *Server) SubmitTicket(
	ctx context.Context, req *connect.Request[fleetv1.SubmitTicketRequest],
) (*connect.Response[fleetv1.SubmitTicketResponse], error) {
	t := decodeTicket(req.Msg.GetTicket())
	if name := operatorName(ctx); name != "" {
		t.Author = name
	}
	if req.Msg.GetDryRun() {
		return s.dryRun(ctx, t)
	}
	// The timeout ends the submission before callers with a longer one give up, so that they learn if the result is unknown.
	ctx, cancel := context.WithTimeout(ctx, ticket.DefaultTimeout)
	defer cancel()
	entry := s.opts.Log.WithFields(log.Fields{"id": t.ID, "author": t.Author, "title": t.Title})
	accepted, err := ticket.Submitter{Table: s.opts.Table, Check: s.validateAt}.Submit(ctx, t)
	if err != nil {
		entry.WithError(err).Warn("ticket submission failed")
		return nil, rpcError(err)
	}
	entry.WithField("number", accepted.Number).Info("ticket accepted")
	if s.opts.Accepted != nil {
		s.opts.Accepted(accepted)
	}
	return connect.NewResponse(&fleetv1.SubmitTicketResponse{Number: accepted.Number}), nil
}

// dryRun validates a ticket and returns the changes that it would make.
func (s *Server) dryRun(ctx context.Context, t structs.Ticket) (*connect.Response[fleetv1.SubmitTicketResponse], error) {
	c, err := s.currentCatalog(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	if err := ticket.Validate(c, t); err != nil {
		return nil, rpcError(err)
	}
	for i, o := range t.Objects {
		if t.Objects[i], err = ticket.Normalize(o); err != nil {
			return nil, rpcError(err)
		}
	}
	return connect.NewResponse(&fleetv1.SubmitTicketResponse{Diff: c.Diff(t.Objects)}), nil
}

// ListTickets implements the operator service. The newest ticket comes first.
func (s *Server) ListTickets(
	ctx context.Context, req *connect.Request[fleetv1.ListTicketsRequest],
) (*connect.Response[fleetv1.ListTicketsResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultTicketLimit
	}
	limit = min(limit, maxTicketLimit)
	tickets, err := s.lastTickets(ctx, limit)
	if err != nil {
		return nil, rpcError(err)
	}
	response := &fleetv1.ListTicketsResponse{}
	for i := len(tickets) - 1; i >= 0; i-- {
		response.Tickets = append(response.Tickets, encodeTicket(tickets[i]))
	}
	return connect.NewResponse(response), nil
}

// lastTickets returns the last accepted tickets in ascending order, at most limit. If the table cannot be read, they are the
// recent ones of the view.
func (s *Server) lastTickets(ctx context.Context, limit int) ([]structs.Ticket, error) {
	head, err := ticket.Head(ctx, s.opts.Table)
	if err == nil {
		var tickets []structs.Ticket
		if tickets, err = ticket.Load(ctx, s.opts.Table, head-min(head, uint64(limit)), limit); err == nil {
			return tickets, nil
		}
	}
	if !s.opts.Fleet.Ready() {
		return nil, err
	}
	version := s.opts.Fleet.View().Version
	return s.opts.Fleet.Tickets(version-min(version, uint64(limit)), limit), nil
}

// GetTicket implements the operator service. A request without a number selects the ticket by its submission id.
func (s *Server) GetTicket(
	ctx context.Context, req *connect.Request[fleetv1.GetTicketRequest],
) (*connect.Response[fleetv1.GetTicketResponse], error) {
	number := req.Msg.GetNumber()
	if number == 0 {
		var err error
		if number, err = ticket.Find(ctx, s.opts.Table, req.Msg.GetId()); err != nil {
			return nil, rpcError(err)
		}
	}
	if recent := s.opts.Fleet.Tickets(number-1, 1); len(recent) == 1 && recent[0].Number == number {
		return connect.NewResponse(&fleetv1.GetTicketResponse{Ticket: encodeTicket(recent[0])}), nil
	}
	t, err := ticket.Get(ctx, s.opts.Table, number)
	if err != nil {
		return nil, rpcError(errors.Wrapf(err, "ticket %d", number))
	}
	return connect.NewResponse(&fleetv1.GetTicketResponse{Ticket: encodeTicket(t)}), nil
}

// TicketStatus implements the operator service. It reports for each entry host whether a ticket is in effect there.
func (s *Server) TicketStatus(
	_ context.Context, req *connect.Request[fleetv1.TicketStatusRequest],
) (*connect.Response[fleetv1.TicketStatusResponse], error) {
	if s.opts.Entries == nil {
		return nil, noSourceError("heartbeats")
	}
	number := req.Msg.GetNumber()
	response := &fleetv1.TicketStatusResponse{}
	for _, e := range s.opts.Entries.EntryStatus(number) {
		status := &fleetv1.EntryStatus{
			Entry: e.Entry, DataCentre: e.DataCentre, Version: e.Version, Reachable: e.Reachable,
			InForce: e.Version >= number,
		}
		if !e.Since.IsZero() {
			status.SinceUnixMs = e.Since.UnixMilli()
		}
		response.Entries = append(response.Entries, status)
	}
	return connect.NewResponse(response), nil
}

// ListObjects implements the operator service. An empty kind selects all objects.
func (s *Server) ListObjects(
	ctx context.Context, req *connect.Request[fleetv1.ListObjectsRequest],
) (*connect.Response[fleetv1.ListObjectsResponse], error) {
	c, err := s.currentCatalog(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	response := &fleetv1.ListObjectsResponse{Version: c.Version()}
	for _, o := range c.Objects(structs.Kind(req.Msg.GetKind())) {
		response.Objects = append(response.Objects, &fleetv1.ObjectInfo{
			Kind: string(o.Kind), Name: o.Name, Number: o.Number, Spec: o.Spec,
		})
	}
	return connect.NewResponse(response), nil
}

// decodeTicket returns the ticket of a message.
func decodeTicket(t *fleetv1.Ticket) structs.Ticket {
	decoded := structs.Ticket{
		Number: t.GetNumber(), ID: t.GetId(), Title: t.GetTitle(), Author: t.GetAuthor(),
		AcceptedUnixMS: t.GetAcceptedUnixMs(),
	}
	for _, o := range t.GetObjects() {
		decoded.Objects = append(decoded.Objects, structs.TicketObject{
			Kind: structs.Kind(o.GetKind()), Name: o.GetName(), Base: o.GetBase(), Delete: o.GetDelete(), Spec: o.GetSpec(),
		})
	}
	return decoded
}

// encodeTicket returns the message of a ticket.
func encodeTicket(t structs.Ticket) *fleetv1.Ticket {
	encoded := &fleetv1.Ticket{
		Number: t.Number, Id: t.ID, Title: t.Title, Author: t.Author, AcceptedUnixMs: t.AcceptedUnixMS,
	}
	for _, o := range t.Objects {
		encoded.Objects = append(encoded.Objects, &fleetv1.TicketObject{
			Kind: string(o.Kind), Name: o.Name, Base: o.Base, Delete: o.Delete, Spec: o.Spec,
		})
	}
	return encoded
}
