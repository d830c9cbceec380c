package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/coordinator"
	"github.com/tamarackworks/tamarackworks/frontend"
	schedulev1 "github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

// loadOf returns a load of n closures of queues whose names end in suffix.
func loadOf(n int, suffix string) frontend.QueueLoad {
	load := frontend.QueueLoad{Hosts: 42}
	for i := range n {
		load.Closures = append(load.Closures, scheduler.Closure{
			Queue: fmt.Sprint("r-", i, suffix), Organisation: "a,b;c", Cause: scheduler.ClosedForShare, Work: 1_234_567, Horizon: 4300 * time.Millisecond,
			Return: 3700 * time.Millisecond, Rate: 349_000, Floor: 17, Slope: 0.5, Shift: -0.25,
		})
	}
	return load
}

// Guards against headers that hosts refuse for their size, names that break the format, and entries that are cut in the middle.
func TestQueueLoadHeaderIsBounded(t *testing.T) {
	for _, c := range []struct {
		closures int
		suffix   string
		want     int
	}{{0, "", 0}, {3, "ü, =;", 3}, {200, "", 17}, {200, strings.Repeat("x", 400), 2}, {1, strings.Repeat("x", 4000), 0}} {
		header := encodeQueueLoad(loadOf(c.closures, c.suffix))
		assert.Assert(t, len(header) <= maxQueueLoadBytes)
		got, err := decodeQueueLoad(header)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Closures, loadOf(c.want, c.suffix).Closures)
	}
	small := loadOf(100, "")
	for i := range small.Closures {
		small.Closures[i] = scheduler.Closure{Queue: "q", Cause: scheduler.ClosedForCap}
	}
	got, err := decodeQueueLoad(encodeQueueLoad(small))
	assert.NilError(t, err)
	assert.Equal(t, len(got.Closures), maxClosures)
}

// Guards against closures that a damaged header makes up.
func TestMalformedQueueLoadsAreIgnored(t *testing.T) {
	valid := encodeQueueLoad(loadOf(1, ""))
	for _, header := range []string{
		"0", "x", "-1;", valid + ";", valid[:len(valid)-4] + "NaN", strings.Replace(valid, "share", "other", 1), strings.Replace(valid, "4300", "-1", 1),
		strings.Replace(valid, "r-0", "%zz", 1), strings.Replace(valid, "0.5", "1e9", 1), strings.Repeat(valid+";", 30) + valid,
	} {
		got, err := decodeQueueLoad(header)
		assert.ErrorIs(t, err, errQueueLoad, "%s", header)
		assert.Equal(t, len(got.Closures), 0)
	}
}

// Guards against a host that repeats its last decision after it stopped leading, and against taking the silence of a host that
// does not lead for open queues.
func TestOnlyTheOwnerTellsTheLoad(t *testing.T) {
	now := time.Second
	owner := &queueLoads{now: func() time.Duration { return now }, received: func(frontend.QueueLoad) {}}
	_, handler := schedulev1connect.NewScheduleServiceHandler(&scheduleServer{holder: func() string { return "h" }}, connect.WithInterceptors(owner.interceptor()))
	server := httptest.NewServer(handler)
	defer server.Close()
	var received []int
	host := &queueLoads{now: owner.now, received: func(load frontend.QueueLoad) { received = append(received, len(load.Closures)) }}
	c := schedulev1connect.NewScheduleServiceClient(server.Client(), server.URL, connect.WithInterceptors(host.interceptor()))
	call := func() {
		_, err := c.Holder(t.Context(), connect.NewRequest(&schedulev1.HolderRequest{}))
		assert.NilError(t, err)
	}
	call()
	owner.publish(loadOf(2, ""))
	call()
	owner.publish(frontend.QueueLoad{})
	call()
	now += maxQueueLoadAge + 1
	call()
	assert.DeepEqual(t, received, []int{2, 0})
}

// Guards against room that a host without the jobs tells, and against a malformed header that counts as one.
func TestOnlyTheOwnerTellsTheRoom(t *testing.T) {
	type room struct {
		Bytes int64
		Hosts int
	}
	now := time.Second
	var received []room
	newLoads := func() *queueLoads {
		return &queueLoads{
			now: func() time.Duration { return now }, received: func(frontend.QueueLoad) {},
			receivedRoom: func(bytes int64, hosts int) { received = append(received, room{bytes, hosts}) },
		}
	}
	owner, host := newLoads(), newLoads()
	_, handler := schedulev1connect.NewScheduleServiceHandler(&scheduleServer{holder: func() string { return "h" }}, connect.WithInterceptors(owner.interceptor()))
	server := httptest.NewServer(handler)
	defer server.Close()
	c := schedulev1connect.NewScheduleServiceClient(server.Client(), server.URL, connect.WithInterceptors(host.interceptor()))
	call := func() {
		_, err := c.Holder(t.Context(), connect.NewRequest(&schedulev1.HolderRequest{}))
		assert.NilError(t, err)
	}
	call()
	owner.publish(frontend.QueueLoad{})
	owner.publishRoom(-7, 3)
	call()
	now += maxQueueLoadAge + 1
	call()
	for _, malformed := range []string{"", "7", "7,0", "7,x", "x,3", "7,3,1"} {
		host.receiveRoom(malformed)
	}
	assert.DeepEqual(t, received, []room{{-7, 3}, {-7, 3}})
}

// unknowingOwner is an owner that knows no job and answers for its frontend.
type unknowingOwner struct{ scheduleServer }

func (s *unknowingOwner) JobStatus(_ context.Context, r *connect.Request[schedulev1.JobStatusRequest]) (*connect.Response[schedulev1.JobStatusResponse], error) {
	resp := connect.NewResponse(&schedulev1.JobStatusResponse{})
	s.answerRefusal(r, resp)
	return resp, nil
}

// Guards against a refusal that the owner has not confirmed: it heard that the job may be stored, or there is none.
func TestOwnerConfirmsRefusals(t *testing.T) {
	service := frontend.New(frontend.Options{Now: func() time.Duration { return time.Second }})
	_, handler := schedulev1connect.NewScheduleServiceHandler(&unknowingOwner{scheduleServer{frontend: service}})
	server := httptest.NewServer(handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	p := newPeers(peer{}, func() time.Duration { return 0 }, func() time.Duration { return 0 })
	c := newOwnerClient(coordinator.New(coordinator.Options{}), func() string { return address }, "self", p, &queueLoads{now: p.now})
	confirmed := func(id string) bool {
		ok, err := c.ConfirmRefusal(t.Context(), id)
		return ok && err == nil
	}
	assert.Assert(t, confirmed("j"))
	assert.NilError(t, c.ReportUncertain(t.Context(), "k"))
	assert.Assert(t, !confirmed("k") && confirmed("j"))
	_, known := service.FirstSubmitted("j")
	assert.Assert(t, known)
	address = ""
	assert.Assert(t, !confirmed("j"))
}

// Guards against a single closure of long tasks whose times are out of range, so that hosts ignore all closures.
func TestLongTimesAreCutInTheHeader(t *testing.T) {
	load := loadOf(2, "")
	load.Closures[1].Horizon, load.Closures[1].Return = 2*time.Hour, 30*time.Hour
	got, err := decodeQueueLoad(encodeQueueLoad(load))
	assert.NilError(t, err)
	assert.Equal(t, len(got.Closures), 2)
	assert.Equal(t, got.Closures[1].Return, time.Hour)
}
