package server

import (
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/node/flow"
	"github.com/cicadamill/cicadamill/internal/node/guard"
)

// streams are the parts of a node that keep streams whole.
type streams struct {
	guard *guard.Guard
	flow  []flow.Option
	front front.Option
}

func newStreams(w watch) streams {
	scope := w.scope().SubScope("stream")
	g := guard.New(scope)
	return streams{
		guard: g,
		flow:  []flow.Option{flow.WithGuard(g), flow.WithScope(scope)},
		front: front.WithScope(scope),
	}
}
