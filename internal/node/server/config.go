package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/record"
	"github.com/cicadamill/cicadamill/internal/config/share"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/infra/webobj"
	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/node/follow"
)

// peersInterval is how often the list of nodes is taken over from the fleet.
const peersInterval = 2 * time.Second

// configs keeps this node's configuration up to date, a suture service beside
// the follower that it feeds.
type configs struct {
	server   *Server
	store    *record.Store
	follower *follow.Follower
}

// openConfigs prepares the parts and takes its place on the peers' listener.
func (s *Server) openConfigs() (*configs, error) {
	scheme, transport, err := s.fleet.transport()
	if err != nil {
		return nil, err
	}
	store := record.New(webtab.New(s.settings.TableAddress, s.http), webobj.New(s.settings.ObjectAddress, s.http))
	c := &configs{server: s, store: store}
	c.follower = follow.New(follow.Options{
		Self: s.fleet.address(), Seed: rand.Uint64(), Store: store, Peers: share.New(scheme, &http.Client{Transport: transport}),
		Apply: func(ctx context.Context, version uint64, config site.Config) error {
			return s.put(ctx, version, nil, config)
		},
		Scope: s.watch.scope(), Logger: s.logger,
	})
	s.fleet.heard = func(version uint64, address string) { c.follower.Hear(address, version) }
	handler := share.Handler(c.follower)
	s.fleet.mux.Handle(share.ConfigPath, handler)
	s.fleet.mux.Handle(share.HintPath, handler)
	return c, nil
}

// Serve tells the follower which nodes there are, until the context ends.
func (c *configs) Serve(ctx context.Context) error {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		c.takeOver()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *configs) takeOver() {
	gossip := c.server.fleet.gossip
	if gossip == nil {
		return
	}
	var addresses []string
	nodes := gossip.Nodes()
	for _, node := range nodes {
		if !node.Self && node.Up() && node.Address != "" {
			addresses = append(addresses, node.Address)
		}
	}
	c.follower.SetPeers(addresses, len(nodes))
}

// put applies a checked configuration as a whole, if it is newer. Only the
// bootstrap configuration brings its text; the others' lie in the platform.
func (s *Server) put(ctx context.Context, version uint64, text []byte, config site.Config) error {
	if !s.applied.Apply(version, text, config) {
		return nil
	}
	s.logger.Info("configuration applied", "version", version)
	s.watch.rank(config)
	s.cells.Apply(ctx, config)
	s.fleet.applied(version)
	s.forgetReports(config)
	return nil
}

// forgetReports drops what was seen of engines that are gone.
func (s *Server) forgetReports(config site.Config) {
	known := make(map[string]bool, len(config.Engines))
	for _, e := range config.Engines {
		known[e.Name] = true
	}
	s.reports.Range(func(name, _ any) bool {
		if !known[name.(string)] {
			s.reports.Delete(name)
		}
		return true
	})
}
