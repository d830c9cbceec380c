package frontend

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/workload"
)

// fakeOwner is an Owner that writes to the store through a handle of its own, or cannot be reached.
type fakeOwner struct {
	handle      *rows.Handle
	unreachable bool
	// frontend, if set, is that of the owner's host, which stores the jobs.
	frontend *Frontend
	// full is set if the owner has no room for jobs.
	full bool
}

func (o *fakeOwner) JobStatus(context.Context, string) (workload.Status, bool, error) {
	if o.unreachable {
		return "", false, rowstore.ErrUnavailable
	}
	return "", false, nil
}

func (o *fakeOwner) QueueLength(context.Context, string) (int, error) { return 3, nil }

func (o *fakeOwner) StoreJob(ctx context.Context, id string, value []byte, uncertain bool) error {
	if o.unreachable {
		return rowstore.ErrUnavailable
	}
	if o.frontend != nil {
		return o.frontend.StoreJob(ctx, id, value, uncertain)
	}
	key := rowstore.Key{Table: JobTable, Partition: SubmitPartition(id), Name: id}
	_, err := o.handle.Commit(ctx, rowstore.Txn{Expect: []rowstore.Expect{{Key: key}}, Put: []rowstore.Row{{Key: key, Value: value}}})
	return err
}

func (o *fakeOwner) ConfirmRefusal(_ context.Context, id string) (bool, error) {
	if o.unreachable {
		return false, rowstore.ErrUnavailable
	}
	return o.frontend == nil || o.frontend.ConfirmRefusal(id), nil
}

func (o *fakeOwner) ReportUncertain(_ context.Context, id string) error {
	if o.unreachable {
		return rowstore.ErrUnavailable
	}
	if o.frontend != nil {
		o.frontend.RecordUncertain(id)
	}
	return nil
}

func (o *fakeOwner) ReserveJob(context.Context, string, int64) (bool, error) {
	if o.unreachable {
		return false, rowstore.ErrUnavailable
	}
	return !o.full, nil
}

func (o *fakeOwner) StoreCancel(context.Context, string) error { return rowstore.ErrUnavailable }

// fixture is a frontend with an in-memory store, a fake owner and a configuration of two routes.
type fixture struct {
	store           *rows.Store
	handle          *rows.Handle
	owner           *fakeOwner
	storeResponsive atomic.Bool
	frontend        *Frontend
	match           *Match
}

// testConfigurationAge is the MaxConfigurationAge of fixtures.
const testConfigurationAge = 2 * time.Second

// readConfiguration puts the configuration in the store in effect.
func (x *fixture) readConfiguration(ctx context.Context) error {
	asOf := x.frontend.opts.Now()
	page, err := x.handle.Read(ctx, rowstore.Range{Table: "op", From: "config"})
	if err != nil {
		return err
	}
	for _, r := range page.Rows {
		var c workload.Configuration
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		x.frontend.Configure(&c)
	}
	x.frontend.ConfirmConfiguration(asOf)
	return nil
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{store: rows.New()}
	began := time.Now()
	x.handle, x.owner = x.store.Handle(), &fakeOwner{handle: x.store.Handle()}
	x.storeResponsive.Store(true)
	x.frontend = New(Options{
		Store: x.handle, Owner: x.owner, Log: &log.Logger{Handler: discard.New()},
		WallMS: func() int64 { return 1 }, Now: func() time.Duration { return time.Since(began) }, StoreResponsive: x.storeResponsive.Load,
		Metrics: NewMetrics(prometheus.NewRegistry()), MaxConfigurationAge: testConfigurationAge, ReadConfiguration: x.readConfiguration,
	})
	x.frontend.Configure(&workload.Configuration{Version: 3, Routes: []workload.Route{
		{Name: "short", Host: "h", Prefix: "/q/"}, {Name: "long", Host: "h", Prefix: "/q/deep/"},
	}})
	match, id, _ := x.frontend.Match(t.Context(), "H", "/q/deep/1", "")
	assert.Equal(t, id, "1")
	x.match = match
	return x
}

func (x *fixture) submit(t *testing.T, id string) (Result, time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), 2850*time.Millisecond)
	defer cancel()
	start := time.Now()
	return x.frontend.Submit(ctx, x.match, &workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}}), time.Since(start)
}

func (x *fixture) stored(id string) bool {
	_, ok := x.store.Get(rowstore.Key{Table: JobTable, Partition: SubmitPartition(id), Name: id})
	return ok
}

// Guards against an older configuration replacing a newer one, and against a shorter prefix matching before a longer one.
func TestRoutes(t *testing.T) {
	x := newFixture(t)
	assert.Equal(t, x.match.Name, "long")
	x.frontend.Configure(&workload.Configuration{Version: 2})
	_, _, result := x.frontend.Match(t.Context(), "h", "/q/1", "")
	assert.Equal(t, result.Outcome, OK)
	_, _, result = x.frontend.Match(t.Context(), "h", "/other/1", "")
	assert.Equal(t, result.Outcome, NoRoute)
}

// Guards against accepting requests with a missing, unknown or withdrawn key, against requiring a key on public routes, and
// against an older configuration that arrives late making a withdrawn key valid again.
func TestKeysOfTheConfigurationInForce(t *testing.T) {
	x := newFixture(t)
	digest := func(key string) workload.KeyDigest {
		d, ok := workload.DigestKey(key)
		assert.Assert(t, ok)
		return d
	}
	config := func(version uint64, keys ...workload.KeyDigest) *workload.Configuration {
		return &workload.Configuration{
			Version: version, ChecksKeys: true, Organisations: []workload.Organisation{{Name: "library", Keys: keys}},
			Routes: []workload.Route{{Name: "q", Host: "h", Prefix: "/q/"}, {Name: "open", Host: "h", Prefix: "/open/", Public: true}},
		}
	}
	outcome := func(path, key string) Outcome {
		_, _, result := x.frontend.Match(t.Context(), "h", path, key)
		return result.Outcome
	}
	first := config(5, digest("old"), digest("new"))
	x.frontend.Configure(first)
	match, _, _ := x.frontend.Match(t.Context(), "h", "/q/1", "old")
	assert.Equal(t, match.Organisation, "library")
	assert.Equal(t, outcome("/q/1", "new"), OK)
	for _, key := range []string{"", "other", strings.Repeat("k", 4000)} {
		assert.Equal(t, outcome("/q/1", key), NoKey)
		assert.Equal(t, outcome("/open/1", key), OK)
	}
	assert.Equal(t, outcome("/none/1", "other"), NoRoute)
	x.frontend.Configure(config(6, digest("new")))
	x.frontend.Configure(first)
	assert.Equal(t, outcome("/q/1", "old"), NoKey)
	assert.Equal(t, outcome("/q/1", "new"), OK)
	x.frontend.Configure(config(7))
	assert.Equal(t, outcome("/q/1", "new"), NoKey)
}

// Guards against an error, or a second job, when the same id is submitted again.
func TestRepeatedIDIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		for range 3 {
			result, _ := x.submit(t, "j")
			assert.Equal(t, result.Outcome, OK)
		}
	})
}

// Guards against reporting a job as rejected although the store may have applied the write and only its response was lost.
func TestLostAnswersNeverRejectAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []rows.Fault{rows.LoseResponse, rows.Late, rows.DropCall} {
			x := newFixture(t)
			x.owner.unreachable = true
			x.handle.SetFault(func(bool) rows.Fault { return fault })
			result, _ := x.submit(t, "j")
			assert.Equal(t, result.Outcome, Unknown)
			time.Sleep(5 * time.Second)
		}
	})
}

// Replays an outage of the store that begins while a job is written: the write is applied or not, and its response is lost. The
// caller submits the job again at another host, which does not reach the store either. Guards against an answer that says that
// the job never runs, and against other submissions that wait because of it.
func TestJobsOfUnknownFateAreNotRejectedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []rows.Fault{rows.LoseResponse, rows.Late, rows.DropCall} {
			first, second, owner := newFixture(t), newFixture(t), newFixture(t)
			first.owner.frontend, second.owner.frontend = owner.frontend, owner.frontend
			first.handle.SetFault(func(bool) rows.Fault { return fault })
			second.storeResponsive.Store(false)
			owner.storeResponsive.Store(false)
			result, _ := first.submit(t, "j")
			assert.Equal(t, result.Outcome, Unknown)
			for _, host := range []*fixture{first, second} {
				host.storeResponsive.Store(false)
				result, took := host.submit(t, "j")
				assert.Equal(t, result.Outcome, Unknown)
				assert.Assert(t, result.RetryAfter > 0 && took < 3*time.Second)
				result, took = host.submit(t, "other")
				assert.Equal(t, result.Outcome, Unavailable)
				assert.Assert(t, took < 200*time.Millisecond)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

// Guards against rejecting a job on a host without a store connection while the owner could store it, and against a
// rejection that is late, or false because the job is stored afterwards.
func TestHostWithoutStoreRelaysOrRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		x.handle.SetFault(func(bool) rows.Fault { return rows.Refuse })
		result, took := x.submit(t, "relayed")
		assert.Equal(t, result.Outcome, OK)
		assert.Assert(t, x.stored("relayed") && took < 200*time.Millisecond)
		x.owner.unreachable = true
		result, took = x.submit(t, "rejected")
		assert.Equal(t, result.Outcome, Unavailable)
		assert.Assert(t, result.RetryAfter > 0 && took < 200*time.Millisecond)
		x.handle.SetFault(func(bool) rows.Fault { return rows.DropCall })
		x.storeResponsive.Store(false)
		result, took = x.submit(t, "silent")
		assert.Equal(t, result.Outcome, Unavailable)
		assert.Assert(t, took < 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !x.stored("rejected") && !x.stored("silent"))
	})
}

// Guards against reporting a stored job as nonexistent when the owner cannot be queried or does not know it.
func TestStatusFallsBackToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		x.submit(t, "j")
		x.owner.unreachable = true
		status, result := x.frontend.Status(t.Context(), "j")
		assert.Equal(t, result.Outcome, OK)
		assert.Equal(t, status, workload.StatusQueued)
		_, result = x.frontend.Status(t.Context(), "none")
		assert.Equal(t, result.Outcome, NoJob)
		x.store.Put(rowstore.Key{Table: RecordTable, Name: "j"}, []byte(`{"s":"completed"}`))
		status, _ = x.frontend.Status(t.Context(), "j")
		assert.Equal(t, status, workload.StatusCompleted)
		assert.Equal(t, x.frontend.Cancel(t.Context(), "none").Outcome, NoJob)
		assert.Equal(t, x.frontend.Cancel(t.Context(), "j").Outcome, OK)
	})
}

// Guards against rejecting jobs because one partition of the store is down while the others accept writes, and against
// reporting a job that was stored in its fallback partition as nonexistent.
func TestJobsOfAPartitionThatIsDownAreStoredInTheFallbackPartition(t *testing.T) {
	for name, ownerUnreachable := range map[string]bool{"with an owner": false, "without an owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(t)
				x.owner.unreachable = ownerUnreachable
				x.store.SetDown(SubmitPartition("1"))
				result, took := x.submit(t, "1")
				assert.Equal(t, result.Outcome, OK)
				assert.Assert(t, took < 300*time.Millisecond, took)
				status, result := x.frontend.Status(t.Context(), "1")
				assert.Equal(t, result.Outcome, OK)
				assert.Equal(t, status, workload.StatusQueued)
				x.store.SetDown()
				_, result = x.frontend.Status(t.Context(), "2")
				assert.Equal(t, result.Outcome, NoJob)
				x.store.SetDown(SubmitPartitions()...)
				result, took = x.submit(t, "3")
				assert.Equal(t, result.Outcome, Unavailable)
				assert.Assert(t, took < 400*time.Millisecond, took)
			})
		})
	}
}

// Guards against a fallback partition that equals the primary one, or that SubmitPartitions does not list.
func TestFallbackPartitionDiffersFromThePrimary(t *testing.T) {
	for i := range 1000 {
		id := fmt.Sprint(i)
		assert.Assert(t, SubmitPartition(id) != FallbackSubmitPartition(id))
		assert.Assert(t, slices.Contains(SubmitPartitions(), FallbackSubmitPartition(id)))
	}
}

// Guards against failing submissions in a burst while the store is slow. A partition applies its transactions one after
// another, so with too few partitions the writes would queue for longer than the callers' deadline.
func TestBurstIsAcceptedByASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The burst of a deployment of 540 executors, at a store that takes 25 times as long as usual.
		const jobs, interval, commitTime = 600, 7 * time.Millisecond, 250 * time.Millisecond
		x := newFixture(t)
		x.store.SetSlow(commitTime)
		results := make(chan Result, jobs)
		for i := range jobs {
			go func() {
				time.Sleep(time.Duration(i) * interval)
				result, _ := x.submit(t, fmt.Sprint(i))
				results <- result
			}()
		}
		for range jobs {
			assert.Equal(t, (<-results).Outcome, OK)
		}
	})
}

// A host whose feed of the configuration has stalled must neither refuse a route or a key that was added meanwhile, nor serve one that
// was removed, as long as the store answers it. While the store does not answer, it must not refuse by what it does not know.
func TestOutdatedConfigurationRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		key, ok := workload.DigestKey("new")
		assert.Assert(t, ok)
		value, err := json.Marshal(workload.Configuration{
			Version: 4, Routes: []workload.Route{{Name: "added", Host: "h", Prefix: "/added/"}}, ChecksKeys: true,
			Organisations: []workload.Organisation{{Name: "o", Keys: []workload.KeyDigest{key}}},
		})
		assert.NilError(t, err)
		x.store.Put(rowstore.Key{Table: "op", Name: "config"}, value)
		outcome := func(path, key string) Outcome {
			_, _, result := x.frontend.Match(t.Context(), "h", path, key)
			return result.Outcome
		}
		assert.Equal(t, outcome("/added/1", "new"), NoRoute, "the configuration may be as old as this")
		time.Sleep(testConfigurationAge + time.Millisecond)
		x.storeResponsive.Store(false)
		began := time.Now()
		assert.Equal(t, outcome("/added/1", "new"), Unavailable)
		assert.Equal(t, time.Since(began), time.Duration(0), "a rejection must not wait for a store that does not answer")
		assert.Equal(t, outcome("/q/1", ""), OK, "a host that the store turns away serves through the owner")
		x.storeResponsive.Store(true)
		x.handle.SetFault(func(bool) rows.Fault { return rows.DropCall })
		assert.Equal(t, outcome("/added/1", "new"), Unavailable)
		x.handle.SetFault(nil)
		assert.Equal(t, outcome("/added/1", "new"), OK)
		time.Sleep(testConfigurationAge + time.Millisecond)
		assert.Equal(t, outcome("/q/1", "new"), NoRoute)
		assert.Equal(t, outcome("/added/1", "old"), NoKey)
	})
}
