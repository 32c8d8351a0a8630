// Package plain proxies calls to plain services. The configuration states which
// calls are idempotent.
//
// An idempotent call is streamed in both directions and retried within a budget.
// Any other call needs an idempotency key, has its body buffered, and is sent at
// most once.
package plain

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/target/choice"
	"github.com/cicadamill/cicadamill/internal/target/web"
)

// Prefix is the path prefix of all services.
const Prefix = "/v1/services/"

const defaultTimeout = 30 * time.Second

// Ledger executes calls at most once.
type Ledger interface {
	// Run executes a call, or returns the response to an earlier call with the
	// same key.
	Run(ctx context.Context, call once.Call) (ledger.Reply, error)
}

// Options configure a [Handler].
type Options struct {
	// Node is the node's name.
	Node string
	// DataCentre is the node's data centre.
	DataCentre string
	// Config returns the active configuration.
	Config func() site.Config
	// Ledger executes the calls that are not idempotent.
	Ledger Ledger
	// Leaving reports whether a target accepts no new work; nil means that all
	// targets do.
	Leaving func(target string) bool
	// MetricLabel returns the metric label of a workspace, to bound the number of
	// labels; nil uses the names themselves.
	MetricLabel func(workspace string) string
	// Now reads the clock by which the ledger times its calls; nil means [time.Now].
	Now func() time.Time
	// Scope is the scope of the metrics.
	Scope tally.Scope
}

// Handler serves the calls to plain services.
type Handler struct {
	options Options
	client  *web.Client
	ranking *choice.Ranking
	retries retryBudget
	routes  atomic.Pointer[routes]
}

// New returns a handler for paths below [Prefix].
//
//	mux.Handle(plain.Prefix, plain.New(options))
func New(options Options) *Handler {
	if options.Leaving == nil {
		options.Leaving = func(string) bool { return false }
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MetricLabel == nil {
		options.MetricLabel = func(workspace string) string { return workspace }
	}
	return &Handler{options: options, client: web.New(), ranking: choice.New(options.DataCentre), retries: retryBudget{tokens: retryBurst}}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", rand.Text())
	w.Header().Set("X-Cicadamill-Node", h.options.Node)
	config := h.options.Config()
	workspace, ok := auth.New(config).Workspace(r.Header)
	if !ok {
		fault.Write(w, refuse("unauthorized", http.StatusUnauthorized, "send a key of your workspace as a bearer token"))
		return
	}
	call, err := h.matchCall(config, workspace, r)
	if err != nil {
		fault.Write(w, err)
		return
	}
	start := time.Now()
	code := "answered"
	if call.idempotent {
		err = h.serveIdempotent(w, r, call)
	} else {
		err = h.serveOnce(w, r, call)
	}
	if err != nil {
		code = fault.From(err).Code
		fault.Write(w, err)
	}
	h.recordMetrics(workspace, call, code, time.Since(start))
}

func (h *Handler) recordMetrics(workspace site.Workspace, c call, code string, took time.Duration) {
	kind := "once"
	if c.idempotent {
		kind = "idempotent"
	}
	scope := h.options.Scope.Tagged(map[string]string{"kind": kind})
	scope.Tagged(map[string]string{"service": c.service.Name, "code": code}).Counter("service_calls").Inc(1)
	class := workspace.Class
	if class == "" {
		class = "interactive"
	}
	scope.Tagged(map[string]string{"workspace": h.options.MetricLabel(workspace.Name), "class": class}).
		Histogram("service_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// call is a request matched against the configuration.
type call struct {
	workspace  string
	service    site.Service
	uri        string
	idempotent bool
}

func (c call) timeout() time.Duration {
	if c.service.TimeoutMillis > 0 {
		return time.Duration(c.service.TimeoutMillis) * time.Millisecond
	}
	return defaultTimeout
}

// matchCall returns the service and call that a request addresses.
func (h *Handler) matchCall(config site.Config, workspace site.Workspace, r *http.Request) (call, error) {
	name, path, err := splitPath(r)
	if err != nil {
		return call{}, err
	}
	route, ok := h.compiledRoutes(config).byName[name]
	if !ok || !slices.Contains(workspace.Services, name) {
		return call{}, refuse("unknownService", http.StatusNotFound, "this workspace has no such service")
	}
	uri := path
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return call{workspace: workspace.Name, service: route.service, uri: uri, idempotent: route.idempotent(r.Method, path)}, nil
}

// splitPath separates the service's name from the rest of the path. It refuses
// paths that a target might interpret differently from the configuration.
func splitPath(r *http.Request) (name, path string, err error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), Prefix)
	name, path, _ = strings.Cut(rest, "/")
	path = "/" + path
	decoded := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, Prefix), name)
	segments := strings.Split(strings.Trim(decoded, "/"), "/")
	ambiguous := slices.ContainsFunc(segments, func(s string) bool { return s == "." || s == ".." })
	if ambiguous || strings.Contains(decoded, "//") || strings.ContainsAny(decoded, "\\\x00") {
		return "", "", refuse("badPath", http.StatusBadRequest, "the path has empty or relative segments")
	}
	return name, path, nil
}

// availableTargets returns the targets of a service in the active configuration
// that accept work.
func (h *Handler) availableTargets(name string) []site.Target {
	route, ok := h.compiledRoutes(h.options.Config()).byName[name]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(route.service.Targets), func(t site.Target) bool { return h.options.Leaving(t.Name) })
}

// rankedTargets returns the available targets, best first.
func (h *Handler) rankedTargets(name string) []site.Target {
	return h.ranking.Rank(time.Now(), h.availableTargets(name))
}

func refuse(code string, status int, message string) *fault.Error {
	return &fault.Error{Code: code, Status: status, Outcome: effect.NotRun{Reason: code}, Message: message}
}

func noTarget() error {
	e := refuse("noTarget", http.StatusServiceUnavailable, "no target of this service takes work now")
	e.RetryAfter = time.Second
	return e
}
