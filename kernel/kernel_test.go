package kernel

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// recorder is a Service that appends its starts and stops to events.
type recorder struct {
	name     string
	events   *[]string
	startErr error
}

func (r *recorder) Provision(*Kernel) error { return nil }

func (r *recorder) Start(context.Context) error {
	*r.events = append(*r.events, "start "+r.name)
	return r.startErr
}

func (r *recorder) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

// Guards against a service that still runs after the services it depends on have stopped.
func TestStopRunsInReverseOrder(t *testing.T) {
	var events []string
	k := New()
	assert.NilError(t, k.Register("a", &recorder{name: "a", events: &events}))
	assert.NilError(t, k.Register("b", &recorder{name: "b", events: &events}))
	assert.NilError(t, k.Start(t.Context()))
	assert.NilError(t, k.Stop(t.Context()))
	assert.DeepEqual(t, events, []string{"start a", "start b", "stop b", "stop a"})
}

// Guards against services that keep running after the start of a later one has failed.
func TestFailedStartStopsStartedServices(t *testing.T) {
	var events []string
	errStart := errors.New("boom")
	k := New()
	assert.NilError(t, k.Register("a", &recorder{name: "a", events: &events}))
	assert.NilError(t, k.Register("b", &recorder{name: "b", events: &events, startErr: errStart}))
	assert.ErrorIs(t, k.Start(t.Context()), errStart)
	assert.DeepEqual(t, events, []string{"start a", "start b", "stop a"})
}

// Guards against a lookup that returns a nil service without an error for a misspelled name or a wrong type.
func TestLookupReportsUnknownServices(t *testing.T) {
	var events []string
	k := New()
	assert.NilError(t, k.Register("a", &recorder{name: "a", events: &events}))
	_, err := Lookup[*recorder](k, "b")
	assert.ErrorIs(t, err, ErrUnknown)
	_, err = Lookup[interface{ Missing() }](k, "a")
	assert.ErrorIs(t, err, ErrUnknown)
	assert.ErrorIs(t, k.Register("a", &recorder{}), ErrDuplicate)
}

// Guards against provided values that are returned as their wrapper, or as a value of another type.
func TestProvidedValuesAreFoundByType(t *testing.T) {
	k := New()
	assert.NilError(t, k.Provide("limit", 7))
	n, err := Lookup[int](k, "limit")
	assert.NilError(t, err)
	assert.Equal(t, n, 7)
	_, err = Lookup[string](k, "limit")
	assert.ErrorIs(t, err, ErrUnknown)
}
