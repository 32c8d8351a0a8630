// Package plan holds one version of the configuration in the form that the gateway
// uses: the routes, services, stores, limits and workspaces.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a route's requests may be repeated and how they are
// answered.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce marks requests that must run at most once.
	AtMostOnce Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests that are answered by an event stream.
	Stream
)

// Split sends a share of a route's requests to one service.
type Split struct {
	// Service is the name of a service.
	Service string
	// Weight is the share relative to the route's other splits.
	Weight int
}

// Route describes the requests for one path prefix of a host.
type Route struct {
	Name string
	// Host is the host name in the request.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits divide the requests among services.
	Splits []Split
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective of an answer, or of its first event.
	Objective time.Duration
	// LongestPause is the longest pause between two events of a stream that is on time;
	// zero if none is declared.
	LongestPause time.Duration
	// Attempts is the maximum number of targets that may run one request.
	Attempts int
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Anonymous is true when requests need no API key.
	Anonymous bool
	// Resumable is true when another target may continue a broken stream.
	Resumable bool
}

// Idempotent reports whether the route's requests may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engines describe the model engines of a service.
type Engines struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the cache size of one engine in tokens.
	CacheTokens int
	// TokenBytes is the cache size of one token in bytes.
	TokenBytes int
	// LinkMbps is the bandwidth at which one engine sends cached parts, in Mbit/s.
	LinkMbps float64
	// Models are the names of the models that the engines serve.
	Models []string
}

// Service is a group of equivalent targets.
type Service struct {
	Name string
	// MaxConns is the number of connections that one target accepts from all
	// callers together.
	MaxConns int
	// Engines is set for services that serve models; nil for plain services.
	Engines *Engines
}

// Store is a store of cached prompt parts outside the engines.
type Store struct {
	Name string
	// Address is the IP address and port.
	Address    string
	DataCentre string
	// CacheTokens is the capacity in tokens.
	CacheTokens int
	// LinkMbps is the bandwidth at which it sends parts, in Mbit/s.
	LinkMbps float64
}

// Workspace is a customer with API keys.
type Workspace struct {
	Name string
	// Priority overrides the route's priority; negative means that it is not set.
	Priority int
	// Isolated is true when the workspace shares no cached parts with others.
	Isolated bool
	// Limit is what all hosts together may run of its requests.
	Limit Limit
}

// Limit is a limit on the requests of a workspace. Its zero value is none.
type Limit struct {
	// Rate is the amount per second, Burst the amount beyond that in a window.
	Rate, Burst float64
	// Tokens is true when the limit counts tokens, else it counts requests.
	Tokens bool
	// UncachedTokens is the size of a request that doesn't say its own.
	UncachedTokens int
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeout is the maximum time for reading the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Plan is one version of the configuration. It is immutable once built.
type Plan struct {
	// Version is the version number that the operators gave it.
	Version uint64
	// Services are the services by name.
	Services map[string]Service
	// Stores are the stores of cached prompt parts.
	Stores []Store
	Limits Limits
	// HasWorkspaces is true when requests need an API key, except on anonymous
	// routes.
	HasWorkspaces bool
	// Workspaces are the workspaces. Those of the API keys given to [New] may be left out.
	Workspaces []Workspace

	routes map[string][]Route
	keys   map[string]Workspace
	limits map[string]Limit
	scopes scopes
}

// New returns a copy of p with the given routes and the workspaces by API key.
func New(p Plan, routes []Route, keys map[string]Workspace) *Plan {
	p.routes = map[string][]Route{}
	for _, r := range routes {
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, hostRoutes := range p.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	p.keys = maps.Clone(keys)
	p.limits = map[string]Limit{}
	for _, w := range keys {
		if w.Limit.Rate > 0 {
			p.limits[w.Name] = w.Limit
		}
	}
	p.scopes = newScopes(slices.AppendSeq(slices.Clone(p.Workspaces), maps.Values(keys)))
	return &p
}

// Match returns the route of a request: the one of its host with the longest
// matching path prefix, and of several with the same prefix the first.
func (p *Plan) Match(host, path string) (Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that an API key belongs to.
func (p *Plan) Workspace(key string) (Workspace, bool) {
	w, ok := p.keys[key]
	return w, ok
}

// PickService returns one of the route's services, weighted by its splits, for a
// random number in [0, 1).
func (r Route) PickService(fraction float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	rest := fraction * float64(total)
	for _, s := range r.Splits {
		if rest -= float64(s.Weight); rest < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// WorkspaceLimits returns the limits by the names of the workspaces that have one.
func (p *Plan) WorkspaceLimits() map[string]Limit { return p.limits }
