package server

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// maxConfigBytes limits the body of an operator's request.
const maxConfigBytes = 32 << 20

// operators is a suture service that serves the operators' listener: metrics, the
// configuration API, status and profiles. Of its paths, the callers' listener
// serves only health and readiness.
type operators struct {
	server   *Server
	configs  *configs
	listener net.Listener
}

// openOperators opens the operators' listener. It returns nil if the settings have
// no address for it.
func (s *Server) openOperators(c *configs) (*operators, error) {
	if s.settings.OperatorAddress == "" {
		return nil, nil
	}
	listener, err := s.listen("operators", s.settings.OperatorAddress, s.settings.OperatorTLS)
	if err != nil {
		return nil, err
	}
	return &operators{server: s, configs: c, listener: listener}, nil
}

// address returns the address of the listener, or "" without one.
func (o *operators) address() string {
	if o == nil {
		return ""
	}
	return o.listener.Addr().String()
}

// Serve serves the operators' listener until the context ends.
func (o *operators) Serve(ctx context.Context) error {
	limits := o.server.settings.Limits
	limits.BodyBytes = maxConfigBytes
	server := limit.Server(o.handler(), limits)
	ended := make(chan error, 1)
	go func(context.Context) { ended <- server.Serve(o.listener) }(ctx)
	select {
	case err := <-ended:
		return errors.Annotate(err, "serving operators")
	case <-ctx.Done():
	}
	_ = server.Close()
	<-ended
	return ctx.Err()
}

func (o *operators) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.server.telemetry.meter.Handler())
	o.registerAPI(mux)
	if o.server.settings.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return o.server.telemetry.health.Wrap(mux)
}
