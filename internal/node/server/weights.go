package server

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// weightsInterval is how long the weight versions derived from the engines'
// reports are cached.
const weightsInterval = 250 * time.Millisecond

// weights caches the configuration that requests use. While engines are loading a
// new weight version that few of them serve yet, it holds the version that most
// of them serve.
type weights struct {
	mu      sync.Mutex
	at      time.Time
	version uint64
	config  site.Config
}

// servedConfig returns the configuration in force, with each model's weight
// version replaced by the one that requests should use now.
func (s *Server) servedConfig() site.Config {
	s.weights.mu.Lock()
	defer s.weights.mu.Unlock()
	now, version := time.Now(), s.applied.Version()
	fresh := now.Sub(s.weights.at) < weightsInterval
	if fresh && s.weights.version == version {
		return s.weights.config
	}
	config := s.applied.Config()
	config.Models = slices.Clone(config.Models)
	for i, model := range config.Models {
		config.Models[i].WeightVersion = order.CurrentVersion(model.WeightVersion, s.modelReports(config, model.Name))
	}
	s.weights.at, s.weights.version, s.weights.config = now, version, config
	return config
}

func (s *Server) modelReports(config site.Config, model string) []engine.LoadReport {
	var reports []engine.LoadReport
	for _, e := range config.Engines {
		if e.Model != model {
			continue
		}
		if seen, ok := s.reports.Load(e.Name); ok {
			reports = append(reports, seen.(engine.LoadReport))
		}
	}
	return reports
}
