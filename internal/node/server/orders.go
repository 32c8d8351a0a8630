package server

import (
	"net/http"

	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/guard"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// giver gives orders to engines while this node holds the lease for it. Its
// connections are its own, so that the lease is checked at the socket.
func (s *Server) giver() *orders.Giver {
	client := &http.Client{Transport: &http.Transport{DialContext: guard.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}}
	options := orders.Defaults
	options.Config = s.applied.Config
	options.Table = webtab.New(s.settings.TableAddress, client)
	options.Scope = s.watch.scope()
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
