package session

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Event is what a session tells its owner; one of the types below. Times are on the clock of Options.Now.
type Event interface{ executor() string }

// Reported carries a report, without the ended runs that an earlier event carried.
type Reported struct {
	Executor string
	Report   workload.Report
	// SentAt is when the request for the report was sent.
	SentAt time.Duration
	// At is when the report arrived.
	At time.Duration
	// Restarted is set if the report comes from another incarnation than the previous one.
	Restarted bool
	// LastEnd is the number to pass to Acknowledge when all ended runs are stored durably.
	LastEnd int64
}

// ReportedLate carries the ended runs of a response that came after its time-out, without those that an earlier event carried.
type ReportedLate struct {
	Executor string
	// BornUnixMS identifies the incarnation of the executor.
	BornUnixMS int64
	Ended      []workload.EndedTask
	// LastEnd is as in Reported.
	LastEnd int64
}

// ContactLost means that the executor is not in contact any more: it does not respond, has refused a hold, or may not be
// called without confirmed ownership.
type ContactLost struct {
	Executor string
	At       time.Duration
	Reason   string
	// Refused is set if the address of the executor refuses connections, so that its process has ended.
	Refused bool
}

// LeasesExpired means that all leases on an executor that does not respond have expired, also by its own clock. It is
// repeated until the executor responds. A start that is sent later extends the leases again; Session.LeasesExpired tells.
type LeasesExpired struct {
	Executor string
	At       time.Duration
}

// Started is the outcome of a start order.
type Started struct {
	Executor string
	Task     workload.TaskID
	Run      int
	Result   Result
	At       time.Duration
	// Took is the time from the order to its outcome.
	Took time.Duration
	// Attempts is the number of attempts, Unanswered that of those without a response, which may have been carried out.
	Attempts, Unanswered int
}

// Stopped is the outcome of a stop order.
type Stopped struct {
	Executor string
	Task     workload.TaskID
	Run      int
	Result   Result
	At       time.Duration
}

// Superseded means that the executor has accepted a newer owner and rejects the orders of this one.
type Superseded struct{ Executor string }

func (e Reported) executor() string { return e.Executor }

func (e ReportedLate) executor() string { return e.Executor }

func (e ContactLost) executor() string { return e.Executor }

func (e LeasesExpired) executor() string { return e.Executor }

func (e Started) executor() string { return e.Executor }

func (e Stopped) executor() string { return e.Executor }

func (e Superseded) executor() string { return e.Executor }
