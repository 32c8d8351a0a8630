package world

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
)

// importBlocks simulates the import of blocks into an engine. Transfers into one
// engine are serialized, and so are reads from the KV store.
func (w *World) importBlocks(d *instance, c cell.Import) {
	e := w.engines[c.Target]
	found := 0
	for _, block := range c.Blocks {
		if !e.engine.Has(block) && !w.sourceHas(c.Source, block) {
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
	started := w.now
	finishAt := w.now.Add(importLatency)
	if missing > 0 {
		e.linkFreeAt = later(e.linkFreeAt, w.now).Add(time.Duration(missing) * importTimePerBlock)
		finishAt = e.linkFreeAt.Add(importLatency)
	}
	if c.Source == "" {
		w.storeFreeAt = later(w.storeFreeAt, w.now).Add(time.Duration(missing) * storeTimePerBlock)
		finishAt = later(finishAt, w.storeFreeAt)
	}
	w.queue.add(finishAt, func() {
		w.updateEngine(e, cost.Import{Incarnation: c.Incarnation, Blocks: c.Blocks[:found]}, attempt{})
		w.deliver(d, cell.Imported{
			Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion,
			Blocks: found, Took: w.now.Sub(started),
		})
	})
}

func (w *World) sourceHas(source string, block uint64) bool {
	if source != "" {
		return w.engines[source].engine.Has(block)
	}
	return !w.storeDown() && w.store.Contains(block)
}

// storeDown reports whether the KV store is unavailable. Loads that restart the
// routers take the store down at the same time.
func (w *World) storeDown() bool { return w.now.Sub(w.start) >= w.load.StoreDownFrom }

func (w *World) saveToStore(blocks []uint64) {
	if w.storeDown() {
		return
	}
	for _, block := range blocks {
		w.store.Add(block, struct{}{})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
