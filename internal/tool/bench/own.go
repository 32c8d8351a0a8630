package bench

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
	"github.com/cicadamill/cicadamill/internal/tool/world"
)

func own(_ trace.Site, seed uint64) world.Decider {
	return &slice{state: cell.New(cell.WithSeed(seed))}
}
