package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// maxResponseBytes is the largest part of a response body that is read.
	maxResponseBytes = 8 << 20
	// responseGrace is how long after the deadline of a request its response is still awaited.
	responseGrace = 2 * time.Second
	// maxAttempts bounds the attempts of one request, which is retried after broken connections and after rejections
	// that report that it was not run.
	maxAttempts = 6
	// entryDownTime is how long an entry receives no requests after a connection to it failed. It stands in for the
	// health checks of a load balancer.
	entryDownTime = time.Second
	// codeNotConnected is the code of an attempt that reached no entry host.
	codeNotConnected = "not_connected"
	// defaultRetryDelay is the delay before a retry if the response has no Retry-After header.
	defaultRetryDelay = 100 * time.Millisecond
)

// Options configure a Runner.
type Options struct {
	// Entries are the base URLs of the caller APIs. Requests go to them in turn, as a load balancer sends them.
	Entries []string
	// Token is the credential of the caller. If it is empty, no credential is sent.
	Token string
	// Repeat enables retries of requests that were rejected or whose connection broke, where a retry is safe.
	Repeat bool
	// Progress is called once a second with the number of finished requests; nil means no progress.
	Progress func(finished, total int)
	// Transport sends all requests; nil means a new http.Transport.
	Transport http.RoundTripper
}

// Record is the final outcome of one request, stored as one JSON line.
type Record struct {
	// ID is the idempotency key of a keyed request. The target returns it and records it with the execution.
	ID      string          `json:"id"`
	Arrival Arrival         `json:"arrival"`
	Outcome structs.Outcome `json:"outcome"`
	// Status is the HTTP status of the last attempt: 503 if no entry host was reached, 0 if the connection broke before
	// a complete response was read.
	Status int `json:"status"`
	// Code is the error code of the last response, or the reason why there was none.
	Code     string `json:"code,omitempty"`
	Attempts int    `json:"attempts"`
	// Latency is the time from the first attempt to the final outcome, delays before retries included.
	Latency  time.Duration    `json:"latency"`
	Priority structs.Priority `json:"priority"`
	// Foreign is set if a complete response belonged to another request.
	Foreign bool `json:"foreign,omitempty"`
	// MissingRetryAfter is set if a rejection with status 429 or 503 had no Retry-After header with a number of seconds.
	MissingRetryAfter bool `json:"missing_retry_after,omitempty"`
	// Keyless is set if the request is not idempotent and has no idempotency key.
	Keyless bool `json:"keyless,omitempty"`
}

// Runner sends traces to entry hosts.
type Runner struct {
	opts   Options
	client *http.Client
	// entryCounter selects the next entry: its value modulo the number of entries is the index.
	entryCounter atomic.Uint64
	// downUntil holds, for each entry, the time in Unix nanoseconds until which it receives no requests.
	downUntil []atomic.Int64
}

// NewRunner returns a runner that sends nothing until Run is called.
func NewRunner(opts Options) *Runner {
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}
	}
	return &Runner{
		opts: opts, client: &http.Client{Transport: opts.Transport}, downUntil: make([]atomic.Int64, len(opts.Entries)),
	}
}

// Run sends the arrivals at their times and returns one record for each, in the order of the trace. If ctx ends
// earlier, it sends no further arrivals and returns the records of those already sent.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []Record {
	records := make([]Record, len(arrivals))
	var finished atomic.Int64
	stop := r.startProgress(&finished, len(arrivals))
	defer stop()
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(time.Duration(a.AtMS)*time.Millisecond)) {
			records = records[:i]
			break
		}
		wg.Go(func() {
			records[i] = r.sendRequest(ctx, a)
			finished.Add(1)
		})
	}
	wg.Wait()
	return records
}

// sleepUntil waits until the given time and reports whether ctx lasted that long.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startProgress calls Options.Progress once a second until the returned function is called.
func (r *Runner) startProgress(finished *atomic.Int64, total int) func() {
	if r.opts.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				r.opts.Progress(int(finished.Load()), total)
			case <-done:
				return
			}
		}
	}()
	return func() { ticker.Stop(); close(done) }
}

// sendRequest sends a request and retries it within its deadline where the outcome allows a retry.
func (r *Runner) sendRequest(ctx context.Context, a Arrival) Record {
	rec := Record{ID: uuid.NewString(), Arrival: a, Priority: a.Priority, Keyless: !a.Idempotent && !a.Keyed}
	start := time.Now()
	deadline := start.Add(time.Duration(a.DeadlineMS) * time.Millisecond)
	mayHaveRun := false
	for rec.Attempts < maxAttempts {
		rec.Attempts++
		delay := r.attempt(ctx, &rec, deadline)
		mayHaveRun = mayHaveRun || rec.Outcome == structs.OutcomeUnknown
		if mayHaveRun && rec.Arrival.Keyed && rec.Code == codeNotConnected {
			// An earlier attempt may have run, and no entry host has reported on it since.
			rec.Outcome = structs.OutcomeUnknown
		}
		if rec.Outcome == structs.OutcomeDone || !r.mayRepeat(rec) || time.Now().Add(delay).After(deadline) {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(delay)) {
			break
		}
	}
	rec.Latency = time.Since(start)
	return rec
}

// mayRepeat reports whether a retry is enabled and safe: the last attempt was rejected for a temporary reason without
// being run, or the request is idempotent or has an idempotency key.
func (r *Runner) mayRepeat(rec Record) bool {
	if !r.opts.Repeat {
		return false
	}
	if rec.Outcome == structs.OutcomeNotRun {
		return rec.Status == http.StatusServiceUnavailable || rec.Status == http.StatusTooManyRequests
	}
	return rec.Arrival.Idempotent || rec.Arrival.Keyed
}

// attempt sends the request once and returns how long to wait before the next attempt.
func (r *Runner) attempt(ctx context.Context, rec *Record, deadline time.Time) time.Duration {
	remaining := max(time.Until(deadline), time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, remaining+responseGrace)
	defer cancel()
	entry := r.nextEntry()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := r.newRequest(ctx, r.opts.Entries[entry], rec, remaining)
	if err != nil {
		rec.Outcome, rec.Code = structs.OutcomeNotRun, err.Error()
		return 0
	}
	resp, err := r.client.Do(req)
	if err != nil && !sent.Load() {
		// No connection was made, so nothing ran. Like a load balancer, try the next entry without delay.
		r.downUntil[entry].Store(time.Now().Add(entryDownTime).UnixNano())
		rec.Outcome, rec.Status, rec.Code = structs.OutcomeNotRun, http.StatusServiceUnavailable, codeNotConnected
		return 0
	}
	if err != nil {
		rec.Outcome, rec.Status, rec.Code = structs.OutcomeUnknown, 0, "connection"
		return defaultRetryDelay
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		rec.Outcome, rec.Status, rec.Code = structs.OutcomeUnknown, 0, "connection"
		return defaultRetryDelay
	}
	return rec.applyResponse(resp, body)
}

// nextEntry returns the index of the next entry in turn. It skips entries whose last connection failed within
// entryDownTime, unless that holds for all of them.
func (r *Runner) nextEntry() int {
	now := time.Now().UnixNano()
	for range r.opts.Entries {
		i := int(r.entryCounter.Add(1) % uint64(len(r.opts.Entries)))
		if r.downUntil[i].Load() <= now {
			return i
		}
	}
	return int(r.entryCounter.Add(1) % uint64(len(r.opts.Entries)))
}

// newRequest returns the HTTP request of an attempt whose deadline is the remaining time from now.
func (r *Runner) newRequest(ctx context.Context, entry string, rec *Record, remaining time.Duration) (*http.Request, error) {
	body, err := json.Marshal(targetserver.Work{RunMS: rec.Arrival.RunMS, Text: rec.ID})
	if err != nil {
		return nil, err
	}
	url := fmt.Sprintf("%s/v1/services/%s/requests", entry, rec.Arrival.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Tamarack-Priority", string(rec.Arrival.Priority))
	req.Header.Set("Tamarack-Idempotent", strconv.FormatBool(rec.Arrival.Idempotent))
	req.Header.Set("Tamarack-Deadline-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if rec.Arrival.Keyed {
		req.Header.Set("Idempotency-Key", rec.ID)
		req.Header.Set("Tamarack-Attempt", strconv.Itoa(rec.Attempts))
	}
	if rec.Arrival.Team != "" {
		req.Header.Set("Tamarack-Team", rec.Arrival.Team)
	}
	if r.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.opts.Token)
	}
	// http.Transport itself retries requests that it takes for idempotent if it can rewind their body. Such retries would
	// not be counted as attempts.
	req.GetBody = nil
	return req, nil
}

// applyResponse stores the outcome that a response reports and returns how long to wait before the next attempt.
func (rec *Record) applyResponse(resp *http.Response, body []byte) time.Duration {
	rec.Status = resp.StatusCode
	rec.Outcome = structs.Outcome(resp.Header.Get("Tamarack-Outcome"))
	rec.Code = ""
	if rec.Outcome == structs.OutcomeDone {
		var result targetserver.Result
		if resp.StatusCode < 300 && (json.Unmarshal(body, &result) != nil || result.Text != rec.ID) {
			rec.Foreign = true
		}
		return 0
	}
	var failure struct {
		Code string `json:"code"`
	}
	// A body of another form leaves the code empty.
	_ = json.Unmarshal(body, &failure)
	rec.Code = failure.Code
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	repeatable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if err != nil {
		rec.MissingRetryAfter = repeatable
		return defaultRetryDelay
	}
	return time.Duration(seconds) * time.Second
}
