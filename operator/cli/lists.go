package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/structs"
)

// statusPollInterval is the time between two calls of ticket status --wait. It is half of the heartbeat interval of entry hosts
// (peer.LocalInterval), which bounds how fast their reported versions change.
const statusPollInterval = 250 * time.Millisecond

// table is output for people, with aligned columns.
type table struct {
	header []string
	rows   [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// printTable prints a table. Empty cells become a dash.
func (c *command) printTable(t table) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			// Line breaks and tabs in a reason would break the columns.
			cells[i] = strings.Join(strings.Fields(fmt.Sprint(cell)), " ")
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func (c *command) printJSON(v any) error {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// print writes a response in the selected output format: the table, or the message as JSON with the field names of the protobuf
// definition.
func (c *command) print(m proto.Message, t table) error {
	if c.args.Output == "table" {
		return c.printTable(t)
	}
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	return c.printJSON(json.RawMessage(encoded))
}

// timestamp formats a time in milliseconds since the Unix epoch; 0 means that it is not known and gives an empty string.
func timestamp(unixMS int64) string {
	if unixMS == 0 {
		return ""
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// decodeTicket returns the ticket of a message. It is used for JSON output because it holds the specs as JSON, while protojson
// would encode them in base64.
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

func (c *command) listTickets(ctx context.Context, limit uint32) error {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListTicketsResponse], error) {
		return s.ListTickets(ctx, connect.NewRequest(&fleetv1.ListTicketsRequest{Limit: limit}))
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"NUMBER", "ACCEPTED", "AUTHOR", "OBJECTS", "TITLE"}}
	decoded := []structs.Ticket{}
	for _, v := range list.GetTickets() {
		decoded = append(decoded, decodeTicket(v))
		t.add(v.GetNumber(), timestamp(v.GetAcceptedUnixMs()), v.GetAuthor(), len(v.GetObjects()), v.GetTitle())
	}
	if c.args.Output == "json" {
		return c.printJSON(decoded)
	}
	return c.printTable(t)
}

func (c *command) showTicket(ctx context.Context, number uint64) error {
	got, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.GetTicketResponse], error) {
		return s.GetTicket(ctx, connect.NewRequest(&fleetv1.GetTicketRequest{Number: number}))
	})
	if err != nil {
		return err
	}
	v := decodeTicket(got.GetTicket())
	if c.args.Output == "json" {
		return c.printJSON(v)
	}
	fmt.Fprintf(c.Stdout, "ticket %d: %s\nauthor %s, accepted %s, id %s\n", v.Number, v.Title, v.Author, timestamp(v.AcceptedUnixMS), v.ID)
	t := table{header: []string{"KIND", "NAME", "BASE", "SPEC"}}
	for _, o := range v.Objects {
		spec := string(o.Spec)
		if o.Delete {
			spec = "(deleted)"
		}
		t.add(o.Kind, o.Name, o.Base, spec)
	}
	return c.printTable(t)
}

// ticketStatus prints on which entry hosts a ticket is in effect. With a wait it polls until that is so on all reachable ones or
// the wait is over. It prints the last status in both cases and returns an error in the second one.
func (c *command) ticketStatus(ctx context.Context, number uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		status, err := c.fetchStatus(ctx, number)
		if err != nil {
			return err
		}
		behind := countBehind(status)
		if wait == 0 || behind == 0 || !time.Now().Before(deadline) {
			return c.printStatus(status, number, wait, behind)
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *command) fetchStatus(ctx context.Context, number uint64) (*fleetv1.TicketStatusResponse, error) {
	return callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.TicketStatusResponse], error) {
		return s.TicketStatus(ctx, connect.NewRequest(&fleetv1.TicketStatusRequest{Number: number}))
	})
}

// countBehind counts the reachable entry hosts on which the ticket is not in effect.
func countBehind(status *fleetv1.TicketStatusResponse) int {
	behind := 0
	for _, v := range status.GetEntries() {
		if v.GetReachable() && !v.GetInForce() {
			behind++
		}
	}
	return behind
}

func (c *command) printStatus(status *fleetv1.TicketStatusResponse, number uint64, wait time.Duration, behind int) error {
	t := table{header: []string{"ENTRY", "DC", "VERSION", "IN-EFFECT", "SINCE", "REACHABLE"}}
	for _, v := range status.GetEntries() {
		t.add(v.GetEntry(), v.GetDataCentre(), v.GetVersion(), v.GetInForce(), timestamp(v.GetSinceUnixMs()), v.GetReachable())
	}
	if err := c.print(status, t); err != nil {
		return err
	}
	if wait > 0 && behind > 0 {
		return errors.Errorf("ticket %d is not in effect on %d reachable entry hosts after %s", number, behind, wait)
	}
	return nil
}

func (c *command) listPools(ctx context.Context, dataCentre string) error {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListPoolsResponse], error) {
		return s.ListPools(ctx, connect.NewRequest(&fleetv1.ListPoolsRequest{DataCentre: dataCentre}))
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"POOL", "DC", "SERVICE", "HOSTS", "USABLE", "BUDGET", "URGENT", "BATCH", "IN-PROGRESS"}}
	for _, v := range list.GetPools() {
		t.add(v.GetName(), v.GetDataCentre(), v.GetService(), v.GetHosts(), v.GetAvailable(), v.GetMaxUnavailable(),
			v.GetQueuedUrgent(), v.GetQueuedBatch(), v.GetInProgress())
	}
	return c.print(list, t)
}

func (c *command) listHosts(ctx context.Context, dataCentre, pool string) error {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListHostsResponse], error) {
		return s.ListHosts(ctx, connect.NewRequest(&fleetv1.ListHostsRequest{DataCentre: dataCentre, Pool: pool}))
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"HOST", "DC", "RACK", "HOME", "POOL", "PHASE", "GENERATION", "LIVE", "LEAVING", "IN-PROGRESS", "REASON"}}
	for _, v := range list.GetHosts() {
		t.add(v.GetName(), v.GetDataCentre(), v.GetRack(), v.GetHomePool(), v.GetPool(), v.GetPhase(), v.GetGeneration(),
			v.GetLive(), v.GetLeaving(), v.GetInProgress(), v.GetReason())
	}
	return c.print(list, t)
}

func (c *command) listWaves(ctx context.Context, dataCentre string) error {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListWavesResponse], error) {
		return s.ListWaves(ctx, connect.NewRequest(&fleetv1.ListWavesRequest{DataCentre: dataCentre}))
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"WAVE", "DC", "STATE", "DONE", "TOTAL", "CURRENT", "END", "REASON"}}
	for _, v := range list.GetWaves() {
		t.add(v.GetName(), v.GetDataCentre(), v.GetState(), v.GetDone(), v.GetTotal(), v.GetCurrent(),
			timestamp(v.GetForecastEndUnixMs()), v.GetReason())
	}
	return c.print(list, t)
}

func (c *command) listJobs(ctx context.Context, dataCentre string) error {
	list, err := callReadOnly(ctx, c.client, func(ctx context.Context, s api) (*connect.Response[fleetv1.ListJobsResponse], error) {
		return s.ListJobs(ctx, connect.NewRequest(&fleetv1.ListJobsRequest{DataCentre: dataCentre}))
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"JOB", "SERVICE", "TEAM", "STATE", "WORKER", "ATTEMPT", "SUBMITTED", "REASON"}}
	for _, v := range list.GetJobs() {
		t.add(v.GetId(), v.GetService(), v.GetTeam(), v.GetState(), v.GetWorker(), v.GetAttempt(),
			timestamp(v.GetSubmittedUnixMs()), v.GetReason())
	}
	return c.print(list, t)
}

// fetchExplanation asks one server after the other until one can explain the subject, because only the entry host that rejected
// a request knows why. If none can, it returns the last error that is not an answer with CodeUnavailable, or else the first one.
func (c *command) fetchExplanation(ctx context.Context, req *fleetv1.ExplainRequest) (*fleetv1.ExplainResponse, error) {
	var last error
	for _, s := range c.client.servers {
		single := &client{servers: []server{s}, timeout: c.client.timeout}
		response, err := callReadOnly(ctx, single, func(ctx context.Context, s api) (*connect.Response[fleetv1.ExplainResponse], error) {
			return s.Explain(ctx, connect.NewRequest(req))
		})
		if err == nil {
			return response, nil
		}
		if last == nil || !hasCode(err, connect.CodeUnavailable) {
			last = err
		}
	}
	return nil, last
}

// explain prints why a request was rejected, a host gets no work or a job waits.
func (c *command) explain(ctx context.Context, cmd *explainCmd) error {
	subjects := 0
	for _, v := range []string{cmd.Request, cmd.Host, cmd.Job} {
		if v != "" {
			subjects++
		}
	}
	if subjects != 1 {
		return inputErrorf("explain needs exactly one of --request, --host and --job")
	}
	response, err := c.fetchExplanation(ctx, &fleetv1.ExplainRequest{RequestId: cmd.Request, Host: cmd.Host, Job: cmd.Job})
	if err != nil {
		return err
	}
	if c.args.Output == "json" {
		return c.printJSON(response.GetLines())
	}
	for _, line := range response.GetLines() {
		fmt.Fprintln(c.Stdout, line)
	}
	return nil
}
