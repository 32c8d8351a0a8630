// Package proxy implements the HTTP handler for client requests. It
// authenticates the client, matches a route, proxies the request to a target
// and returns the response. A response that is not streamed is buffered, so that
// the client gets all of it or none.
package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/credit"
	"github.com/cicadamill/cicadamill/internal/gate/deadly"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/route/quota"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// Fleet describes the other nodes to a [Handler].
type Fleet interface {
	// Nodes returns the number of nodes, this one included.
	Nodes() int
}

// Limiter decides whether the limits of workspaces allow requests.
type Limiter interface {
	// Admit decides about a request that counts as an amount.
	Admit(workspace string, rank int, amount float64) credit.Decision
	// Return gives back the credit of a request that did not run.
	Return(c credit.Credit)
}

// Options configures a [Handler].
type Options struct {
	// Codec translates between the platform's HTTP messages and [call.Call].
	Codec call.Codec
	// Plan returns the configuration in force; nil before the first one.
	Plan func() *plan.Plan
	// Picker selects targets. The handler and its owner share it under Lock.
	Picker *pick.Picker
	// Deadly finds requests that crash targets.
	Deadly *deadly.Detector
	// Lock guards Picker.
	Lock *sync.Mutex
	// Pool holds the connections to targets.
	Pool *pool.Pool
	// Memory bounds the memory of bodies, answers and events together.
	Memory *budget.Budget
	Fleet  Fleet
	// RetryBound limits the retries of all nodes together.
	RetryBound quota.Bound
	// DefaultTimeout is the request timeout for clients that don't send one.
	DefaultTimeout time.Duration
	// Limiter holds the limits of workspaces; nil for none.
	Limiter Limiter
	// Stopping reports whether a request that arrives now might not finish before
	// the process exits. A nil function means that the process is not stopping.
	Stopping func() bool
	// OnVersion is called with each weight version that a response reports.
	OnVersion func(target, model string, version uint64)
	// OnNeeds is called with what a target says of itself in each answer. The time at
	// which the request was sent is zero if the answer may be an older one.
	OnNeeds func(target roster.Target, sent time.Time, said call.Needs)
	// OnSend is called before each attempt; again is true for all but the first.
	OnSend func(target roster.Target, again bool)
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger logs each attempt and each refusal.
	Logger hclog.Logger
}

// Handler proxies client requests to targets. See [New].
type Handler struct {
	options Options
	meters  meters
	random  func() float64
	// unbegun are the attempts of model requests whose response headers haven't arrived,
	// running all attempts, some of which wait for a connection.
	unbegun, running attempts

	// waiting are the requests that wait for a target; Options.Lock guards it.
	waiting waiting

	mu     sync.Mutex
	quotas map[string]*quota.Quota
	active int
	idle   chan struct{}

	// ended is true after [Handler.End].
	ended atomic.Bool
}

// New returns a handler.
//
//	server := limit.Server(proxy.New(options), limits)
func New(options Options) *Handler {
	random := random()
	return &Handler{
		options: options, meters: newMeters(options.Scope), random: random, waiting: newWaiting(uint64(random() * (1 << 53))),
		unbegun: attempts{set: map[*attempt]struct{}{}}, running: attempts{set: map[*attempt]struct{}{}},
		quotas: map[string]*quota.Quota{}, idle: make(chan struct{}, 1),
	}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.begin()
	defer h.finish()
	if !h.serve(w, r).whole {
		panic(http.ErrAbortHandler)
	}
}

// ending is how the handling of a request ended. Without a whole answer, which is the
// zero value, the connection is broken off: net/http would otherwise complete what has
// been written.
type ending struct{ whole bool }

// answered is the ending after a whole answer of the target or of this host.
var answered = ending{whole: true}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) ending {
	j, err := h.prepare(r)
	defer func() { j.release() }()
	if err != nil {
		return h.refuse(w, j, err)
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	defer h.returnCredit(j)
	return h.run(ctx, r.Context(), w, j)
}

// End ends all requests in progress: those without an answer get one that says whether
// they have run, streams that have begun are broken off. It is for the end of the time in
// which the process must stop.
func (h *Handler) End() {
	h.ended.Store(true)
	for _, s := range h.running.all() {
		s.cancel()
	}
}

// stopping reports whether requests that have not been sent might not finish before the
// process exits.
func (h *Handler) stopping() bool { return h.options.Stopping != nil && h.options.Stopping() }

// stopRefusal rejects a request that has not been sent, since the process stops.
func stopRefusal() error {
	return refusal("stopping", http.StatusServiceUnavailable, "this host stops, others serve", stopRetryAfter)
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Idle returns a channel that receives a value when the last active request has
// ended.
func (h *Handler) Idle() <-chan struct{} { return h.idle }

// SetRetryBound replaces the limit on retries.
func (h *Handler) SetRetryBound(bound quota.Bound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bound != h.options.RetryBound {
		h.options.RetryBound = bound
		clear(h.quotas)
	}
}

func (h *Handler) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active++
}

func (h *Handler) finish() {
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

// job is a client request in progress, over all of its attempts.
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
	// credit is what the request took of its workspace's limit, limited whether it has one,
	// basis what a rejection was based on.
	credit  credit.Credit
	limited bool
	basis   credit.Basis
	// features is what crashes of targets are counted against.
	features poison.Request
	// ran is the number of attempts that may have run at the target, sent the
	// number of all attempts.
	ran, sent int
	// successor is the target that takes the request over from a silent one. Its retry has
	// been taken from the quota.
	successor *pick.Dispatch
	// queue is what is logged of the request's waits for a target.
	queue queueRecord
	// trial is true if the request is sent although requests like it are refused.
	trial bool
	// stream is how much of a streamed response the client has received.
	stream position
	// release returns the memory of the body.
	release func()
}

func (j *job) request(now time.Time) pick.Request {
	return pick.Request{
		Service: j.service.Name, Workspace: j.workspace.Name, Prompt: j.call.Prompt, Idempotent: j.route.Idempotent(), Excluded: j.excluded,
		Objective: j.route.Objective, LongestPause: j.route.LongestPause, ObjectiveLeft: j.arrived.Add(j.route.Objective).Sub(now), ClientTimeLeft: j.deadline.Sub(now), Rank: j.priority,
	}
}

// prepare reads a request, authenticates it and resolves its route and service.
func (h *Handler) prepare(r *http.Request) (*job, error) {
	j := &job{arrived: time.Now(), plan: h.options.Plan(), release: func() {}}
	c, err := h.options.Codec.Decode(r)
	j.call = c
	if err != nil {
		return j, refusal("badRequest", http.StatusBadRequest, err.Error(), 0)
	}
	if err := checkTarget(c.Path); err != nil {
		return j, err
	}
	if h.stopping() {
		return j, stopRefusal()
	}
	if j.plan == nil {
		return j, refusal("noConfiguration", http.StatusServiceUnavailable, "this node has no configuration yet", startRetryAfter)
	}
	route, ok := j.plan.Match(c.Host, c.Path)
	if !ok {
		return j, refusal("noRoute", http.StatusNotFound, "no route for this host and path", 0)
	}
	j.route, j.priority = route, route.Priority
	if err := j.authenticate(); err != nil {
		return j, err
	}
	j.service, ok = j.plan.Services[route.PickService(h.random())]
	if !ok {
		return j, refusal("noService", http.StatusServiceUnavailable, "the route's service is not known", startRetryAfter)
	}
	timeout := c.ClientTimeout
	if timeout <= 0 {
		timeout = h.options.DefaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	j.deadline = j.arrived.Add(timeout)
	if err := h.readBody(j, r); err != nil {
		return j, err
	}
	j.features = featuresOf(j)
	if err := h.checkDeadly(j); err != nil {
		return j, err
	}
	return j, h.takeCredit(j)
}

// longestBody is the bound of a body without a declared length beside the limits of the
// configuration.
const longestBody = 1 << 30

// readBody reads the body of a request. If there is no memory for it, the rest is
// discarded, so that the client reads the refusal.
func (h *Handler) readBody(j *job, r *http.Request) error {
	limit := longestBody
	if r.ContentLength >= 0 {
		limit = int(min(r.ContentLength, longestBody))
	}
	body, release, err := h.options.Memory.ReadAll(r.Body, budget.Body, limit)
	j.call.Body, j.release = body, release
	var known *fault.Error
	var exhausted *budget.ExhaustedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.As(err, &exhausted):
		if _, err := io.Copy(io.Discard, r.Body); errors.As(err, &known) {
			return known
		}
		return refusal("memory", http.StatusServiceUnavailable, "this host has no memory left for the body", h.retryAfter(j))
	default:
		return refusal("bodyBroken", http.StatusBadRequest, "the body ended too early", 0)
	}
}

// authenticate looks up the workspace of the client's API key.
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

// stopRetryAfter is the Retry-After of a node that is shutting down. It is short
// because the retry reaches another node.
const stopRetryAfter = 10 * time.Millisecond

// startRetryAfter is the Retry-After of a node that has not loaded its
// configuration yet. The store answers within milliseconds.
const startRetryAfter = 300 * time.Millisecond

func refusal(code string, status int, message string, retryAfter time.Duration) *fault.Error {
	return &fault.Error{
		Code: code, Status: status, Message: message, RetryAfter: retryAfter,
		Outcome: effect.NotRun{Reason: message},
	}
}

func (h *Handler) quota(service string) *quota.Quota {
	q, ok := h.quotas[service]
	if !ok {
		q = quota.New(h.options.RetryBound)
		h.quotas[service] = q
	}
	return q
}

// takeRetry takes one retry from this node's share of the service's quota and
// reports whether there was one left.
func (h *Handler) takeRetry(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quota(service).AllowRetry(time.Now(), h.options.Fleet.Nodes())
}

func (h *Handler) countFirstAttempt(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota(service).CountFirst(time.Now())
}
