package bench

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/simul"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

func newCellDecider(_ synth.Site, seed uint64) simul.Decider {
	return &cellDecider{state: cell.New(cell.WithSeed(seed))}
}
