// Package relay serves clients: it finds out who calls and which service
// answers, passes the request to a target and the answer back, whole or not at
// all.
package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/route/quota"
	"github.com/cicadamill/cicadamill/internal/safety/blame"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Fleet is what a handler needs to know of other nodes.
type Fleet interface {
	// Nodes returns the number of nodes, this one included.
	Nodes() int
}

// Options are what a [Handler] needs.
type Options struct {
	// Codec translates the platform's messages.
	Codec call.Codec
	// Plan returns the configuration in force; nil before the first one.
	Plan func() *plan.Plan
	// Picks decides where requests go. The handler and its owner share it under
	// Lock.
	Picks *pick.State
	// Blame knows the requests that crash targets.
	Blame *blame.State
	// Lock guards Picks and Blame.
	Lock *sync.Mutex
	// Pool holds the connections to targets.
	Pool *pool.Pool
	// Fleet knows the other nodes.
	Fleet Fleet
	// Bound is the bound of second sendings of all nodes together.
	Bound quota.Bound
	// Leave is how long a request may take until the client leaves, if it does
	// not say.
	Leave time.Duration
	// Stopping tells whether a request that comes now might not end before the
	// process does; nil means that none stops.
	Stopping func() bool
	// Seen is told of each version that an answer bears.
	Seen func(target, model string, version uint64)
	// Scope takes the metrics.
	Scope tally.Scope
	// Logger gets a line for each decision about a request.
	Logger hclog.Logger
}

// Handler serves clients. See [New].
type Handler struct {
	options Options
	meters  meters
	seed    func() float64

	mu     sync.Mutex
	quotas map[string]*quota.Quota
	active int
	idle   chan struct{}
}

// New returns a handler.
//
//	server := limit.Server(relay.New(options), limits)
func New(options Options) *Handler {
	return &Handler{
		options: options, meters: newMeters(options.Scope), seed: random(),
		quotas: map[string]*quota.Quota{}, idle: make(chan struct{}, 1),
	}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.begin()
	defer h.end()
	j, err := h.open(r)
	if err != nil {
		h.refuse(w, j, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	h.run(ctx, r.Context(), w, j)
}

// Active returns the number of requests under way.
func (h *Handler) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Idle returns a channel that gets a value when the last request has ended.
func (h *Handler) Idle() <-chan struct{} { return h.idle }

// SetBound puts another bound of second sendings in force.
func (h *Handler) SetBound(bound quota.Bound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bound != h.options.Bound {
		h.options.Bound = bound
		clear(h.quotas)
	}
}

func (h *Handler) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active++
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	if h.active > 0 {
		return
	}
	select {
	case h.idle <- struct{}{}:
	default:
	}
}

// job is one request on its way.
type job struct {
	call      call.Call
	plan      *plan.Plan
	route     plan.Route
	service   plan.Service
	workspace plan.Workspace
	priority  int
	arrived   time.Time
	deadline  time.Time
	excluded  []string
	digest    uint64
	// ran is how many targets may have run the request, sent how many got it.
	ran, sent int
	// stream is how much of a stream the client has.
	stream position
}

func (j *job) request(now time.Time) pick.Request {
	r := pick.Request{
		Service: j.service.Name, Prompt: j.call.Prompt, Idempotent: j.route.Idempotent(), Excluded: j.excluded,
		Aim: j.route.Objective, Objective: j.arrived.Add(j.route.Objective).Sub(now), Left: j.deadline.Sub(now),
	}
	if j.workspace.Isolated {
		r.Scope = j.workspace.Name
	}
	return r
}

// open reads a request and finds out what the configuration says of it.
func (h *Handler) open(r *http.Request) (*job, error) {
	j := &job{arrived: time.Now(), plan: h.options.Plan()}
	c, err := h.options.Codec.Decode(r)
	j.call = c
	if err != nil {
		return j, refusal("badRequest", http.StatusBadRequest, err.Error(), 0)
	}
	if h.options.Stopping != nil && h.options.Stopping() {
		return j, refusal("stopping", http.StatusServiceUnavailable, "this host stops, others serve", stopPause)
	}
	if j.plan == nil {
		return j, refusal("noConfiguration", http.StatusServiceUnavailable, "this node has no configuration yet", startPause)
	}
	route, ok := j.plan.Match(c.Host, c.Path)
	if !ok {
		return j, refusal("noRoute", http.StatusNotFound, "no route for this host and path", 0)
	}
	j.route, j.priority = route, route.Priority
	if err := j.authenticate(); err != nil {
		return j, err
	}
	j.service, ok = j.plan.Services[route.Pick(h.seed())]
	if !ok {
		return j, refusal("noService", http.StatusServiceUnavailable, "the route's service is not known", startPause)
	}
	patience := c.Patience
	if patience <= 0 {
		patience = h.options.Leave
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	j.deadline = j.arrived.Add(patience)
	j.call.Body, err = io.ReadAll(r.Body)
	if err != nil {
		var known *fault.Error
		if errors.As(err, &known) {
			return j, known
		}
		return j, refusal("bodyBroken", http.StatusBadRequest, "the body ended too early", 0)
	}
	j.digest = xxh3.HashSeed(j.call.Body, xxh3.HashString(j.workspace.Name+"\x00"+j.call.Path))
	if h.crashes(j) {
		return j, refusal("crashRequest", http.StatusServiceUnavailable, "the request has crashed every target that ran it", crashPause)
	}
	return j, nil
}

func (h *Handler) crashes(j *job) bool {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	return h.options.Blame.Refused(time.Now(), j.digest)
}

// authenticate finds the workspace that holds the client's key.
func (j *job) authenticate() error {
	if j.route.Anonymous || !j.plan.HasWorkspaces {
		return nil
	}
	workspace, ok := j.plan.Workspace(j.call.Key)
	if !ok {
		return refusal("unknownKey", http.StatusUnauthorized, "the key is not known", 0)
	}
	j.workspace = workspace
	if workspace.Priority >= 0 {
		j.priority = workspace.Priority
	}
	return nil
}

// stopPause is how long the client of a host that stops should wait: it comes back
// to another one.
const stopPause = 10 * time.Millisecond

// crashPause is how long the client of a request that crashes targets should
// wait: until what it is blamed for has been looked at.
const crashPause = 30 * time.Second

// startPause is how long a client should wait for a node that has just started;
// a store answers within milliseconds.
const startPause = 300 * time.Millisecond

func refusal(code string, status int, message string, pause time.Duration) *fault.Error {
	return &fault.Error{
		Code: code, Status: status, Message: message, RetryAfter: pause,
		Outcome: effect.NotRun{Reason: message},
	}
}

func (h *Handler) quota(service string) *quota.Quota {
	q, ok := h.quotas[service]
	if !ok {
		q = quota.New(h.options.Bound)
		h.quotas[service] = q
	}
	return q
}

// mayRepeat takes one second sending out of this node's part of the bound.
func (h *Handler) mayRepeat(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quota(service).Again(time.Now(), h.options.Fleet.Nodes())
}

func (h *Handler) countFirst(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota(service).First(time.Now())
}
