package claims

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/standin/memory"
)

// TestMain guards against goroutines that are still running after their store was stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newStore(t testing.TB, table cloud.Table, incarnation string) *Store {
	t.Helper()
	s, err := New(Options{
		Table: table, Entry: "e1", Incarnation: incarnation,
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	assert.NilError(t, err)
	return s
}

func key(name string) Key { return Key{Caller: "c", Service: "s", IdempotencyKey: name} }

// Guards against a shared row of two different keys whose concatenated parts are equal.
func TestKeysWithTheSameConcatenationHaveDifferentRows(t *testing.T) {
	a := Key{Caller: "ab", Service: "c", IdempotencyKey: "d"}
	b := Key{Caller: "a", Service: "bc", IdempotencyKey: "d"}
	assert.Assert(t, a.RowKey() != b.RowKey())
}

// Guards against a conflicting row that makes the other claims of its batch fail, and against a transaction for
// each claim instead of a batch.
func TestConflictDoesNotFailTheRestOfTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		first, second := newStore(t, p.Handle(), "1"), newStore(t, p.Handle(), "2")
		_, err := first.Claim(t.Context(), key("7"), "f", "n")
		assert.NilError(t, err)
		errs := make([]error, 64)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = second.Claim(t.Context(), key(fmt.Sprint(i)), "f", fmt.Sprint(i)) })
		}
		wg.Wait()
		for i, err := range errs {
			if i == 7 {
				assert.ErrorIs(t, err, ErrInProgress)
				continue
			}
			assert.NilError(t, err)
		}
		assert.Equal(t, second.Stats().Commits, uint64(2))
		for i := range errs {
			second.Finish(fmt.Sprint(i), Done(Response{Status: 200}))
		}
		assert.NilError(t, first.Stop(t.Context()))
		assert.NilError(t, second.Stop(t.Context()))
		t.Logf("64 claims and 63 records: %+v", second.Stats())
	})
}

// Guards against a fingerprint that is ignored, and against a response body that is stored although it is larger
// than MaxStoredBody. Both are checked in the process that made the claim and in another one.
func TestDoneReturnsTheStoredResponseOnlyForTheSameRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		s := newStore(t, p.Handle(), "1")
		_, err := s.Claim(t.Context(), key("a"), "f", "n")
		assert.NilError(t, err)
		s.Finish("n", Done(Response{Status: 201, Body: make([]byte, MaxStoredBody+1)}))
		check := func(s *Store) {
			record, err := s.Claim(t.Context(), key("a"), "f", "n2")
			assert.NilError(t, err)
			assert.DeepEqual(t, record.Response, &Response{Status: 201, Omitted: true})
			_, err = s.Claim(t.Context(), key("a"), "other", "n3")
			assert.ErrorIs(t, err, ErrMismatch)
		}
		check(s)
		assert.NilError(t, s.Stop(t.Context()))
		other := newStore(t, p.Handle(), "2")
		check(other)
		assert.NilError(t, other.Stop(t.Context()))
	})
}

// Guards against a claim that waits for its deadline although the table has reported that it is unavailable.
func TestStoreDownRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := memory.New(memory.Options{}).Handle()
		s := newStore(t, h, "1")
		h.SetFaults(memory.Faults{Down: true})
		start := time.Now()
		_, err := s.Claim(t.Context(), key("a"), "f", "n")
		assert.ErrorIs(t, err, ErrUnavailable)
		assert.Assert(t, time.Since(start) < 10*time.Millisecond)
		assert.NilError(t, s.Stop(t.Context()))
	})
}

// Guards against expired rows that are not deleted, and against the deletion of rows within the retention.
func TestSweepDeletesOnlyExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		s := newStore(t, p.Handle(), "1")
		claim := func(from, to int) {
			var wg sync.WaitGroup
			for i := from; i < to; i++ {
				wg.Go(func() { _, _ = s.Claim(t.Context(), key(fmt.Sprint(i)), "f", fmt.Sprint(i)) })
			}
			wg.Wait()
		}
		claim(0, 100)
		time.Sleep(DefaultRetention + time.Second)
		claim(100, 150)
		var total SweepResult
		for !total.Wrapped {
			result, err := s.Sweep(t.Context())
			assert.NilError(t, err)
			total = SweepResult{total.Scanned + result.Scanned, total.Deleted + result.Deleted, result.Wrapped}
		}
		assert.DeepEqual(t, total, SweepResult{Scanned: 150, Deleted: 100, Wrapped: true})
		ctx, cancel := context.WithTimeout(t.Context(), DefaultRetention+time.Minute)
		defer cancel()
		s.RunSweep(ctx, time.Minute, func() bool { return true })
		result, err := s.Sweep(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, result, SweepResult{Wrapped: true})
		assert.NilError(t, s.Stop(t.Context()))
	})
}

// submission is one request of a caller in a random schedule. Times are in milliseconds.
type submission struct {
	At, RunTime, Deadline int
	Host, Key             int
	Fingerprint           string
	// Outcome is the outcome of the dispatch: done, not_run or unknown.
	Outcome string
	// CrashAt is the step at which the process of the entry host crashes, or empty.
	CrashAt string
}

// fault sets the faults of the table that one host sees, from a time on. Times are in milliseconds; LostResponses,
// DroppedWrites and LateCommits are numbers of following commits.
type fault struct {
	At, Host, Latency                         int
	Down                                      bool
	LostResponses, DroppedWrites, LateCommits int
}

var genSubmission = rapid.Custom(func(t *rapid.T) submission {
	return submission{
		At: rapid.IntRange(0, 400).Draw(t, "at"), RunTime: rapid.IntRange(0, 50).Draw(t, "run"),
		Deadline: rapid.IntRange(1, 200).Draw(t, "deadline"),
		Host:     rapid.IntRange(0, 1).Draw(t, "host"), Key: rapid.IntRange(0, 2).Draw(t, "key"),
		Fingerprint: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "fingerprint"),
		Outcome:     rapid.SampledFrom([]string{"done", "done", "not_run", "unknown"}).Draw(t, "ends"),
		CrashAt:     rapid.SampledFrom([]string{"", "", "", "", "claim", "claimed", "run", "finished"}).Draw(t, "crash"),
	}
})

var genFault = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		At: rapid.IntRange(0, 400).Draw(t, "at"), Host: rapid.IntRange(0, 1).Draw(t, "host"),
		Latency:       rapid.SampledFrom([]int{0, 0, 5, 60}).Draw(t, "latency"),
		Down:          rapid.SampledFrom([]bool{false, false, true}).Draw(t, "down"),
		LostResponses: rapid.IntRange(0, 3).Draw(t, "lose"), DroppedWrites: rapid.IntRange(0, 3).Draw(t, "drop"),
		LateCommits: rapid.IntRange(0, 2).Draw(t, "late"),
	}
})

// lateCommitTable applies its next lateCommits commits only after it has reported an unknown result for them.
type lateCommitTable struct {
	*memory.Handle
	mu          sync.Mutex
	lateCommits int
}

func (l *lateCommitTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	l.mu.Lock()
	late := l.lateCommits > 0
	l.lateCommits--
	l.mu.Unlock()
	if !late {
		return l.Handle.Commit(ctx, txn)
	}
	go func() {
		time.Sleep(37 * time.Millisecond)
		_, _ = l.Handle.Commit(context.Background(), txn)
	}()
	return 0, cloud.ErrAmbiguous
}

// process is one run of an entry host's process.
type process struct {
	table   *lateCommitTable
	store   *Store
	crashed bool
}

// simulation runs a schedule on two entry hosts and records what callers and targets observe.
type simulation struct {
	t        *testing.T
	platform *memory.Platform
	mu       sync.Mutex
	// hosts holds the running process of each entry host.
	hosts [2]*process
	// processes is the number of processes started so far.
	processes int
	// executions counts the executions of each key.
	executions map[int]int
	// executedNonces holds the nonces of the executed requests, and notRunNonces those reported as not run.
	executedNonces map[string]bool
	notRunNonces   []string
	// responses holds the response of the last execution of each key.
	responses  map[int]string
	violations []string
	// mayStayClaimed means that a row may stay claimed permanently, after a crash or an unknown outcome.
	mayStayClaimed bool
}

func (m *simulation) startProcess(host int) {
	m.processes++
	table := &lateCommitTable{Handle: m.platform.Handle()}
	m.hosts[host] = &process{table: table, store: newStore(m.t, table, fmt.Sprint(m.processes))}
}

// crash ends a process without writing its pending records and starts its successor.
func (m *simulation) crash(host int, pr *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mayStayClaimed = true
	if pr.crashed {
		return
	}
	pr.crashed = true
	pr.table.SetFaults(memory.Faults{Down: true})
	pr.store.committer.cancel()
	m.startProcess(host)
}

func (m *simulation) hasCrashed(pr *process) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pr.crashed
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// submit makes one request of a caller and checks the result of its claim.
func (m *simulation) submit(n int, s submission) {
	time.Sleep(ms(s.At))
	m.mu.Lock()
	pr := m.hosts[s.Host]
	m.mu.Unlock()
	nonce := fmt.Sprintf("n%d", n)
	ctx, cancel := context.WithTimeout(context.Background(), ms(s.Deadline))
	defer cancel()
	if s.CrashAt == "claim" {
		time.AfterFunc(3*time.Millisecond, func() { m.crash(s.Host, pr) })
	}
	record, err := pr.store.Claim(ctx, key(fmt.Sprint(s.Key)), s.Fingerprint, nonce)
	if s.CrashAt == "claimed" {
		m.crash(s.Host, pr)
	}
	if m.hasCrashed(pr) {
		return
	}
	switch {
	case err == nil && record.State == "":
		m.dispatch(s, pr, nonce)
	case err == nil:
		m.checkResponse(s, record)
	case err == ErrUnavailable || err == ErrDeadline:
		m.reportNotRun(nonce)
	}
}

// dispatch executes a request whose claim was granted, and finishes the claim.
func (m *simulation) dispatch(s submission, pr *process, nonce string) {
	response := s.Fingerprint + nonce
	if s.Outcome != "not_run" {
		m.mu.Lock()
		m.executions[s.Key]++
		m.executedNonces[nonce] = true
		m.responses[s.Key] = response
		m.mu.Unlock()
	}
	time.Sleep(ms(s.RunTime))
	if s.CrashAt == "run" {
		m.crash(s.Host, pr)
	}
	if m.hasCrashed(pr) {
		return
	}
	switch s.Outcome {
	case "done":
		pr.store.Finish(nonce, Done(Response{Status: 200, Body: []byte(response)}))
	case "not_run":
		pr.store.Finish(nonce, NotRun())
		m.reportNotRun(nonce)
	case "unknown":
		m.mu.Lock()
		m.mayStayClaimed = true
		m.mu.Unlock()
		pr.store.Finish(nonce, Unknown())
	}
	if s.CrashAt == "finished" {
		m.crash(s.Host, pr)
	}
}

func (m *simulation) reportNotRun(nonce string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notRunNonces = append(m.notRunNonces, nonce)
}

// checkResponse compares a stored response with the response of the execution.
func (m *simulation) checkResponse(s submission, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if got := string(record.Response.Body); got != m.responses[s.Key] || !strings.HasPrefix(got, s.Fingerprint) {
		m.violations = append(m.violations, fmt.Sprintf("key %d: response %q, executed %q", s.Key, got, m.responses[s.Key]))
	}
}

// checkLookups checks that a key that was executed never reads as absent or not run.
func (m *simulation) checkLookups(at int, host int) {
	time.Sleep(ms(at))
	for k := range 3 {
		m.mu.Lock()
		pr, before := m.hosts[host], m.executions[k]
		m.mu.Unlock()
		record, err := pr.store.Lookup(context.Background(), key(fmt.Sprint(k)))
		absent := err == ErrNotFound || err == nil && (record.State == StateNotRun || record.State == StateVoid)
		if before > 0 && absent {
			m.mu.Lock()
			m.violations = append(m.violations, fmt.Sprintf("key %d ran and reads as %q, %v", k, record.State, err))
			m.mu.Unlock()
		}
	}
}

func (m *simulation) applyFault(f fault) {
	time.Sleep(ms(f.At))
	m.mu.Lock()
	defer m.mu.Unlock()
	table := m.hosts[f.Host].table
	table.SetFaults(memory.Faults{Down: f.Down, Latency: ms(f.Latency), LoseResponses: f.LostResponses, DropWrites: f.DroppedWrites})
	table.mu.Lock()
	table.lateCommits = f.LateCommits
	table.mu.Unlock()
}

func (m *simulation) clearFaults() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pr := range m.hosts {
		pr.table.SetFaults(memory.Faults{})
		pr.table.mu.Lock()
		pr.table.lateCommits = 0
		pr.table.mu.Unlock()
	}
}

// checkFinalState clears all faults, checks the results and stops the stores.
func (m *simulation) checkFinalState() {
	m.clearFaults()
	time.Sleep(5 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range 3 {
		if m.executions[k] > 1 {
			m.violations = append(m.violations, fmt.Sprintf("key %d ran %d times", k, m.executions[k]))
		}
		// Without a crash or an unknown outcome no row may stay claimed.
		record, err := m.hosts[0].store.Lookup(context.Background(), key(fmt.Sprint(k)))
		if !m.mayStayClaimed && err == nil && record.State == StateClaimed {
			m.violations = append(m.violations, fmt.Sprintf("key %d stays claimed by %s", k, record.Nonce))
		}
	}
	for _, nonce := range m.notRunNonces {
		if m.executedNonces[nonce] {
			m.violations = append(m.violations, nonce+" ran and was reported as not run")
		}
	}
	for _, pr := range m.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := pr.store.Stop(ctx); err != nil {
			m.violations = append(m.violations, err.Error())
		}
		cancel()
	}
}

// runSchedule runs a schedule and returns the violations that it found.
func runSchedule(t *testing.T, submissions []submission, faults []fault) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		m := &simulation{t: t, platform: memory.New(memory.Options{}), executions: map[int]int{}, executedNonces: map[string]bool{}, responses: map[int]string{}}
		m.startProcess(0)
		m.startProcess(1)
		var wg sync.WaitGroup
		for n, s := range submissions {
			wg.Go(func() { m.submit(n, s) })
		}
		for i, f := range faults {
			wg.Go(func() { m.applyFault(f) })
			wg.Go(func() { m.checkLookups(f.At+7, i%2) })
		}
		wg.Wait()
		m.checkFinalState()
		violations = slices.Clone(m.violations)
	})
	return violations
}

// Guards against a second execution of a key, a report of not_run for a request that ran, the response of another
// request, and a row that stays claimed although the outcome is known. Two entry hosts claim the same keys while
// responses are lost, writes are dropped or applied late, the table has outages and processes crash at each step
// (invariants P4 and P5 of docs/design.md).
func TestKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		submissions := rapid.SliceOfN(genSubmission, 1, 16).Draw(rt, "submissions")
		faults := rapid.SliceOfN(genFault, 0, 8).Draw(rt, "faults")
		if violations := runSchedule(t, submissions, faults); len(violations) > 0 {
			rt.Fatalf("violations: %v", violations)
		}
	})
}

// Guards against a key that cannot be claimed again after its request certainly did not run.
func TestKeyOfARequestThatDidNotRunCanBeClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		first, second := newStore(t, p.Handle(), "1"), newStore(t, p.Handle(), "2")
		_, err := first.Claim(t.Context(), key("a"), "f", "n1")
		assert.NilError(t, err)
		first.Finish("n1", NotRun())
		_, err = first.Claim(t.Context(), key("a"), "f", "n2")
		assert.ErrorIs(t, err, ErrUnavailable)
		assert.NilError(t, first.Stop(t.Context()))
		record, err := second.Claim(t.Context(), key("a"), "g", "n3")
		assert.NilError(t, err)
		assert.Equal(t, record.State, State(""))
		assert.NilError(t, second.Stop(t.Context()))
	})
}

// BenchmarkClaim claims and finishes keys with a table that takes 1 ms for each call, and reports the number of
// transactions per claim.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			h := memory.New(memory.Options{}).Handle()
			h.SetFaults(memory.Faults{Latency: time.Millisecond})
			s := newStore(b, h, "1")
			var next atomic.Int64
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						nonce := fmt.Sprint(i)
						if _, err := s.Claim(b.Context(), key(nonce), "f", nonce); err != nil {
							b.Error(err)
							return
						}
						s.Finish(nonce, Done(Response{Status: 200, Body: []byte("answer")}))
					}
				})
			}
			wg.Wait()
			if err := s.Stop(b.Context()); err != nil {
				b.Error(err)
			}
			b.ReportMetric(float64(s.Stats().Commits)/float64(b.N), "commits/claim")
		})
	}
}
