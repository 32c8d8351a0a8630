package simul

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
)

// importBlocks simulates the import of blocks into an engine. Transfers into one
// engine are serialized, and so are reads from the KV store.
func (s *Simulation) importBlocks(d *instance, c cell.Import) {
	e := s.engines[c.Target]
	found := 0
	for _, block := range c.Blocks {
		if !e.engine.Has(block) && !s.sourceHas(c.Source, block) {
			break
		}
		found++
	}
	missing := 0
	for _, block := range c.Blocks[:found] {
		if !e.engine.Has(block) {
			missing++
		}
	}
	started := s.now
	finishAt := s.now.Add(importLatency)
	if missing > 0 {
		e.linkFreeAt = later(e.linkFreeAt, s.now).Add(time.Duration(missing) * importTimePerBlock)
		finishAt = e.linkFreeAt.Add(importLatency)
	}
	if c.Source == "" {
		s.storeFreeAt = later(s.storeFreeAt, s.now).Add(time.Duration(missing) * storeTimePerBlock)
		finishAt = later(finishAt, s.storeFreeAt)
	}
	s.queue.add(finishAt, func() {
		s.updateEngine(e, cost.Import{Incarnation: c.Incarnation, Blocks: c.Blocks[:found]}, attempt{})
		s.deliver(d, cell.Imported{
			Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion,
			Blocks: found, Took: s.now.Sub(started),
		})
	})
}

func (s *Simulation) sourceHas(source string, block uint64) bool {
	if source != "" {
		return s.engines[source].engine.Has(block)
	}
	return !s.storeDown() && s.store.Contains(block)
}

// storeDown reports whether the KV store is unavailable. Loads that restart the
// routers take the store down at the same time.
func (s *Simulation) storeDown() bool { return s.now.Sub(s.start) >= s.load.StoreDownFrom }

func (s *Simulation) saveToStore(blocks []uint64) {
	if s.storeDown() {
		return
	}
	for _, block := range blocks {
		s.store.Add(block, struct{}{})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
