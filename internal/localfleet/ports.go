package localfleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// ErrNoFreePort means that every port of the range is in use or could not be probed.
var ErrNoFreePort = errors.New("localfleet: no free port")

// firstPort and lastPort bound the ports of the fleet. They lie below the usual range of ephemeral ports, so that an
// outgoing connection does not take a port between the probe and the start of the process that is to listen on it.
const (
	firstPort = 20000
	lastPort  = 31999
)

// ports holds the port that was probed last. It begins at a random port, so that test binaries that run at the same
// time rarely probe the same ones.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddress returns a loopback address whose port was free when it was probed.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", errors.Wrap(ErrNoFreePort, err.Error())
		}
		return address, nil
	}
	return "", errors.Wrapf(ErrNoFreePort, "between %d and %d", firstPort, lastPort)
}

// FreeAddresses returns n loopback addresses whose ports were free when they were probed.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	dst := make([]*string, n)
	for i := range addresses {
		dst[i] = &addresses[i]
	}
	return addresses, assignFreeAddresses(dst...)
}

// assignFreeAddresses sets each element of dst to a free loopback address.
func assignFreeAddresses(dst ...*string) error {
	for _, d := range dst {
		address, err := freeAddress()
		if err != nil {
			return fmt.Errorf("allocate addresses: %w", err)
		}
		*d = address
	}
	return nil
}
