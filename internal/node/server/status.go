package server

import (
	"net/http"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func (o *operators) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := o.server
	config := s.applied.Config()
	status := admin.Status{
		Node: s.settings.Name, DataCentre: s.settings.DataCentre, Ready: s.telemetry.health.Ready(),
		Site: config.Site, Version: s.applied.Version(), Nodes: s.nodeStatus(), Targets: s.targetStatus(config),
		Workspaces: s.telemetry.loads(),
	}
	if flag := o.configs.follower.Flag(); flag != nil {
		status.Flag = flag.String()
	}
	writeJSON(w, status)
}

// nodeStatus returns the state of all nodes as known to this node.
func (s *Server) nodeStatus() []admin.Node {
	if s.fleet.gossip == nil {
		return []admin.Node{{Name: s.settings.Name, DataCentre: s.settings.DataCentre, State: "alive", Version: s.applied.Version()}}
	}
	var nodes []admin.Node
	for _, node := range s.fleet.gossip.Nodes() {
		listed := admin.Node{Name: node.Name, DataCentre: node.DataCentre, Address: node.Address, State: node.State, Version: node.Version}
		if node.Self {
			listed.Version = s.applied.Version()
		}
		nodes = append(nodes, listed)
	}
	return nodes
}

// targetStatus returns all engines with their latest reports to this node.
func (s *Server) targetStatus(config site.Config) []admin.Target {
	targets := make([]admin.Target, 0, len(config.Engines))
	for _, e := range config.Engines {
		target := admin.Target{Name: e.Name, DataCentre: e.DataCentre, Model: e.Model}
		if seen, ok := s.reports.Load(e.Name); ok {
			report := seen.(engine.LoadReport)
			target.Incarnation, target.WeightVersion = report.Incarnation, report.WeightVersion
			target.Running, target.Waiting, target.Leaving = report.Running, report.Waiting, report.Leaving
		}
		target.Leaving = target.Leaving || s.fleet.isLeaving(e.Name, target.Incarnation)
		targets = append(targets, target)
	}
	return targets
}
