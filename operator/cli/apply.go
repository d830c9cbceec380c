package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// maxDefaultTitle bounds a default title, in bytes. It is below the limit of the server, which is 200.
const maxDefaultTitle = 120

// submission is what a command wants to change. The ticket is made from it once the current objects are read, since each of
// its changes names the state that it is based on.
type submission struct {
	title   string
	id      string
	dryRun  bool
	objects []structs.TicketObject
}

// result is the JSON output of commands that submit a ticket.
type result struct {
	// Number is 0 after a dry run, and if the objects are already as declared.
	Number uint64   `json:"number,omitempty"`
	ID     string   `json:"id,omitempty"`
	Diff   []string `json:"diff"`
}

// mustJSON encodes a spec and panics on an error.
func mustJSON(v any) json.RawMessage {
	encoded, err := json.Marshal(v)
	if err != nil {
		// The specs that this package makes are plain data, which can always be encoded.
		panic(err)
	}
	return encoded
}

// apply submits the declarations in files as one ticket. It reports the errors of all files, not only the first.
func (c *command) apply(ctx context.Context, cmd *applyCmd) error {
	sub := submission{title: cmd.Title, id: cmd.ID, dryRun: cmd.DryRun}
	var errs []error
	for _, file := range cmd.Files {
		data, err := c.readFile(file)
		if err != nil {
			return inputError{err}
		}
		objects, err := ticket.Decode(file, data)
		errs = append(errs, err)
		sub.objects = append(sub.objects, objects...)
	}
	if err := errors.Join(errs...); err != nil {
		return inputError{err}
	}
	if sub.title == "" {
		sub.title = defaultTitle(cmd.Files)
	}
	return c.submit(ctx, sub)
}

// readFile reads a file, or standard input if the name is a dash.
func (c *command) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(c.Stdin)
	}
	return os.ReadFile(name)
}

// defaultTitle makes a title from the file names. It depends on nothing else, because a call that is repeated under the same id
// must have the same title.
func defaultTitle(files []string) string {
	names := make([]string, len(files))
	for i, file := range files {
		names[i] = filepath.Base(file)
	}
	title := "apply " + strings.Join(names, " ")
	if len(title) > maxDefaultTitle {
		title = fmt.Sprintf("apply %d files", len(files))
	}
	return title
}

// submit submits what differs from the current objects as a ticket and prints the changes and its number. A dry run only prints
// the changes. If the submission has an id that was accepted before, submit prints the number of that ticket instead.
func (c *command) submit(ctx context.Context, sub submission) error {
	catalog, err := c.fetchCatalog(ctx)
	if err != nil {
		return c.preCommitError(sub, err)
	}
	if sub.id != "" {
		if found, err := c.printIfAccepted(ctx, sub); found || err != nil {
			return err
		}
	}
	changes := dropAbsentDeletions(catalog, catalog.Changes(sub.objects))
	if len(changes) == 0 {
		return c.printResult(result{ID: sub.id, Diff: []string{}}, "no changes")
	}
	t := &fleetv1.Ticket{Id: sub.id, Title: sub.title, Author: author()}
	if t.Id == "" {
		t.Id = c.NewID()
	}
	for _, o := range changes {
		t.Objects = append(t.Objects, &fleetv1.TicketObject{
			Kind: string(o.Kind), Name: o.Name, Base: o.Base, Delete: o.Delete, Spec: o.Spec,
		})
	}
	diff, err := c.fetchDiff(ctx, t)
	if err != nil {
		return c.preCommitError(sub, err)
	}
	if sub.dryRun {
		return c.printResult(result{Diff: diff}, "not submitted: dry run")
	}
	if c.args.Output == "table" {
		// The changes are printed before the ticket is sent, so that the operator has them if the result stays unknown.
		fmt.Fprintln(c.Stdout, strings.Join(diff, "\n"))
	}
	number, err := c.sendTicket(ctx, t, sub.id != "")
	if err != nil {
		return err
	}
	return c.printAccepted(result{Number: number, ID: t.Id, Diff: diff})
}

// preCommitError returns the error of a submission that failed before its ticket was sent. If the submission repeats an
// earlier one by its id, the result of that one is still unknown, and the error is an unknownError.
func (c *command) preCommitError(sub submission, err error) error {
	if sub.id == "" || sub.dryRun {
		return err
	}
	return unknownError{id: sub.id, err: err}
}

// author returns the name of the operator for servers that require no token; others take it from the token.
func author() string {
	for _, name := range []string{"TAMARACK_AUTHOR", "USER", "LOGNAME"} {
		if value := os.Getenv(name); value != "" {
			return value
		}
	}
	return "operator"
}

// fetchCatalog reads all declared objects.
func (c *command) fetchCatalog(ctx context.Context) (*ticket.Catalog, error) {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListObjectsResponse], error) {
		return s.ListObjects(ctx, connect.NewRequest(&fleetv1.ListObjectsRequest{}))
	})
	if err != nil {
		return nil, err
	}
	var objects []structs.Object
	for _, o := range list.GetObjects() {
		objects = append(objects, structs.Object{
			Kind: structs.Kind(o.GetKind()), Name: o.GetName(), Number: o.GetNumber(), Spec: o.GetSpec(),
		})
	}
	return ticket.NewCatalog(objects, list.GetVersion()), nil
}

// dropAbsentDeletions removes deletions of objects that do not exist, so that a repeated call changes nothing.
func dropAbsentDeletions(catalog *ticket.Catalog, objects []structs.TicketObject) []structs.TicketObject {
	return slices.DeleteFunc(objects, func(o structs.TicketObject) bool {
		_, exists := catalog.Object(o.Kind, o.Name)
		return o.Delete && !exists
	})
}

// printIfAccepted prints the number of the ticket that was accepted under the id of the submission. It reports whether
// there is one, and returns an error if that ticket has objects that the submission does not have.
func (c *command) printIfAccepted(ctx context.Context, sub submission) (bool, error) {
	got, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.GetTicketResponse], error) {
		return s.GetTicket(ctx, connect.NewRequest(&fleetv1.GetTicketRequest{Id: sub.id}))
	})
	if hasCode(err, connect.CodeNotFound) {
		return false, nil
	}
	if err != nil {
		return false, c.preCommitError(sub, err)
	}
	for _, o := range got.GetTicket().GetObjects() {
		same := func(d structs.TicketObject) bool {
			return string(d.Kind) == o.GetKind() && d.Name == o.GetName() && d.Delete == o.GetDelete() && bytes.Equal(d.Spec, o.GetSpec())
		}
		if !slices.ContainsFunc(sub.objects, same) {
			return true, inputErrorf("id %s belongs to ticket %d (%q), which has other content for %s/%s",
				sub.id, got.GetTicket().GetNumber(), got.GetTicket().GetTitle(), o.GetKind(), o.GetName())
		}
	}
	return true, c.printAccepted(result{Number: got.GetTicket().GetNumber(), ID: sub.id, Diff: []string{}})
}

// fetchDiff returns the changes that a ticket would make. The server also validates it.
func (c *command) fetchDiff(ctx context.Context, t *fleetv1.Ticket) ([]string, error) {
	response, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.SubmitTicketResponse], error) {
		return s.SubmitTicket(ctx, connect.NewRequest(&fleetv1.SubmitTicketRequest{Ticket: t, DryRun: true}))
	})
	return response.GetDiff(), err
}

// sendTicket submits the ticket to the servers in order and returns its number. A call whose result is unknown is repeated on
// the next server under the same id, which cannot be accepted twice. The result of an earlier call may be unknown from the
// start. Once a result was unknown, only a number or a conflict settles it.
func (c *command) sendTicket(ctx context.Context, t *fleetv1.Ticket, unknown bool) (uint64, error) {
	var errs []error
	for _, s := range c.client.servers {
		attempt, cancel := context.WithTimeout(ctx, c.client.timeout)
		response, err := s.api.SubmitTicket(attempt, connect.NewRequest(&fleetv1.SubmitTicketRequest{Ticket: t}))
		cancel()
		if err == nil {
			return response.Msg.GetNumber(), nil
		}
		errs = append(errs, errors.Wrap(err, s.url))
		if hasCode(err, connect.CodeAborted) {
			return 0, err
		}
		if isRejection(err) && !unknown {
			return 0, err
		}
		unknown = unknown || !neverSent(err) && !isRejection(err) && !hasCode(err, connect.CodeUnavailable)
	}
	err := errors.Join(errs...)
	if unknown {
		return 0, unknownError{id: t.GetId(), err: err}
	}
	return 0, err
}

// isRejection reports whether a server certainly did not accept the ticket, for a reason for which the other servers would
// reject it too.
func isRejection(err error) bool {
	for _, code := range []connect.Code{
		connect.CodeInvalidArgument, connect.CodeAlreadyExists, connect.CodeUnauthenticated,
		connect.CodePermissionDenied, connect.CodeUnimplemented, connect.CodeResourceExhausted,
	} {
		if hasCode(err, code) {
			return true
		}
	}
	return false
}

// printResult prints the changes, followed by a note in the table form.
func (c *command) printResult(r result, note string) error {
	if c.args.Output == "json" {
		return c.printJSON(r)
	}
	for _, line := range append(r.Diff, note) {
		fmt.Fprintln(c.Stdout, line)
	}
	return nil
}

// printAccepted prints the number of an accepted ticket. The table form leaves out the changes, which submit prints earlier.
func (c *command) printAccepted(r result) error {
	if c.args.Output == "json" {
		return c.printJSON(r)
	}
	_, err := fmt.Fprintf(c.Stdout, "accepted as ticket %d\n", r.Number)
	return err
}
