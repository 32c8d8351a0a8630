// Package codes counts error responses by their code.
package codes

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/watch/label"
)

// maxCodes bounds the label values at a time. Error codes are constants of this
// program, far fewer than this.
const maxCodes = 64

// Handler wraps a handler and counts its error responses by code in the metric
// "refusals".
type Handler struct {
	next   http.Handler
	scope  tally.Scope
	labels *label.Set
}

// New returns a handler that wraps next.
//
//	handler := codes.New(front.New(node, config, runner), scope)
func New(next http.Handler, scope tally.Scope) *Handler {
	return &Handler{next: next, scope: scope, labels: label.New(maxCodes)}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.next.ServeHTTP(w, r)
	code := w.Header().Get(fault.CodeHeader)
	if code == "" {
		return
	}
	h.scope.Tagged(map[string]string{"code": h.labels.Admit(code)}).Counter("refusals").Inc(1)
}
