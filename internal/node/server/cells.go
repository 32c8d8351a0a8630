package server

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const importTimeout = 5 * time.Second

// cellTargets converts the parts of a configuration that a cell uses. A
// workspace without a share gets a share of 1.
func cellTargets(config site.Config) cell.Targets {
	shares := make(map[string]float64, len(config.Workspaces))
	for _, w := range config.Workspaces {
		shares[w.Name] = w.Share
		if w.Share <= 0 {
			shares[w.Name] = 1
		}
	}
	return cell.Targets{
		All: engineTargets(config), HasStore: config.KVStore != nil, Shares: shares,
		TailTTFT: config.Weights.TailTTFT, Recomputation: config.Weights.Recomputation,
	}
}

// decisionCounter returns a function that adds the increase of a cell's counts
// to the metrics. Counts that go down mean that the cell has restarted; they are
// then added from zero.
func decisionCounter(scope tally.Scope) func(cell.Counts) {
	var previous cell.Counts
	return func(now cell.Counts) {
		if now.Arrived < previous.Arrived {
			previous = cell.Counts{}
		}
		values := map[string]uint64{
			"arrived": now.Arrived - previous.Arrived, "refused": now.Refused - previous.Refused,
			"retried": now.Retried - previous.Retried, "expected_tokens": now.Expected - previous.Expected,
			"found_tokens": now.Found - previous.Found, "prompt_tokens": now.Prompt - previous.Prompt,
			"held": now.Held - previous.Held, "moved": now.Moved - previous.Moved, "imports": now.Imports - previous.Imports,
			"spread": now.Replicated - previous.Replicated, "event_gaps": now.Gaps - previous.Gaps,
		}
		for name, value := range values {
			if value > 0 {
				scope.Counter(name).Inc(int64(value))
			}
		}
		previous = now
	}
}

// importer returns a function that runs a cell's cache imports in the background
// and sends each result back to the cell's loop.
func (s *Server) importer(l *loop.Loop) func(ctx context.Context, command cell.Import) {
	return func(ctx context.Context, command cell.Import) {
		go func(ctx context.Context) { _ = l.Send(ctx, s.runImport(ctx, command)) }(ctx)
	}
}

// runImport has an engine import cache blocks. A failed import is reported with
// zero blocks.
func (s *Server) runImport(ctx context.Context, c cell.Import) cell.Imported {
	began := time.Now()
	result := cell.Imported{Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion}
	client, ok := s.dial(c.Target)
	address, found := s.sourceAddress(c.Source)
	if !ok || !found {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := client.Import(ctx, engine.ImportRequest{
		Workspace: c.Workspace, WeightVersion: c.WeightVersion, Incarnation: c.Incarnation, Source: address, Blocks: c.Blocks,
	})
	result.Took = time.Since(began)
	if err == nil {
		result.Blocks = len(c.Blocks)
	}
	return result
}

// sourceAddress returns the address of an engine, or of the KV store if the name
// is empty.
func (s *Server) sourceAddress(name string) (string, bool) {
	config := s.applied.Config()
	if name == "" {
		if config.KVStore == nil {
			return "", false
		}
		return config.KVStore.Address, true
	}
	for _, e := range config.Engines {
		if e.Name == name {
			return e.Address, true
		}
	}
	return "", false
}
