package targetserver

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/settings"
)

// Register adds the services of the target stand-in to k.
func Register(k *kernel.Kernel, s *settings.Target) error {
	server := New(Options{Host: s.Host, Slots: s.Slots})
	work := daemon.NewHTTPServer(daemon.HTTPOptions{
		Address: s.Listen, Handler: server.API(),
		WrapListener: func(l net.Listener) net.Listener {
			server.listener = NewListener(l, s.Connections)
			return server.listener
		},
	})
	control := daemon.NewHTTPServer(daemon.HTTPOptions{Address: s.ControlListen, Handler: server.Control()})
	return errors.Join(k.Register("work", work), k.Register("control", control))
}

// registerConnectionControls adds the controls of the listener. Without a listener, as with httptest, they have no effect.
func (s *Server) registerConnectionControls(mux *http.ServeMux) {
	mux.HandleFunc("POST /control/silence", func(http.ResponseWriter, *http.Request) {
		if s.listener != nil {
			s.listener.Silence()
		}
	})
	mux.HandleFunc("POST /control/reboot", s.handleReboot)
}
