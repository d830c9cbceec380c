// Command tamarack-node is the daemon of an entry host on the users' platform, which it reaches through the adapter in
// package platform.
package main

import (
	"os"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/node"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

func main() { daemon.MainWithDefault(os.Getenv(platform.SettingsVariable), setup) }

// setup loads the settings and registers the services of the entry host. With checkOnly it only checks the settings.
func setup(path string, checkOnly bool) (*kernel.Kernel, log.Interface, error) {
	s, err := settings.LoadNode(path)
	if err != nil || checkOnly {
		return nil, nil, err
	}
	t, err := telemetry.New(s.Telemetry, "tamarack-node", s.DataCentre+"/"+s.ID)
	if err != nil {
		return nil, nil, err
	}
	k := kernel.New()
	if err := k.Provide(daemon.FlushName, t.Shutdown); err != nil {
		return nil, nil, err
	}
	return k, t.Log, node.Register(k, path, s, t)
}
