package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Metrics holds the metrics of the owner.
type Metrics struct {
	starts        *prometheus.CounterVec
	ends          *prometheus.CounterVec
	startTime     prometheus.Histogram
	commitTime    prometheus.Histogram
	commitRows    prometheus.Counter
	commitRetries prometheus.Counter
	reports       prometheus.Counter
	eventsWaiting prometheus.Gauge
	passes        prometheus.Counter
	backlog       prometheus.Gauge
	unplaced      prometheus.Gauge
	lag           prometheus.Gauge
	waits         *prometheus.CounterVec
	machineTime   *prometheus.CounterVec
	loadedJobs    *prometheus.CounterVec
	forecasts     *prometheus.CounterVec
	returns       *prometheus.CounterVec
	calledAhead   prometheus.Counter
	closures      prometheus.Gauge
	jobMemory     prometheus.Gauge
	// countedWaits holds the totals of the core that waits already includes.
	countedWaits map[scheduler.WaitCause]time.Duration
	interference *interferenceMetrics
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_task_starts_total", Help: "Start orders by result.",
		}, []string{"result"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_task_ends_total", Help: "Ends of runs that executors listed, by how they ended.",
		}, []string{"how"}),
		startTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_start_order_seconds", Help: "Time from a start order to its certain outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 3, 9),
		}),
		commitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_commit_seconds", Help: "Time until a transaction of the owner is durable.",
			Buckets: prometheus.ExponentialBuckets(0.002, 3, 8),
		}),
		commitRows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_commit_rows_total", Help: "Rows written by the owner.",
		}),
		commitRetries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_commit_retries_total", Help: "Transactions of the owner that had to be repeated.",
		}),
		reports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_executor_reports_total", Help: "Reports received from executors.",
		}),
		eventsWaiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_events_waiting", Help: "Events that wait for the control goroutine.",
		}),
		passes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_scheduling_passes_total", Help: "Scheduling passes over the waiting jobs.",
		}),
		backlog: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_backlog_core_seconds", Help: "Estimated work of ready tasks that wait for room.",
		}),
		unplaced: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_unplaced_long_running_tasks", Help: "Long-running tasks for which no executor was found.",
		}),
		lag: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_owner_lag_seconds", Help: "How long goroutines of the owner wait for their turn, with decay.",
		}),
		waits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_job_wait_seconds_total", Help: "Time that jobs had ready tasks that ran nowhere, by what they waited for.",
		}, []string{"cause"}),
		machineTime: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_machine_seconds_total", Help: "Time of machines by what they did.",
		}, []string{"state"}),
		loadedJobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_takeover_jobs_total",
			Help: "Unfinished jobs that a new owner loaded: inherited ones may have been started by a former owner, unstarted ones cannot.",
		}, []string{"origin"}),
		forecasts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_burst_forecasts_total", Help: "Forecasts of the next burst of a pool, by whether they were right. Those replayed after a takeover count.",
		}, []string{"result"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_standby_returns_total", Help: "Moves to standby that were planned, and those that were reversed within 5 s.",
		}, []string{"result"}),
		calledAhead: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_machines_called_ahead_total", Help: "Moves that were planned before the burst they are for began.",
		}),
		closures: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_closures", Help: "Queues, or queues for one organisation, that refuse jobs.",
		}),
		jobMemory: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_job_memory_bytes", Help: "Memory that the jobs which the owner knows take, as estimated from their steps and tasks.",
		}),
		countedWaits: make(map[scheduler.WaitCause]time.Duration),
		interference: newInterferenceMetrics(r),
	}
	r.MustRegister(m.starts, m.ends, m.startTime, m.commitTime, m.commitRows, m.commitRetries, m.reports, m.eventsWaiting, m.passes, m.backlog, m.unplaced, m.lag, m.waits, m.machineTime,
		m.loadedJobs, m.forecasts, m.returns, m.calledAhead, m.closures, m.jobMemory)
	return m
}

func (m *Metrics) observeStart(result string, took time.Duration) {
	m.starts.WithLabelValues(result).Inc()
	m.startTime.Observe(took.Seconds())
}

func (m *Metrics) countLoadedJobs(n map[jobOrigin]int) {
	for _, origin := range []jobOrigin{originInherited, originUnstarted} {
		m.loadedJobs.WithLabelValues(string(origin)).Add(float64(n[origin]))
	}
}

func (m *Metrics) countReport(r workload.Report) {
	m.reports.Inc()
	m.countEnds(r.Ended)
}

func (m *Metrics) countEnds(ended []workload.EndedTask) {
	for _, e := range ended {
		m.ends.WithLabelValues(string(e.Outcome)).Inc()
	}
}

// countRetries counts the attempts of a transaction after the first. If the ownership ended before the first attempt, tries
// is 0, and the counter must not decrease.
func (m *Metrics) countRetries(tries int) { m.commitRetries.Add(float64(max(tries-1, 0))) }

func (m *Metrics) observeCommit(rows int, took time.Duration) {
	m.commitRows.Add(float64(rows))
	m.commitTime.Observe(took.Seconds())
}

func (m *Metrics) observeCore(now time.Duration, core *scheduler.Core, waiting int, lag time.Duration) {
	m.eventsWaiting.Set(float64(waiting))
	m.lag.Set(lag.Seconds())
	m.jobMemory.Set(float64(core.JobMemory()))
	var sum int64
	unplaced := 0
	for _, d := range core.Demands(now) {
		sum += d.Waiting + d.Late + d.TooLate + d.Unplaceable
		unplaced += d.Unplaced
	}
	m.unplaced.Set(float64(unplaced))
	m.backlog.Set(float64(sum) / 1000)
	m.countWaits(core)
	m.interference.observe(core.Interference())
}

// countWaits adds the time that jobs have waited since the last call. The totals of the core restart at 0 with each term.
func (m *Metrics) countWaits(core *scheduler.Core) {
	for cause, total := range core.Waited() {
		if more := total - m.countedWaits[cause]; more > 0 {
			m.waits.WithLabelValues(string(cause)).Add(more.Seconds())
		}
		m.countedWaits[cause] = total
	}
}

// machines adds d to the time of each machine in its current state.
func (m *Metrics) machines(usage map[string]poolUsage, d time.Duration) {
	var sum poolUsage
	for _, u := range usage {
		sum.busy += u.busy
		sum.idle += u.idle
		sum.arriving += u.arriving
		sum.maintenance += u.maintenance
		sum.standby += u.standby
	}
	for state, n := range map[string]int{
		"busy": sum.busy, "idle": sum.idle, "coming": sum.arriving, "upkeep": sum.maintenance, "standby": sum.standby,
	} {
		m.machineTime.WithLabelValues(state).Add(float64(n) * d.Seconds())
	}
}
