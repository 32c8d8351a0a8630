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
	"github.com/cicadamill/cicadamill/internal/target/answer"
)

// peersInterval is how often the follower's peers are updated from the fleet.
const peersInterval = 2 * time.Second

// configs keeps this node's configuration up to date. It is a suture service
// that passes the addresses of live nodes to the follower, which runs as a
// service of its own.
type configs struct {
	server   *Server
	store    *record.Store
	follower *follow.Follower
}

// openConfigs creates the store and the follower, and registers the handlers
// that answer other nodes' configuration requests.
func (s *Server) openConfigs() (*configs, error) {
	scheme, transport, err := s.fleet.transport()
	if err != nil {
		return nil, err
	}
	store := record.New(webtab.New(s.settings.TableAddress, s.http), webobj.New(s.settings.ObjectAddress, s.http))
	c := &configs{server: s, store: store}
	c.follower = follow.New(follow.Options{
		Address: s.fleet.address(), Seed: rand.Uint64(), Store: store, Peers: share.New(scheme, &http.Client{Transport: answer.New(transport)}),
		Apply: func(ctx context.Context, version uint64, config site.Config) error {
			return s.applyConfig(ctx, version, nil, config)
		},
		Scope: s.telemetry.scope(), Logger: s.logger,
	})
	s.fleet.onNewerVersion = func(version uint64, address string) { c.follower.ReceiveHint(address, version) }
	handler := share.Handler(c.follower)
	s.fleet.mux.Handle(share.ConfigPath, handler)
	s.fleet.mux.Handle(share.HintPath, handler)
	return c, nil
}

// Serve updates the follower's peers at a fixed interval until the context ends.
func (c *configs) Serve(ctx context.Context) error {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		c.updatePeers()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *configs) updatePeers() {
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

// applyConfig puts a parsed configuration in force if it is newer than the
// current one. The text is given for the bootstrap configuration only; the
// texts of all other versions are stored in the platform.
func (s *Server) applyConfig(ctx context.Context, version uint64, text []byte, config site.Config) error {
	if !s.applied.Apply(version, text, config) {
		return nil
	}
	s.logger.Info("configuration applied", "version", version)
	s.telemetry.rankWorkspaces(config)
	s.cells.Apply(ctx, config)
	s.fleet.announceVersion(version)
	s.pruneReports(config)
	return nil
}

// pruneReports deletes the reports of engines that are no longer configured.
func (s *Server) pruneReports(config site.Config) {
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
