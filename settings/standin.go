package settings

import (
	"net/netip"
	"strings"
	"time"
)

// Platform holds the settings of the platform stand-in, which simulates the users' platform.
type Platform struct {
	// Listen is the IP:PORT of the API of the platform, ControlListen that of the API that controls the simulation.
	Listen        string
	ControlListen string
	// ListLag is how far the list of hosts lags behind.
	ListLag time.Duration
	// UsageLag is how far the reported usage of tasks lags behind.
	UsageLag time.Duration
	// RebootTime is how long a host is not live during a reboot.
	RebootTime time.Duration
	// Hosts lists the hosts that are live from the start, with incarnation 1.
	Hosts     []PlatformHost
	Telemetry Telemetry
}

// PlatformHost is one machine of the platform.
type PlatformHost struct {
	Name       string
	DataCentre string
	// Control is the address of the control API of the target on the machine; empty for machines without a target.
	Control string
}

// LoadPlatform reads and validates the settings of the platform stand-in.
func LoadPlatform(path string) (*Platform, error) {
	l, err := Open(path)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Listen:        l.Address("listen", "api", ""),
		ControlListen: l.Address("listen", "control", ""),
		ListLag:       l.Duration("platform", "list_lag", time.Second, 0, time.Hour),
		UsageLag:      l.Duration("platform", "usage_lag", 2*time.Second, 0, time.Hour),
		RebootTime:    l.Duration("platform", "reboot_time", 2*time.Second, 0, time.Hour),
		Telemetry:     ReadTelemetry(l),
	}
	for _, item := range l.List("platform", "hosts") {
		h, ok := parsePlatformHost(item)
		if !ok {
			l.Fail("platform", "hosts", item, "items of the form DC/HOST or DC/HOST@CONTROL_IP:PORT")
			continue
		}
		p.Hosts = append(p.Hosts, h)
	}
	return p, l.Err()
}

// parsePlatformHost parses an item of the form DC/HOST or DC/HOST@CONTROL_IP:PORT.
func parsePlatformHost(item string) (PlatformHost, bool) {
	name, control, hasControl := strings.Cut(item, "@")
	dc, host, ok := strings.Cut(name, "/")
	if !ok || !ValidName(dc) || !ValidName(host) {
		return PlatformHost{}, false
	}
	if hasControl {
		if _, err := netip.ParseAddrPort(control); err != nil {
			return PlatformHost{}, false
		}
	}
	return PlatformHost{Name: host, DataCentre: dc, Control: control}, true
}

// Target holds the settings of the target stand-in, which simulates a target.
type Target struct {
	// Host is the name of the machine of the target.
	Host string
	// Listen is the IP:PORT that requests are served at, ControlListen that of the API that controls the simulation.
	Listen        string
	ControlListen string
	// Slots is the number of requests that are executed at the same time.
	Slots int
	// Connections bounds the open connections.
	Connections int
	Telemetry   Telemetry
}

// LoadTarget reads and validates the settings of the target stand-in.
func LoadTarget(path string) (*Target, error) {
	l, err := Open(path)
	if err != nil {
		return nil, err
	}
	t := &Target{
		Host:          l.Name("target", "host"),
		Listen:        l.Address("listen", "work", ""),
		ControlListen: l.Address("listen", "control", ""),
		Slots:         l.Int("target", "slots", 8, 1, 1024),
		Connections:   l.Int("target", "connections", 64, 1, 65536),
		Telemetry:     ReadTelemetry(l),
	}
	return t, l.Err()
}
