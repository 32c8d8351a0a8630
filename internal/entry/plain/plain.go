// Package plain serves calls to plain services: it finds out from the
// configuration whether a call may be repeated and treats it accordingly.
//
// A call that may be repeated is streamed both ways and sent again within a
// budget. Any other call needs an idempotency key, is read whole, and is sent
// at most once.
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

// Prefix is the path below which the services are.
const Prefix = "/v1/services/"

const defaultTimeout = 30 * time.Second

// Ledger runs a call at most once.
type Ledger interface {
	// Run runs a call or gives the answer of an earlier one of the same key.
	Run(ctx context.Context, call once.Call) (ledger.Reply, error)
}

// Options are what a [Handler] needs.
type Options struct {
	// Node is the node's name.
	Node string
	// DataCentre is where the node stands.
	DataCentre string
	// Config returns the configuration in force.
	Config func() site.Config
	// Ledger runs the calls that may not be repeated.
	Ledger Ledger
	// Leaving reports whether a target wants no new work; nil means none does.
	Leaving func(target string) bool
	// Label bounds the names that metrics carry; nil leaves them as they are.
	Label func(workspace string) string
	// Scope takes the metrics.
	Scope tally.Scope
}

// Handler serves callers.
type Handler struct {
	options Options
	client  *web.Client
	ranking *choice.Ranking
	retries budget
	routes  atomic.Pointer[routes]
}

// New returns a handler for paths below [Prefix].
//
//	mux.Handle(plain.Prefix, plain.New(options))
func New(options Options) *Handler {
	if options.Leaving == nil {
		options.Leaving = func(string) bool { return false }
	}
	if options.Label == nil {
		options.Label = func(workspace string) string { return workspace }
	}
	return &Handler{options: options, client: web.New(), ranking: choice.New(options.DataCentre), retries: budget{tokens: retryBurst}}
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
	call, err := h.find(config, workspace, r)
	if err != nil {
		fault.Write(w, err)
		return
	}
	begun := time.Now()
	code := "answered"
	if call.idempotent {
		err = h.stream(w, r, call)
	} else {
		err = h.once(w, r, call)
	}
	if err != nil {
		code = fault.From(err).Code
		fault.Write(w, err)
	}
	h.measure(workspace, call, code, time.Since(begun))
}

func (h *Handler) measure(workspace site.Workspace, c call, code string, took time.Duration) {
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
	scope.Tagged(map[string]string{"workspace": h.options.Label(workspace.Name), "class": class}).
		Histogram("service_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// call is a caller's request as the configuration sees it.
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

// find tells which call of which service a request means.
func (h *Handler) find(config site.Config, workspace site.Workspace, r *http.Request) (call, error) {
	name, path, err := split(r)
	if err != nil {
		return call{}, err
	}
	route, ok := h.compiled(config).byName[name]
	if !ok || !slices.Contains(workspace.Services, name) {
		return call{}, refuse("unknownService", http.StatusNotFound, "this workspace has no such service")
	}
	uri := path
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return call{workspace: workspace.Name, service: route.service, uri: uri, idempotent: route.idempotent(r.Method, path)}, nil
}

// split takes the service's name off the path. A path that a target might read
// in another way than the configuration does is refused.
func split(r *http.Request) (name, path string, err error) {
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

// staying lists the targets of a service that take work, as the configuration
// has them now.
func (h *Handler) staying(name string) []site.Target {
	route, ok := h.compiled(h.options.Config()).byName[name]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(route.service.Targets), func(t site.Target) bool { return h.options.Leaving(t.Name) })
}

// ranked lists the staying targets, the best first.
func (h *Handler) ranked(name string) []site.Target {
	return h.ranking.Rank(time.Now(), h.staying(name))
}

func refuse(code string, status int, message string) *fault.Error {
	return &fault.Error{Code: code, Status: status, Outcome: effect.NotRun{Reason: code}, Message: message}
}

func noTarget() error {
	e := refuse("noTarget", http.StatusServiceUnavailable, "no target of this service takes work now")
	e.RetryAfter = time.Second
	return e
}
