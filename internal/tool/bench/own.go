package bench

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
	"github.com/cicadamill/cicadamill/internal/tool/world"
)

func newCellDecider(_ trace.Site, seed uint64) world.Decider {
	return &cellDecider{state: cell.New(cell.WithSeed(seed))}
}
