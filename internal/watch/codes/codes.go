// Package codes counts the answers that told a caller of a failure.
package codes

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/watch/label"
)

// maxCodes bounds the label values at a time. Codes are constants of this program, far
// fewer than this.
const maxCodes = 64

// Handler counts the failures that another handler answered with, by code, as
// "refusals".
type Handler struct {
	next  http.Handler
	scope tally.Scope
	seen  *label.Set
}

// New returns a handler around next.
//
//	handler := codes.New(front.New(node, config, runner), scope)
func New(next http.Handler, scope tally.Scope) *Handler {
	return &Handler{next: next, scope: scope, seen: label.New(maxCodes)}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.next.ServeHTTP(w, r)
	code := w.Header().Get(fault.CodeHeader)
	if code == "" {
		return
	}
	h.scope.Tagged(map[string]string{"code": h.seen.Admit(code)}).Counter("refusals").Inc(1)
}
