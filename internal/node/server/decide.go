package server

import (
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/cell"
)

// engineList is what the cell needs to know of a configuration.
func engineList(config site.Config) cell.Targets {
	shares := make(map[string]float64, len(config.Workspaces))
	for _, w := range config.Workspaces {
		shares[w.Name] = w.Share
		if w.Share <= 0 {
			shares[w.Name] = 1
		}
	}
	return cell.Targets{
		All: targets(config), Shares: shares,
		TailTTFT: config.Weights.TailTTFT, Recomputation: config.Weights.Recomputation,
	}
}
