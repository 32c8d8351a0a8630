// Package cells runs the loops of the cells that this node decides for. A loop
// starts with the first request of its cell and ends when it has been idle.
package cells

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/flow"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	maxLoops      = 64
	idleTime      = 5 * time.Minute
	sweepInterval = 30 * time.Second
	sendTimeout   = time.Second
)

// Options are what the loops need from the node.
type Options struct {
	// DataCentre is where the node stands.
	DataCentre string
	// Targets turns a configuration into what a cell needs to know of it.
	Targets func(site.Config) cell.Targets
	// Dial finds the client of an engine.
	Dial func(target string) (engine.Client, bool)
	// Prepare is called with each new loop before it runs; nil means nothing.
	Prepare func(*loop.Loop)
	// Leaving returns the targets that may get no new work.
	Leaving func() []string
	// Flow are the options of every runner.
	Flow []flow.Option
	// Scope takes the counters.
	Scope tally.Scope
	// Supervised is told of what the supervisor does.
	Supervised suture.EventHook
}

// Set owns the loops. It is a suture service.
type Set struct {
	options    Options
	supervisor *suture.Supervisor

	mu     sync.Mutex
	groups group.Groups
	byID   map[string]group.Cell
	all    cell.Targets
	loops  map[string]*entry
}

type entry struct {
	id      string
	loop    *loop.Loop
	runner  *flow.Runner
	token   suture.ServiceToken
	engines []string
	users   int
	used    time.Time
}

// New returns a set without loops.
//
//	set := cells.New(options)
//	supervisor.Add(set)
//	set.Apply(ctx, config)
//	err := set.Run(ctx, set.Candidates(request)[0].ID, request, sink)
func New(options Options) *Set {
	return &Set{
		options: options, loops: map[string]*entry{},
		supervisor: suture.New("cells", suture.Spec{EventHook: options.Supervised}),
	}
}

// Serve runs the loops until the context ends.
func (s *Set) Serve(ctx context.Context) error {
	ended := s.supervisor.ServeBackground(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticker.C:
			s.sweep(time.Now())
		}
	}
}

// Cells returns the cells of the configuration in force.
func (s *Set) Cells() []group.Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups.Cells()
}

// Apply gives every loop the engines of a new configuration. A cell that is no
// more gets no new work; what runs on it ends in peace.
func (s *Set) Apply(ctx context.Context, config site.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = s.groups.With(config)
	s.byID = map[string]group.Cell{}
	for _, c := range s.groups.Cells() {
		s.byID[c.ID] = c
	}
	s.all = s.options.Targets(config)
	for _, e := range s.loops {
		e.engines = s.enginesOf(e.id)
		s.inform(ctx, e)
	}
}

// First returns the best cell for a job, at a cost that does not grow with the
// engines; false means that no cell answers it.
func (s *Set) First(j job.Job) (group.Cell, bool) {
	s.mu.Lock()
	groups, byID := s.groups, s.byID
	s.mu.Unlock()
	if len(byID) == 0 {
		return group.Cell{}, false
	}
	found, ok := byID[groups.First(j, s.options.DataCentre)]
	return found, ok
}

// Candidates returns the cells that may answer a job, best first.
func (s *Set) Candidates(j job.Job) []group.Cell {
	s.mu.Lock()
	groups, byID := s.groups, s.byID
	s.mu.Unlock()
	var found []group.Cell
	for _, id := range groups.Near(j, s.options.DataCentre) {
		found = append(found, byID[id])
	}
	return found
}

// Run answers a job on a cell of this node.
func (s *Set) Run(ctx context.Context, id string, j job.Job, sink func(engine.Event) error) error {
	e, err := s.open(ctx, id)
	if err != nil {
		return err
	}
	defer s.release(e)
	return e.runner.Run(ctx, j, sink)
}

// Tell hands a message about an engine to the loops that know it.
func (s *Set) Tell(ctx context.Context, target string, message cell.Message) {
	for _, l := range s.with(target) {
		_ = l.Send(ctx, message)
	}
}

// Engines returns the engines of all loops, in order.
func (s *Set) Engines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, e := range s.loops {
		names = append(names, e.engines...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Loops returns the IDs of the cells that run here, in order.
func (s *Set) Loops() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.loops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Set) with(target string) []*loop.Loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*loop.Loop
	for _, e := range s.loops {
		if slices.Contains(e.engines, target) {
			found = append(found, e.loop)
		}
	}
	return found
}

// enginesOf returns the engines of a cell; the caller holds the lock.
func (s *Set) enginesOf(id string) []string {
	return s.byID[id].Engines
}

// open finds or starts the loop of a cell and keeps it from ending.
func (s *Set) open(ctx context.Context, id string) (*entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.loops[id]; ok {
		e.users++
		return e, nil
	}
	engines := s.enginesOf(id)
	if len(engines) == 0 {
		return nil, refusal("unknownCell", "this node's configuration has no cell "+strconv.Quote(id))
	}
	if len(s.loops) >= maxLoops && !s.evict() {
		return nil, refusal("tooManyCells", "this node decides for too many cells")
	}
	e := s.start(id, engines)
	s.inform(ctx, e)
	return e, nil
}

// start adds a loop; the caller holds the lock.
func (s *Set) start(id string, engines []string) *entry {
	e := &entry{id: id, engines: engines, users: 1}
	e.loop = loop.New(func(ctx context.Context, target string) { s.fetch(ctx, e.loop, target) })
	if s.options.Prepare != nil {
		s.options.Prepare(e.loop)
	}
	e.runner = flow.New(e.loop, s.options.Dial, s.options.Flow...)
	e.token = s.supervisor.Add(e.loop)
	s.loops[id] = e
	s.options.Scope.Counter("cell_starts").Inc(1)
	s.options.Scope.Gauge("cells").Update(float64(len(s.loops)))
	return e
}

// inform sends a loop its engines and which of them are leaving. The caller holds
// the lock, so that no request arrives before and no older list after.
func (s *Set) inform(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	message, engines := s.all, e.engines
	all := message.All
	message.All = nil
	for _, t := range all {
		if slices.Contains(engines, t.Name) {
			message.All = append(message.All, t)
		}
	}
	_ = e.loop.Send(ctx, message)
	for _, name := range s.options.Leaving() {
		if slices.Contains(engines, name) {
			_ = e.loop.Send(ctx, cell.Leaving{Target: name})
		}
	}
}

func (s *Set) release(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.users--
	e.used = time.Now()
}

// sweep ends loops that have been idle.
func (s *Set) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.loops {
		if e.users == 0 && now.Sub(e.used) >= idleTime {
			s.end(e)
		}
	}
}

// evict ends the loop that has been idle for longest; the caller holds the lock.
func (s *Set) evict() bool {
	var oldest *entry
	for _, e := range s.loops {
		if e.users == 0 && (oldest == nil || e.used.Before(oldest.used)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	s.end(oldest)
	return true
}

func (s *Set) end(e *entry) {
	delete(s.loops, e.id)
	_ = s.supervisor.Remove(e.token)
	s.options.Scope.Counter("cell_ends").Inc(1)
	s.options.Scope.Gauge("cells").Update(float64(len(s.loops)))
}

// fetch reads an engine's cache snapshot for a loop in the background.
func (s *Set) fetch(ctx context.Context, l *loop.Loop, target string) {
	client, ok := s.options.Dial(target)
	if !ok {
		return
	}
	go func(ctx context.Context) {
		snapshot, err := client.Snapshot(ctx)
		if err == nil {
			_ = l.Send(ctx, cell.Snapshot{Target: target, Snapshot: snapshot})
		}
	}(ctx)
}

func refusal(code, message string) *fault.Error {
	return &fault.Error{
		Code: code, Status: http.StatusServiceUnavailable, Outcome: effect.NotRun{Reason: message},
		RetryAfter: time.Second, Message: message,
	}
}
