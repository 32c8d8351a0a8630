package world

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
)

// bring imports blocks into an engine. Each engine imports one block after
// another, and so does the KV store hand them out.
func (w *World) bring(d *desk, c cell.Import) {
	n := w.engines[c.Target]
	found := 0
	for _, block := range c.Blocks {
		if !n.engine.Has(block) && !w.has(c.Source, block) {
			break
		}
		found++
	}
	missing := 0
	for _, block := range c.Blocks[:found] {
		if !n.engine.Has(block) {
			missing++
		}
	}
	began := w.now
	finish := w.now.Add(importBase)
	if missing > 0 {
		n.linked = later(n.linked, w.now).Add(time.Duration(missing) * importPerBlock)
		finish = n.linked.Add(importBase)
	}
	if c.Source == "" {
		w.stored = later(w.stored, w.now).Add(time.Duration(missing) * storePerBlock)
		finish = later(finish, w.stored)
	}
	w.queue.add(finish, func() {
		w.apply(n, cost.Bring{Incarnation: c.Incarnation, Blocks: c.Blocks[:found]}, attempt{})
		w.tell(d, cell.Imported{
			Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion,
			Blocks: found, Took: w.now.Sub(began),
		})
	})
}

func (w *World) has(source string, block uint64) bool {
	if source != "" {
		return w.engines[source].engine.Has(block)
	}
	return !w.storeDown() && w.store.Contains(block)
}

// storeDown reports whether the KV store is away: it fails with the routers.
func (w *World) storeDown() bool { return w.now.Sub(w.start) >= w.load.StoreDownFrom }

func (w *World) keep(blocks []uint64) {
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
