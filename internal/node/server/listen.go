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

// callers show a bearer key; everybody else must show a certificate.
const callers = "callers"

// listen opens a listener, with TLS when key files are named.
func (s *Server) listen(who, address string, files local.KeyFiles) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "opening the listener for %s", who)
	}
	if !files.Set() {
		if who != callers {
			s.logger.Warn("no key files for this listener: whoever reaches it is trusted", "for", who, "address", listener.Addr().String())
		}
		return limit.Listen(listener), nil
	}
	keys, err := s.keys(who, files)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, keys.Server()), nil
}

// keys reads key files that are followed while the node runs.
func (s *Server) keys(who string, files local.KeyFiles) (*certs.Files, error) {
	failures := s.watch.scope().Counter(keyFileErrors)
	keys, err := certs.New(files, func(err error) {
		failures.Inc(1)
		s.logger.Error("new key files can't be used, the earlier ones stay", "for", who, "error", err)
	})
	return keys, errors.Annotatef(err, "reading the keys for %s", who)
}

// bootstrap applies the configuration from the settings, as version zero.
func (s *Server) bootstrap(ctx context.Context) error {
	text, err := s.bootstrapText()
	if err != nil {
		return err
	}
	if len(text) == 0 {
		s.logger.Warn("no bootstrap configuration: callers are refused until a peer or the table answers")
		return nil
	}
	return errors.Annotate(s.Apply(ctx, 0, text), "applying the bootstrap configuration")
}

// bootstrapText reads that configuration, in the settings or from its file.
func (s *Server) bootstrapText() ([]byte, error) {
	if s.settings.BootstrapFile == "" {
		return s.settings.Bootstrap, nil
	}
	text, err := os.ReadFile(s.settings.BootstrapFile)
	return text, errors.Annotate(err, "reading the bootstrap configuration")
}
