// Package calls records metrics of chat requests between the callers' handler and
// the runner that executes them.
package calls

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/watch/label"
)

// The classes of workspaces; any other value counts as interactive.
const (
	interactive = "interactive"
	batch       = "batch"
)

const maxCodes = 64

// Runner wraps a [front.Runner] and records metrics of its requests.
type Runner struct {
	next    front.Runner
	scope   tally.Scope
	labels  *label.Set
	codes   *label.Set
	history *blockHistory
	metrics sync.Map
}

// New returns a runner that wraps next. The set labels bounds the number of
// workspaces with metrics of their own.
//
//	runner := calls.New(flow.New(loop, dial), meter.Scope(), labels)
func New(next front.Runner, scope tally.Scope, labels *label.Set) *Runner {
	r := &Runner{next: next, scope: scope, labels: labels, codes: label.New(maxCodes), history: newBlockHistory()}
	r.brokenStreams("callerGone") // Exports the metric before the first failure.
	return r
}

// Run implements [front.Runner].
func (r *Runner) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	metrics := r.metricsFor(j)
	metrics.requests.Add(1)
	metrics.running.add(1)
	defer metrics.running.add(-1)
	o := &observer{metrics: metrics, computedTokens: r.history.computedTokens(j), start: time.Now(), sink: sink}
	err := r.next.Run(ctx, j, o.event)
	metrics.total.RecordDuration(time.Since(o.start))
	metrics.outcome(err).Inc(1)
	if err != nil && o.tokens > 0 {
		r.brokenStreams(fault.From(err).Code).Inc(1)
	}
	if o.accepted {
		r.history.add(j)
	}
	return err
}

// brokenStreams returns the counter of responses that failed after their first
// token.
func (r *Runner) brokenStreams(code string) tally.Counter {
	return r.scope.Tagged(map[string]string{"code": r.codes.Admit(code)}).Counter("streams_broken")
}

func (r *Runner) metricsFor(j job.Job) *workspaceMetrics {
	key := metricsKey{workspace: r.labels.Label(j.Workspace), class: interactive}
	if j.Class == batch {
		key.class = batch
	}
	if existing, ok := r.metrics.Load(key); ok {
		return existing.(*workspaceMetrics)
	}
	stored, _ := r.metrics.LoadOrStore(key, newWorkspaceMetrics(r.scope, key))
	return stored.(*workspaceMetrics)
}

// WorkspaceLoad is the number of requests of one workspace and class.
type WorkspaceLoad struct {
	// Workspace is the metric label of the workspace.
	Workspace string
	// Class is "interactive" or "batch".
	Class string
	// Running is the number of requests in progress.
	Running int64
	// Requests is the total number of requests.
	Requests int64
}

// Loads returns the loads of all workspaces that have sent requests, sorted by
// name and class.
func (r *Runner) Loads() []WorkspaceLoad {
	var loads []WorkspaceLoad
	r.metrics.Range(func(key, value any) bool {
		k, m := key.(metricsKey), value.(*workspaceMetrics)
		loads = append(loads, WorkspaceLoad{Workspace: k.workspace, Class: k.class, Running: m.running.value.Load(), Requests: m.requests.Load()})
		return true
	})
	slices.SortFunc(loads, func(a, b WorkspaceLoad) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return loads
}

// observer records the events of one request.
type observer struct {
	metrics        *workspaceMetrics
	computedTokens int
	start          time.Time
	lastToken      time.Time
	tokens         int
	accepted       bool
	sink           func(engine.Event) error
}

func (o *observer) event(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		o.accept(e)
	case engine.Token:
		o.token(time.Now())
	}
	return o.sink(event)
}

// accept counts prompt tokens once, even if another engine resumes the request.
func (o *observer) accept(e engine.Accepted) {
	if o.accepted {
		return
	}
	o.accepted = true
	o.metrics.prompt.Inc(int64(e.PromptTokens))
	o.metrics.cached.Inc(int64(e.CachedTokens))
	o.metrics.recomputed.Inc(int64(max(0, min(o.computedTokens, e.PromptTokens)-e.CachedTokens)))
}

func (o *observer) token(now time.Time) {
	if o.tokens == 0 {
		o.metrics.ttft.RecordDuration(now.Sub(o.start))
	} else {
		o.metrics.interToken.RecordDuration(now.Sub(o.lastToken))
	}
	o.tokens++
	o.lastToken = now
	o.metrics.generated.Inc(1)
}

// outcome returns the counter for the outcome of a request.
func (m *workspaceMetrics) outcome(err error) tally.Counter {
	if err == nil {
		return m.answered
	}
	if _, ok := fault.From(err).Outcome.(effect.NotRun); ok {
		return m.notRun
	}
	return m.unknown
}
