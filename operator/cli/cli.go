// Package cli implements the command tamarack, with which operators read the state of a fleet and submit change tickets
// through the operator API of the entry hosts. The subcommands waits and interference, which report on the logs of processes, and check,
// which checks a configuration, need no server.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Exit codes of Run.
const (
	ExitOK = 0
	// ExitRejected means that the request was rejected or could not be served; nothing was changed.
	ExitRejected = 1
	// ExitInput means that arguments or declarations are wrong; nothing was changed.
	ExitInput = 2
	// ExitUnknown means that a ticket may have been accepted; the same call with --id tells whether it was.
	ExitUnknown = 3
)

// Exit codes of the subcommand check. ExitOK means that it has no findings, and ExitInput that an input is unreadable.
const (
	// ExitFindings means that the configuration has errors.
	ExitFindings = 1
	// ExitWarnings means that the configuration has warnings and no errors.
	ExitWarnings = 3
)

// args are the arguments of the command. Nil subcommands were not given.
type args struct {
	Apply        *applyCmd        `arg:"subcommand:apply" help:"submit declarations as one change ticket"`
	Ticket       *ticketCmd       `arg:"subcommand:ticket" help:"accepted change tickets"`
	Pool         *poolCmd         `arg:"subcommand:pool" help:"pools with their budgets and load"`
	Host         *hostCmd         `arg:"subcommand:host" help:"hosts with their assignments"`
	Wave         *waveCmd         `arg:"subcommand:wave" help:"maintenance waves"`
	Job          *jobCmd          `arg:"subcommand:job" help:"long jobs"`
	Drain        *drainCmd        `arg:"subcommand:drain" help:"take a host out of service by a change ticket"`
	Explain      *explainCmd      `arg:"subcommand:explain" help:"why a request was rejected, a host gets no work, or a job waits"`
	Waits        *waitsCmd        `arg:"subcommand:waits" help:"what late and failed jobs waited for and what machines did, from logs"`
	Interference *interferenceCmd `arg:"subcommand:interference" help:"which images disturb which serving images, from logs"`
	Check        *checkCmd        `arg:"subcommand:check" help:"faults of a configuration of tamarack-node, and what differs from the one in effect"`

	Server    []string      `arg:"--server,separate,env:TAMARACK_SERVER" placeholder:"URL" help:"operator API of an entry host; repeat it to name several, which are tried in order"`
	TokenFile string        `arg:"--token-file,env:TAMARACK_TOKEN_FILE" placeholder:"FILE" help:"file with the bearer token"`
	CAFile    string        `arg:"--ca-file,env:TAMARACK_CA_FILE" placeholder:"FILE" help:"certificates that the servers are verified with"`
	Output    string        `arg:"--output" default:"table" help:"table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"limit for one call to one server"`
}

type applyCmd struct {
	DryRun bool     `arg:"--dry-run" help:"print the changes only"`
	Title  string   `arg:"--title" help:"title of the ticket; the file names by default"`
	ID     string   `arg:"--id" help:"id of an earlier submission whose result is unknown"`
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"declarations in YAML, - for standard input"`
}

type drainCmd struct {
	Host   string `arg:"positional,required"`
	Reason string `arg:"--reason" help:"shown to other operators"`
	Undo   bool   `arg:"--undo" help:"end the drain"`
	ID     string `arg:"--id" help:"id of an earlier submission whose result is unknown"`
}

type ticketCmd struct {
	List *struct {
		Limit uint32 `arg:"--limit" default:"50"`
	} `arg:"subcommand:list" help:"accepted tickets, newest first"`
	Show *struct {
		Number uint64 `arg:"positional,required"`
	} `arg:"subcommand:show" help:"one ticket with its objects"`
	Status *struct {
		Number uint64        `arg:"positional,required"`
		Wait   time.Duration `arg:"--wait" help:"wait until it is in effect on all reachable entry hosts; exit code 1 if it is not by then"`
	} `arg:"subcommand:status" help:"on which entry hosts a ticket is in effect"`
}

// dcFilter selects a data centre; empty selects all.
type dcFilter struct {
	DataCentre string `arg:"--dc" placeholder:"NAME" help:"only this data centre"`
}

type poolCmd struct {
	List *dcFilter `arg:"subcommand:list"`
}

type hostCmd struct {
	List *struct {
		dcFilter
		Pool string `arg:"--pool" placeholder:"NAME" help:"only hosts that are in this pool"`
	} `arg:"subcommand:list"`
}

type waveCmd struct {
	List *dcFilter `arg:"subcommand:list"`
}

type jobCmd struct {
	List *dcFilter `arg:"subcommand:list"`
}

type explainCmd struct {
	Request string `arg:"--request" placeholder:"ID"`
	Host    string `arg:"--host" placeholder:"NAME"`
	Job     string `arg:"--job" placeholder:"ID"`
}

func (args) Description() string {
	return "Controls a fleet through the operator API of its entry hosts.\n" +
		"Exit codes: 0 done, 1 rejected, 2 wrong input, 3 the result of a ticket is unknown.\n" +
		"Exit codes of check: 0 no findings, 1 errors, 2 wrong usage or unreadable input, 3 only warnings."
}

// Options configure Run. The zero value uses the process's standard streams.
type Options struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// NewID returns the id of a submission; nil means a random UUID.
	NewID func() string
}

// command is the state of one call of Run.
type command struct {
	Options
	args   args
	client *client
}

// inputError is an error in arguments, files or declarations. It leads to ExitInput.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }

func inputErrorf(format string, a ...any) error { return inputError{fmt.Errorf(format, a...)} }

// unknownError means that the ticket with the id may have been accepted. It leads to ExitUnknown.
type unknownError struct {
	id  string
	err error
}

func (e unknownError) Error() string {
	return fmt.Sprintf("the ticket may have been accepted: %v\nrepeat the same command with --id %s to learn the result", e.err, e.id)
}

// Run runs the command with the arguments after the program name and returns its exit code. Errors are printed to Stderr.
func Run(ctx context.Context, argv []string, opts Options) int {
	if opts.Stdin == nil {
		opts.Stdin = os.Stdin
	}
	if opts.Stdout == nil {
		opts.Stdout = os.Stdout
	}
	if opts.Stderr == nil {
		opts.Stderr = os.Stderr
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	c := &command{Options: opts}
	err := c.run(ctx, argv)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(opts.Stderr, "tamarack:", err)
	var input inputError
	var unknown unknownError
	var findings findingsError
	switch {
	case errors.As(err, &findings):
		return findings.exitCode()
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &input) || isInvalidArgument(err):
		return ExitInput
	}
	return ExitRejected
}

func (c *command) run(ctx context.Context, argv []string) error {
	parser, err := arg.NewParser(arg.Config{Program: "tamarack"}, &c.args)
	if err != nil {
		return err
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return parser.WriteHelpForSubcommand(c.Stdout, parser.SubcommandNames()...)
	case err != nil:
		return inputError{err}
	case parser.Subcommand() == nil:
		return inputErrorf("a command is missing; see --help")
	case c.args.Output != "table" && c.args.Output != "json":
		return inputErrorf("--output must be table or json")
	}
	if c.args.Waits != nil {
		return c.waits(c.args.Waits)
	}
	if c.args.Interference != nil {
		return c.interference(c.args.Interference)
	}
	if c.args.Check != nil {
		return c.check(c.args.Check)
	}
	if c.client, err = newClient(c.args); err != nil {
		return inputError{err}
	}
	return c.dispatch(ctx)
}

// dispatch runs the subcommand, which needs a server.
func (c *command) dispatch(ctx context.Context) error {
	a := &c.args
	switch {
	case a.Apply != nil:
		return c.apply(ctx, a.Apply)
	case a.Drain != nil:
		return c.drain(ctx, a.Drain)
	case a.Explain != nil:
		return c.explain(ctx, a.Explain)
	case a.Ticket != nil && a.Ticket.List != nil:
		return c.listTickets(ctx, a.Ticket.List.Limit)
	case a.Ticket != nil && a.Ticket.Show != nil:
		return c.showTicket(ctx, a.Ticket.Show.Number)
	case a.Ticket != nil && a.Ticket.Status != nil:
		return c.ticketStatus(ctx, a.Ticket.Status.Number, a.Ticket.Status.Wait)
	case a.Pool != nil && a.Pool.List != nil:
		return c.listPools(ctx, a.Pool.List.DataCentre)
	case a.Host != nil && a.Host.List != nil:
		return c.listHosts(ctx, a.Host.List.DataCentre, a.Host.List.Pool)
	case a.Wave != nil && a.Wave.List != nil:
		return c.listWaves(ctx, a.Wave.List.DataCentre)
	case a.Job != nil && a.Job.List != nil:
		return c.listJobs(ctx, a.Job.List.DataCentre)
	}
	return inputErrorf("a subcommand is missing; see --help")
}

// drain submits a ticket that declares or deletes the drain of a host.
func (c *command) drain(ctx context.Context, cmd *drainCmd) error {
	o := structs.TicketObject{Kind: structs.KindDrain, Name: cmd.Host, Delete: cmd.Undo}
	title := "drain " + cmd.Host
	if cmd.Undo {
		title = "end the drain of " + cmd.Host
	} else {
		o.Spec = mustJSON(structs.Drain{Name: cmd.Host, Reason: cmd.Reason})
	}
	if cmd.Reason != "" {
		title = strings.Join([]string{title, cmd.Reason}, ": ")
	}
	return c.submit(ctx, submission{title: title, id: cmd.ID, objects: []structs.TicketObject{o}})
}
