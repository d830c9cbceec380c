// Command tamarack-platform is a fake platform for tests and demonstrations: it keeps its state in memory, and faults
// can be injected.
package main

import (
	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/standin/platformserver"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

func main() { daemon.Main(setup) }

// setup loads the settings and registers the services of the fake platform. With checkOnly it only checks the settings.
func setup(path string, checkOnly bool) (*kernel.Kernel, log.Interface, error) {
	s, err := settings.LoadPlatform(path)
	if err != nil || checkOnly {
		return nil, nil, err
	}
	t, err := telemetry.New(s.Telemetry, "tamarack-platform", s.Listen)
	if err != nil {
		return nil, nil, err
	}
	k := kernel.New()
	if err := k.Provide(daemon.FlushName, t.Shutdown); err != nil {
		return nil, nil, err
	}
	return k, t.Log, platformserver.Register(k, s, t.Log)
}
