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
		All: targets(config), HasStore: config.KVStore != nil, Shares: shares,
		TailTTFT: config.Weights.TailTTFT, Recomputation: config.Weights.Recomputation,
	}
}

// counter returns a function that counts what a loop's cell decides.
func counter(scope tally.Scope) func(cell.Counts) {
	var before cell.Counts
	return func(now cell.Counts) {
		if now.Arrived < before.Arrived {
			before = cell.Counts{}
		}
		values := map[string]uint64{
			"arrived": now.Arrived - before.Arrived, "refused": now.Refused - before.Refused,
			"retried": now.Retried - before.Retried, "expected_tokens": now.Expected - before.Expected,
			"found_tokens": now.Found - before.Found, "prompt_tokens": now.Prompt - before.Prompt,
			"held": now.Held - before.Held, "moved": now.Moved - before.Moved, "imports": now.Imports - before.Imports,
			"spread": now.Spread - before.Spread, "event_gaps": now.Gaps - before.Gaps,
		}
		for name, value := range values {
			if value > 0 {
				scope.Counter(name).Inc(int64(value))
			}
		}
		before = now
	}
}

// importer returns the function that runs the imports of a loop's cell.
func (s *Server) importer(l *loop.Loop) func(ctx context.Context, command cell.Import) {
	return func(ctx context.Context, command cell.Import) {
		go func(ctx context.Context) { _ = l.Send(ctx, s.bring(ctx, command)) }(ctx)
	}
}

// bring runs one import. Its end counts no blocks when it failed.
func (s *Server) bring(ctx context.Context, c cell.Import) cell.Imported {
	began := time.Now()
	result := cell.Imported{Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion}
	client, ok := s.dial(c.Target)
	address, found := s.source(c.Source)
	if !ok || !found {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := client.Import(ctx, engine.Import{
		Workspace: c.Workspace, WeightVersion: c.WeightVersion, Incarnation: c.Incarnation, Source: address, Blocks: c.Blocks,
	})
	result.Took = time.Since(began)
	if err == nil {
		result.Blocks = len(c.Blocks)
	}
	return result
}

// source returns the address of an engine, or of the KV store for an empty name.
func (s *Server) source(name string) (string, bool) {
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
