package plain

import (
	"net/http"
	"net/url"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// routes indexes the services of one configuration by name.
type routes struct {
	services []site.Service
	byName   map[string]route
}

type route struct {
	service site.Service
	calls   *http.ServeMux
}

// callKind is a placeholder handler: true marks an idempotent call.
type callKind bool

// ServeHTTP implements [http.Handler]. It is never called: the mux only looks up
// the kind of a call.
func (callKind) ServeHTTP(http.ResponseWriter, *http.Request) {}

// compiledRoutes returns the routes of a configuration, and caches those of the
// last one.
func (h *Handler) compiledRoutes(config site.Config) *routes {
	current := h.routes.Load()
	if current != nil && sameSlice(current.services, config.Services) {
		return current
	}
	next := compile(config.Services)
	h.routes.Store(next)
	return next
}

// sameSlice reports whether two slices share their memory; a configuration is
// immutable once parsed.
func sameSlice(a, b []site.Service) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func compile(services []site.Service) *routes {
	compiled := &routes{services: services, byName: map[string]route{}}
	for _, service := range services {
		mux := http.NewServeMux()
		for _, c := range service.Calls {
			register(mux, c)
		}
		compiled.byName[service.Name] = route{service: service, calls: mux}
	}
	return compiled
}

// register adds a call. A pattern that ServeMux rejects with a panic matches
// nothing, so that its calls count as not idempotent.
func register(mux *http.ServeMux, c site.Call) {
	defer func() { _ = recover() }()
	mux.Handle(c.Method+" "+c.Path, callKind(c.Idempotent))
}

// idempotent reports whether a call may be repeated. Calls that the
// configuration doesn't list may be if their method is GET or HEAD.
func (r route) idempotent(method, escapedPath string) bool {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		return false
	}
	probe := &http.Request{Method: method, URL: &url.URL{Path: path, RawPath: escapedPath}}
	handler, _ := r.calls.Handler(probe)
	if known, ok := handler.(callKind); ok {
		return bool(known)
	}
	return method == http.MethodGet || method == http.MethodHead
}
