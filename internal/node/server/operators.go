package server

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// maxConfigBytes bounds what an operator may send.
const maxConfigBytes = 32 << 20

// operators is the listener for operators, a suture service. It is apart from
// the callers' listener and answers nothing that a caller could reach.
type operators struct {
	server   *Server
	configs  *configs
	listener net.Listener
}

// openOperators opens the operators' listener; without an address there is none.
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

// address returns where operators connect; empty without a listener.
func (o *operators) address() string {
	if o == nil {
		return ""
	}
	return o.listener.Addr().String()
}

// Serve answers operators until the context ends.
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
	mux.Handle("GET /metrics", o.server.watch.meter.Handler())
	o.manage(mux)
	if o.server.settings.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return o.server.watch.health.Around(mux)
}
