// Command tamarackd is the daemon of an entry host. One process runs on each entry host.
package main

import (
	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/agent"
	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

func main() { daemon.Main(setup) }

// setup loads the settings and registers the services of the entry host. With checkOnly it only checks the settings.
func setup(path string, checkOnly bool) (*kernel.Kernel, log.Interface, error) {
	s, err := settings.LoadEntry(path)
	if err != nil || checkOnly {
		return nil, nil, err
	}
	t, err := telemetry.New(s.Telemetry, "tamarackd", s.DataCentre+"/"+s.ID)
	if err != nil {
		return nil, nil, err
	}
	k := kernel.New()
	if err := k.Provide(daemon.FlushName, t.Shutdown); err != nil {
		return nil, nil, err
	}
	return k, t.Log, agent.New(k, s, t)
}
