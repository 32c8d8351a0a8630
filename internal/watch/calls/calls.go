// Package calls measures chat requests on their way between the callers'
// handler and the part that runs them.
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

// The classes of workspaces; every other word counts as interactive.
const (
	interactive = "interactive"
	batch       = "batch"
)

const maxCodes = 64

// Runner measures what the runner inside it does. It implements [front.Runner].
type Runner struct {
	next   front.Runner
	scope  tally.Scope
	labels *label.Set
	codes  *label.Set
	memory *memory
	groups sync.Map
}

// New returns a runner around next. The set labels bounds the workspaces that
// have histograms of their own.
//
//	runner := calls.New(flow.New(loop, dial), meter.Scope(), labels)
func New(next front.Runner, scope tally.Scope, labels *label.Set) *Runner {
	r := &Runner{next: next, scope: scope, labels: labels, codes: label.New(maxCodes), memory: newMemory()}
	r.broken("callerGone") // So that the name is visible before anything breaks.
	return r
}

// Run implements [front.Runner].
func (r *Runner) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	group := r.group(j)
	group.requests.Add(1)
	group.running.add(1)
	defer group.running.add(-1)
	w := &watcher{group: group, known: r.memory.known(j), begun: time.Now(), sink: sink}
	err := r.next.Run(ctx, j, w.event)
	group.total.RecordDuration(time.Since(w.begun))
	group.outcome(err).Inc(1)
	if err != nil && w.tokens > 0 {
		r.broken(fault.From(err).Code).Inc(1)
	}
	if w.accepted {
		r.memory.learn(j)
	}
	return err
}

// broken returns the counter of answers that ended after they had begun.
func (r *Runner) broken(code string) tally.Counter {
	return r.scope.Tagged(map[string]string{"code": r.codes.Admit(code)}).Counter("streams_broken")
}

func (r *Runner) group(j job.Job) *group {
	key := groupKey{workspace: r.labels.Label(j.Workspace), class: interactive}
	if j.Class == batch {
		key.class = batch
	}
	if known, ok := r.groups.Load(key); ok {
		return known.(*group)
	}
	made, _ := r.groups.LoadOrStore(key, newGroup(r.scope, key))
	return made.(*group)
}

// Load is what one workspace has under way.
type Load struct {
	// Workspace is the label of the workspace.
	Workspace string
	// Class is "interactive" or "batch".
	Class string
	// Running is the number of requests under way.
	Running int64
	// Requests counts the requests so far.
	Requests int64
}

// Loads lists the workspaces that have sent requests, by name.
func (r *Runner) Loads() []Load {
	var loads []Load
	r.groups.Range(func(key, value any) bool {
		k, g := key.(groupKey), value.(*group)
		loads = append(loads, Load{Workspace: k.workspace, Class: k.class, Running: g.running.value.Load(), Requests: g.requests.Load()})
		return true
	})
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return loads
}

// watcher follows one request.
type watcher struct {
	group    *group
	known    int
	begun    time.Time
	last     time.Time
	tokens   int
	accepted bool
	sink     func(engine.Event) error
}

func (w *watcher) event(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		w.accept(e)
	case engine.Token:
		w.token(time.Now())
	}
	return w.sink(event)
}

// accept counts prompt tokens once, also when another engine resumes.
func (w *watcher) accept(e engine.Accepted) {
	if w.accepted {
		return
	}
	w.accepted = true
	w.group.prompt.Inc(int64(e.PromptTokens))
	w.group.cached.Inc(int64(e.CachedTokens))
	w.group.recomputed.Inc(int64(max(0, min(w.known, e.PromptTokens)-e.CachedTokens)))
}

func (w *watcher) token(now time.Time) {
	if w.tokens == 0 {
		w.group.ttft.RecordDuration(now.Sub(w.begun))
	} else {
		w.group.gap.RecordDuration(now.Sub(w.last))
	}
	w.tokens++
	w.last = now
	w.group.generated.Inc(1)
}

// outcome picks the counter for what became of a request.
func (g *group) outcome(err error) tally.Counter {
	if err == nil {
		return g.answered
	}
	if _, ok := fault.From(err).Outcome.(effect.NotRun); ok {
		return g.notRun
	}
	return g.unknown
}
