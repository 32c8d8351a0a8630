package server

import (
	"net/http"

	"github.com/cicadamill/cicadamill/internal/infra/boot"
	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/target/answer"
	"github.com/cicadamill/cicadamill/internal/target/egress"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// orderSender returns the service that sends orders to engines while this node
// holds the orders lease. It has an HTTP client of its own, whose connections
// check the lease when they write to the socket.
func (s *Server) orderSender(clock *boot.Clock) *orders.Sender {
	client := &http.Client{Transport: answer.New(&http.Transport{DialContext: egress.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout})}
	options := orders.DefaultOptions
	options.Config = s.applied.Config
	options.Table = webtab.New(s.settings.TableAddress, client)
	options.Now = clock.Now
	options.Scope = s.telemetry.scope()
	options.Logger = s.logger
	options.Dial = func(name string) (engine.Client, bool) {
		for _, e := range s.applied.Config().Engines {
			if e.Name == name {
				return remote.New(e.Address, client), true
			}
		}
		return nil, false
	}
	return orders.New(options)
}
