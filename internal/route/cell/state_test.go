package cell_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cicadamill/cicadamill/internal/route/cell"
)

// BenchmarkState reports the heap bytes of a cell's state by the number of engines
// and the number of blocks that each engine caches, with full cache estimates.
func BenchmarkState(b *testing.B) {
	for _, engines := range []int{6, 12, 24, 48} {
		for _, blocks := range []int{128, 1024, 8192} {
			b.Run(fmt.Sprintf("engines=%d/blocks=%d", engines, blocks), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(stateBytes(engines, blocks)), "state-B")
				}
			})
		}
	}
}

func stateBytes(engines, blocks int) uint64 {
	before := heap()
	m := cell.Targets{All: newTargets(engines)}
	for i := range m.All {
		m.All[i].CacheBlocks = blocks
	}
	h := newHarnessWith(0, m)
	for i := range engines * blocks / 2 {
		h.serve(promptJob(i%997, i))
	}
	h.commands = nil
	after := heap()
	runtime.KeepAlive(h)
	return after - before
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
