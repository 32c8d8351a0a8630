package bench

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
	"github.com/cicadamill/cicadamill/internal/tool/world"
)

func own(trace.Site, uint64) world.Decider { return &slice{state: cell.New()} }
