// Package kernel provides the service registry of a process. Services look up
// each other by name. The kernel starts them in registration order and stops
// them in reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Errors of registration and lookup.
var (
	// ErrDuplicate means that a name was registered twice.
	ErrDuplicate = errors.New("kernel: service is already registered")
	// ErrUnknown means that no service has the name, or that it has another type.
	ErrUnknown = errors.New("kernel: unknown service")
)

// Service is a component of a process with a life cycle.
type Service interface {
	// Provision looks up the services that this one depends on. All services are provisioned before the first one starts.
	Provision(k *Kernel) error
	// Start starts the service without blocking.
	Start(ctx context.Context) error
	// Stop stops the service and waits until it is idle or ctx ends.
	Stop(ctx context.Context) error
}

// Kernel is the service registry of one process.
type Kernel struct {
	mu       sync.Mutex
	services map[string]Service
	// order holds the names in the order of registration.
	order []string
	// started holds the names of the running services in the order of their start.
	started []string
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds a service under a name. Services start in the order of registration. The error matches ErrDuplicate if the
// name is taken.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return errors.Wrap(ErrDuplicate, name)
	}
	k.services[name] = s
	k.order = append(k.order, name)
	return nil
}

// valueService registers a value that has no life cycle as a Service.
type valueService struct{ v any }

func (valueService) Provision(*Kernel) error     { return nil }
func (valueService) Start(context.Context) error { return nil }
func (valueService) Stop(context.Context) error  { return nil }

// Provide registers a value that needs neither start nor stop, for Lookup by other services.
func (k *Kernel) Provide(name string, v any) error { return k.Register(name, valueService{v}) }

// Lookup returns the service or value registered under name as type T. The error matches ErrUnknown if there is none, or if
// it is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errors.Wrap(ErrUnknown, name)
	}
	var found any = s
	if v, ok := s.(valueService); ok {
		found = v.v
	}
	t, ok := found.(T)
	if !ok {
		return zero, errors.Wrapf(ErrUnknown, "%s has type %T", name, found)
	}
	return t, nil
}

// Start provisions all services, then starts them in the order of registration. If one fails to start, it stops those
// already started and returns all errors joined.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.order {
		if err := k.services[name].Provision(k); err != nil {
			return errors.Wrapf(err, "provision %s", name)
		}
	}
	for _, name := range k.order {
		if err := k.services[name].Start(ctx); err != nil {
			err = errors.Wrapf(err, "start %s", name)
			return errors.Join(err, k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

// Stop stops the started services in reverse order and returns their errors joined.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := k.services[name].Stop(ctx); err != nil {
			errs = append(errs, errors.Wrapf(err, "stop %s", name))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}
