package localfleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/security"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// RunTamarack runs the operator command `tamarack` with the running entry hosts as its servers. It returns the output
// and the exit code of the command. An error means that the command did not run at all.
func (f *Fleet) RunTamarack(ctx context.Context, args ...string) (stdout, stderr string, code int, err error) {
	var commandArgs []string
	for _, e := range f.Entries {
		if e.Running() {
			commandArgs = append(commandArgs, "--server", "https://"+e.OperatorAddress)
		}
	}
	commandArgs = append(commandArgs, "--ca-file", f.certs.CA, "--token-file", f.filePath("operator.token"))
	var out, errOut bytes.Buffer
	cmd := exec.CommandContext(ctx, f.programPath("tamarack"), append(commandArgs, args...)...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err = cmd.Run()
	if cmd.ProcessState == nil {
		return out.String(), errOut.String(), -1, err
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode(), nil
}

// Declarations returns the declarations of all objects of the fleet as one YAML file.
func (f *Fleet) Declarations() string { return strings.Join(f.DeclarationDocuments(), "") }

// DeclarationDocuments returns the declarations of the fleet as one YAML document for each object. Each refers only to
// earlier ones, so that they can be submitted in several tickets.
func (f *Fleet) DeclarationDocuments() []string {
	var docs []string
	add := func(kind structs.Kind, name, format string, args ...any) {
		docs = append(docs, fmt.Sprintf("---\nkind: %s\nname: %s\nspec: {%s}\n", kind, name, fmt.Sprintf(format, args...)))
	}
	for _, s := range f.opts.Services {
		add(structs.KindService, s, "cross_dc: true, declared_run_time_ms: 20")
	}
	for _, dc := range f.opts.DataCentres {
		for _, s := range f.opts.Services {
			add(structs.KindPool, dc+"-"+s, "data_centre: %s, service: %s, min_hosts: 1, max_unavailable: %d", dc, s, f.opts.MaxUnavailable)
		}
		if f.opts.SparePerDC > 0 {
			add(structs.KindPool, dc+"-spare", "data_centre: %s, spare: true, min_hosts: 0, max_unavailable: %d", dc, f.opts.SparePerDC)
		}
	}
	const size = "slots: 8, connections: 64, cores: 16, memory_mb: 32768"
	for _, t := range f.Targets {
		add(structs.KindHost, t.Host, `data_centre: %s, rack: %s, address: "%s", %s, pool: %s`, t.DataCentre, t.Rack, t.WorkAddress, size, t.Pool)
	}
	for d, dc := range f.opts.DataCentres {
		for i := range f.opts.VirtualPerDC {
			pool := dc + "-" + f.opts.Services[i%len(f.opts.Services)]
			// No process listens at these addresses. 127.1.0.0/16 is loopback, so nothing leaves the machine.
			address := fmt.Sprintf("127.1.%d.%d:%d", d, i%250+1, 9000+i/250)
			add(structs.KindHost, virtualHostName(dc, i), `data_centre: %s, rack: %s-r%d, address: "%s", %s, pool: %s`,
				dc, dc, i/hostsPerRack, address, size, pool)
		}
	}
	for i := range f.opts.Teams {
		add(structs.KindTeam, fmt.Sprintf("team-%d", i+1), "max_concurrent: 100")
	}
	return docs
}

// WriteDeclarations writes the declarations to a file in the fleet's directory and returns its path. The operator
// command submits a file as one ticket, so the fleet must have at most ticket.MaxObjects objects.
func (f *Fleet) WriteDeclarations() (string, error) {
	return f.WriteFile("fleet.yaml", f.Declarations())
}

// SubmitDeclarations submits the declarations in as many tickets as they need, and returns the number of the last
// ticket.
func (f *Fleet) SubmitDeclarations(ctx context.Context) (uint64, error) {
	client, err := f.OperatorClient()
	if err != nil {
		return 0, err
	}
	var last uint64
	for docs := range slices.Chunk(f.DeclarationDocuments(), ticket.MaxObjects) {
		objects, err := ticket.Decode("fleet.yaml", []byte(strings.Join(docs, "")))
		if err != nil {
			return 0, err
		}
		if last, err = Submit(ctx, client, "declare the fleet", objects...); err != nil {
			return 0, err
		}
	}
	return last, nil
}

// Submit submits a ticket with the objects and returns its number.
func Submit(ctx context.Context, client fleetv1connect.OperatorServiceClient, title string, objects ...structs.TicketObject) (uint64, error) {
	t := &fleetv1.Ticket{Id: uuid.NewString(), Title: title, Author: operatorName}
	for _, o := range objects {
		t.Objects = append(t.Objects, &fleetv1.TicketObject{
			Kind: string(o.Kind), Name: o.Name, Base: o.Base, Delete: o.Delete, Spec: o.Spec,
		})
	}
	resp, err := client.SubmitTicket(ctx, connect.NewRequest(&fleetv1.SubmitTicketRequest{Ticket: t}))
	if err != nil {
		return 0, errors.Wrap(ErrRequestFailed, err.Error())
	}
	return resp.Msg.Number, nil
}

// OperatorHTTPClient returns an HTTP client that trusts the fleet's certificate authority, and the operator's bearer
// token.
func (f *Fleet) OperatorHTTPClient() (*http.Client, string, error) {
	config, err := security.ClientTLS(f.certs.CA)
	if err != nil {
		return nil, "", err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, OperatorToken, nil
}

// OperatorClient returns a client of the operator API that calls the first running entry host.
func (f *Fleet) OperatorClient() (fleetv1connect.OperatorServiceClient, error) {
	h, token, err := f.OperatorHTTPClient()
	if err != nil {
		return nil, err
	}
	for _, e := range f.Entries {
		if e.Running() {
			return fleetv1connect.NewOperatorServiceClient(h, "https://"+e.OperatorAddress, connect.WithInterceptors(bearerAuth(token))), nil
		}
	}
	return nil, errors.Wrap(ErrRequestFailed, "no entry host is running")
}

// bearerAuth returns an interceptor that adds the bearer token to each call.
func bearerAuth(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	})
}

// WriteFile writes a file to the fleet's directory and returns its path.
func (f *Fleet) WriteFile(name, content string) (string, error) {
	return f.filePath(name), f.writeFile(name, content)
}
