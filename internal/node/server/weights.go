package server

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// weightsInterval is how often the reports are looked at for the versions that
// requests should name.
const weightsInterval = 250 * time.Millisecond

// weights keeps the configuration as requests see it while engines are being
// loaded: in place of a version that few of them serve yet stands the one that
// most of them do.
type weights struct {
	mu      sync.Mutex
	at      time.Time
	version uint64
	config  site.Config
}

// served returns the configuration in force with the weight versions that
// requests should name now.
func (s *Server) served() site.Config {
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
		config.Models[i].WeightVersion = order.Served(model.WeightVersion, s.reportsOf(config, model.Name))
	}
	s.weights.at, s.weights.version, s.weights.config = now, version, config
	return config
}

func (s *Server) reportsOf(config site.Config, model string) []engine.Load {
	var reports []engine.Load
	for _, e := range config.Engines {
		if e.Model != model {
			continue
		}
		if seen, ok := s.reports.Load(e.Name); ok {
			reports = append(reports, seen.(engine.Load))
		}
	}
	return reports
}
