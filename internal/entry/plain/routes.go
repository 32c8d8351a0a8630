package plain

import (
	"net/http"
	"net/url"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// routes are the services of one configuration, ready for look-up.
type routes struct {
	from   []site.Service
	byName map[string]route
}

type route struct {
	service site.Service
	calls   *http.ServeMux
}

// kind is a handler that stands for a kind of call.
type kind bool

// ServeHTTP implements [http.Handler]; a kind is only ever looked up.
func (kind) ServeHTTP(http.ResponseWriter, *http.Request) {}

// compiled returns the routes of a configuration, made once for each.
func (h *Handler) compiled(config site.Config) *routes {
	current := h.routes.Load()
	if current != nil && same(current.from, config.Services) {
		return current
	}
	next := compile(config.Services)
	h.routes.Store(next)
	return next
}

// same reports whether two lists are the same in memory; a configuration never
// changes once it is parsed.
func same(a, b []site.Service) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func compile(services []site.Service) *routes {
	compiled := &routes{from: services, byName: map[string]route{}}
	for _, service := range services {
		mux := http.NewServeMux()
		for _, c := range service.Calls {
			register(mux, c)
		}
		compiled.byName[service.Name] = route{service: service, calls: mux}
	}
	return compiled
}

// register adds a kind of call. A pattern that can't be used matches nothing,
// so that its calls count as not idempotent.
func register(mux *http.ServeMux, c site.Call) {
	defer func() { _ = recover() }()
	mux.Handle(c.Method+" "+c.Path, kind(c.Idempotent))
}

// idempotent reports whether a call may be repeated.
func (r route) idempotent(method, escapedPath string) bool {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		return false
	}
	probe := &http.Request{Method: method, URL: &url.URL{Path: path, RawPath: escapedPath}}
	handler, _ := r.calls.Handler(probe)
	if known, ok := handler.(kind); ok {
		return bool(known)
	}
	return method == http.MethodGet || method == http.MethodHead
}
