package server

import (
	"context"
	"crypto/tls"
	"net"
	"os"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/certs"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// callers names the listener for callers in logs and errors. Callers authenticate
// with a bearer key; the clients of all other listeners must present a
// certificate.
const callers = "callers"

// listen opens a listener, with TLS if the settings name key files. It logs a
// warning for a listener without TLS, except the callers' one.
func (s *Server) listen(clients, address string, files local.KeyFiles) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "opening the listener for %s", clients)
	}
	if !files.Configured() {
		if clients != callers {
			s.logger.Warn("listener has no TLS key files; every client that can reach it is trusted", "for", clients, "address", listener.Addr().String())
		}
		return limit.WrapListener(listener), nil
	}
	keys, err := s.keys(clients, files)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, keys.Server()), nil
}

// keys loads key files, which are reloaded when they change. If a reload fails,
// the previous keys stay in use.
func (s *Server) keys(clients string, files local.KeyFiles) (*certs.Files, error) {
	failures := s.telemetry.scope().Counter(keyFileErrors)
	keys, err := certs.New(files, func(err error) {
		failures.Inc(1)
		s.logger.Error("reloading key files failed; keeping the previous ones", "for", clients, "error", err)
	})
	return keys, errors.Annotatef(err, "reading the keys for %s", clients)
}

// bootstrap applies the configuration from the settings, as version zero.
func (s *Server) bootstrap(ctx context.Context) error {
	text, err := s.bootstrapText()
	if err != nil {
		return err
	}
	if len(text) == 0 {
		s.logger.Warn("no bootstrap configuration; refusing callers until a peer or the table provides one")
		return nil
	}
	return errors.Annotate(s.Apply(ctx, 0, text), "applying the bootstrap configuration")
}

// bootstrapText returns the bootstrap configuration from the settings or from the
// file that they name.
func (s *Server) bootstrapText() ([]byte, error) {
	if s.settings.BootstrapFile == "" {
		return s.settings.Bootstrap, nil
	}
	text, err := os.ReadFile(s.settings.BootstrapFile)
	return text, errors.Annotate(err, "reading the bootstrap configuration")
}
