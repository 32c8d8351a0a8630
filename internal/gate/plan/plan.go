// Package plan holds one version of the operators' configuration as the gateway
// uses it: which service answers which path, for whom and within what time.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	// Once marks requests that run once at most.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests that are answered by a stream of events.
	Stream
)

// Split sends a part of a route's requests to one service.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is its part relative to the others.
	Weight int
}

// Route decides about the requests below one path of a host.
type Route struct {
	// Name is the route's name.
	Name string
	// Host is the host that clients name.
	Host string
	// Prefix is how the path begins; it begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Splits are the services that answer.
	Splits []Split
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is in time.
	Objective time.Duration
	// Attempts is the largest number of targets that may run one request.
	Attempts int
	// Priority is the route's rank, 0 first.
	Priority int
	// Anonymous is true when requests need no key.
	Anonymous bool
	// Resumable is true when a stream may go on at another target.
	Resumable bool
}

// Idempotent reports whether requests of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engines describe the model engines of a service.
type Engines struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine in tokens.
	CacheTokens int
	// TokenBytes is the memory of one token.
	TokenBytes int
	// LinkMbps is the speed at which one engine sends cached parts, in Mbit/s.
	LinkMbps float64
	// Models are the models that they serve.
	Models []string
}

// Service is a group of equal targets.
type Service struct {
	// Name is the service's name.
	Name string
	// MaxConns is how many connections one target takes from all callers.
	MaxConns int
	// Engines is set for model engines.
	Engines *Engines
}

// Store keeps parts of prompts outside the engines.
type Store struct {
	// Name is the store's name.
	Name string
	// Address is its IP number and port.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// CacheTokens is its room in tokens.
	CacheTokens int
	// LinkMbps is the speed at which it sends parts, in Mbit/s.
	LinkMbps float64
}

// Workspace is a customer whose keys are known.
type Workspace struct {
	// Name is the workspace's name.
	Name string
	// Priority is its rank, which goes before the route's; negative means none.
	Priority int
	// Isolated is true when it shares no cached part with any other workspace.
	Isolated bool
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// BodyBytes bounds its body.
	BodyBytes int64
	// HeaderTimeout bounds the time in which the head must come.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection may be idle.
	IdleTimeout time.Duration
}

// Plan is one version of the configuration. It is not changed once built.
type Plan struct {
	// Version is the operators' number of it.
	Version uint64
	// Services are the services by name.
	Services map[string]Service
	// Stores keep parts of prompts.
	Stores []Store
	// Limits bound what clients may send.
	Limits Limits
	// HasWorkspaces is true when requests need a key.
	HasWorkspaces bool

	routes map[string][]Route
	keys   map[string]Workspace
}

// New returns a plan with its routes and the workspaces by key.
func New(p Plan, routes []Route, keys map[string]Workspace) *Plan {
	p.routes = map[string][]Route{}
	for _, r := range routes {
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, of := range p.routes {
		slices.SortFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	p.keys = maps.Clone(keys)
	return &p
}

// Match returns the route of a request: of those of its host, the one with the
// longest prefix of its path.
func (p *Plan) Match(host, path string) (Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds a key.
func (p *Plan) Workspace(key string) (Workspace, bool) {
	w, ok := p.keys[key]
	return w, ok
}

// Pick returns the service of a route for a number from 0 up to but not
// including 1.
func (r Route) Pick(at float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := at * float64(total)
	for _, s := range r.Splits {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
