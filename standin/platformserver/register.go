package platformserver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// controlTimeout bounds one request to the control port of a target.
const controlTimeout = 2 * time.Second

// Register adds the services of the platform stand-in to k.
func Register(k *kernel.Kernel, s *settings.Platform, logger log.Interface) error {
	r := &targetRebooter{log: logger, rebootTime: s.RebootTime, controlAddresses: make(map[string]string)}
	p := memory.New(memory.Options{
		ListLag: s.ListLag, UsageLag: s.UsageLag, RebootTime: s.RebootTime, OnReboot: r.reboot,
	})
	for _, h := range s.Hosts {
		p.SetHost(structs.HostState{Name: h.Name, DataCentre: h.DataCentre, Incarnation: 1, Live: true})
		r.controlAddresses[h.Name] = h.Control
	}
	server := New(p)
	return errors.Join(
		k.Register("api", daemon.NewHTTPServer(daemon.HTTPOptions{Address: s.Listen, Handler: server.API()})),
		k.Register("control", daemon.NewHTTPServer(daemon.HTTPOptions{Address: s.ControlListen, Handler: server.Control()})),
	)
}

// targetRebooter makes the target stand-in on a rebooted host close its connections for the time of the reboot.
type targetRebooter struct {
	log        log.Interface
	rebootTime time.Duration
	// controlAddresses holds the control address of the target on each host; it is empty for hosts without a target.
	controlAddresses map[string]string
}

func (r *targetRebooter) reboot(host string) {
	address := r.controlAddresses[host]
	if address == "" {
		return
	}
	body, err := json.Marshal(targetserver.RebootRequest{Down: r.rebootTime})
	if err != nil {
		r.log.WithError(err).Error("cannot encode the reboot request")
		return
	}
	c := http.Client{Timeout: controlTimeout}
	resp, err := c.Post("http://"+address+"/control/reboot", "application/json", bytes.NewReader(body))
	if err != nil {
		r.log.WithError(err).WithField("host", host).Error("reboot of the target failed")
		return
	}
	if err := resp.Body.Close(); err != nil {
		r.log.WithError(err).Warn("cannot close the response of the control port")
	}
}
