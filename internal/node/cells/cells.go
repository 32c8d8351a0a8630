// Package cells manages the loops of the cells that run on this node. A loop
// starts with the first request for its cell and is stopped after an idle time.
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
	idleTimeout   = 5 * time.Minute
	sweepInterval = 30 * time.Second
	sendTimeout   = time.Second
)

// Options are the dependencies of a [Set].
type Options struct {
	// DataCentre is the data centre of this node.
	DataCentre string
	// Targets converts a configuration to the message that cells receive.
	Targets func(site.Config) cell.Targets
	// Dial returns the client of an engine.
	Dial func(target string) (engine.Client, bool)
	// Prepare, if not nil, configures each new loop before it runs.
	Prepare func(*loop.Loop)
	// Leaving returns the targets that may get no new work.
	Leaving func() []string
	// Flow holds the options of every runner.
	Flow []flow.Option
	// Scope receives the metrics.
	Scope tally.Scope
	// OnSupervisorEvent receives the events of the supervisor of the loops.
	OnSupervisorEvent suture.EventHook
}

// Set holds the loops of the cells that run on this node. It is a suture service.
type Set struct {
	options    Options
	supervisor *suture.Supervisor

	mu      sync.Mutex
	groups  group.Partition
	byID    map[string]group.Cell
	targets cell.Targets
	loops   map[string]*runningCell
}

type runningCell struct {
	id           string
	loop         *loop.Loop
	runner       *flow.Runner
	token        suture.ServiceToken
	engines      []string
	openRequests int
	lastUsed     time.Time
}

// New returns a set without loops.
//
//	set := cells.New(options)
//	supervisor.Add(set)
//	set.Apply(ctx, config)
//	err := set.Run(ctx, set.Candidates(request)[0].ID, request, sink)
func New(options Options) *Set {
	return &Set{
		options: options, loops: map[string]*runningCell{},
		supervisor: suture.New("cells", suture.Spec{EventHook: options.OnSupervisorEvent}),
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
			s.stopIdle(time.Now())
		}
	}
}

// Cells returns the cells of the configuration in force.
func (s *Set) Cells() []group.Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups.Cells()
}

// Apply sends every loop its engines of a new configuration. A cell that is no
// longer configured gets no new requests; its running requests continue.
func (s *Set) Apply(ctx context.Context, config site.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = s.groups.Update(config)
	s.byID = map[string]group.Cell{}
	for _, c := range s.groups.Cells() {
		s.byID[c.ID] = c
	}
	s.targets = s.options.Targets(config)
	for _, r := range s.loops {
		r.engines = s.enginesOf(r.id)
		s.sendTargets(ctx, r)
	}
}

// Best returns the best cell for a job, in time that doesn't depend on the number
// of engines, and false if no cell serves it.
func (s *Set) Best(j job.Job) (group.Cell, bool) {
	s.mu.Lock()
	groups, byID := s.groups, s.byID
	s.mu.Unlock()
	if len(byID) == 0 {
		return group.Cell{}, false
	}
	found, ok := byID[groups.Nearest(j, s.options.DataCentre)]
	return found, ok
}

// Candidates returns the cells that can serve a job, best first.
func (s *Set) Candidates(j job.Job) []group.Cell {
	s.mu.Lock()
	groups, byID := s.groups, s.byID
	s.mu.Unlock()
	var found []group.Cell
	for _, id := range groups.CandidatesNear(j, s.options.DataCentre) {
		found = append(found, byID[id])
	}
	return found
}

// Run runs a job on a cell of this node, whose loop it starts if necessary.
func (s *Set) Run(ctx context.Context, id string, j job.Job, sink func(engine.Event) error) error {
	r, err := s.acquire(ctx, id)
	if err != nil {
		return err
	}
	defer s.release(r)
	return r.runner.Run(ctx, j, sink)
}

// Send sends a message about an engine to the loops whose cells have it.
func (s *Set) Send(ctx context.Context, target string, message cell.Message) {
	for _, l := range s.loopsWith(target) {
		_ = l.Send(ctx, message)
	}
}

// Engines returns the engines of all loops, sorted and without duplicates.
func (s *Set) Engines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, r := range s.loops {
		names = append(names, r.engines...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Running returns the sorted IDs of the cells that run on this node.
func (s *Set) Running() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.loops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Set) loopsWith(target string) []*loop.Loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*loop.Loop
	for _, r := range s.loops {
		if slices.Contains(r.engines, target) {
			found = append(found, r.loop)
		}
	}
	return found
}

// enginesOf returns the engines of a cell; the caller holds the lock.
func (s *Set) enginesOf(id string) []string {
	return s.byID[id].Engines
}

// acquire returns the running cell, starting it if necessary, and keeps it running
// until release.
func (s *Set) acquire(ctx context.Context, id string) (*runningCell, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.loops[id]; ok {
		r.openRequests++
		return r, nil
	}
	engines := s.enginesOf(id)
	if len(engines) == 0 {
		return nil, refusal("unknownCell", "this node's configuration has no cell "+strconv.Quote(id))
	}
	if len(s.loops) >= maxLoops && !s.evict() {
		return nil, refusal("tooManyCells", "this node decides for too many cells")
	}
	r := s.start(id, engines)
	s.sendTargets(ctx, r)
	return r, nil
}

// start starts the loop of a cell; the caller holds the lock.
func (s *Set) start(id string, engines []string) *runningCell {
	r := &runningCell{id: id, engines: engines, openRequests: 1}
	r.loop = loop.New(func(ctx context.Context, target string) { s.fetchSnapshot(ctx, r.loop, target) })
	if s.options.Prepare != nil {
		s.options.Prepare(r.loop)
	}
	r.runner = flow.New(r.loop, s.options.Dial, s.options.Flow...)
	r.token = s.supervisor.Add(r.loop)
	s.loops[id] = r
	s.options.Scope.Counter("cell_starts").Inc(1)
	s.options.Scope.Gauge("cells").Update(float64(len(s.loops)))
	return r
}

// sendTargets sends a loop its engines and which of them are leaving. The caller
// holds the lock, so that no request reaches the loop before the list, and no
// older list after it.
func (s *Set) sendTargets(ctx context.Context, r *runningCell) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	message, engines := s.targets, r.engines
	all := message.All
	message.All = nil
	for _, t := range all {
		if slices.Contains(engines, t.Name) {
			message.All = append(message.All, t)
		}
	}
	_ = r.loop.Send(ctx, message)
	for _, name := range s.options.Leaving() {
		if slices.Contains(engines, name) {
			_ = r.loop.Send(ctx, cell.Leaving{Target: name})
		}
	}
}

func (s *Set) release(r *runningCell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.openRequests--
	r.lastUsed = time.Now()
}

// stopIdle stops the loops that have been idle for idleTimeout.
func (s *Set) stopIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.loops {
		if r.openRequests == 0 && now.Sub(r.lastUsed) >= idleTimeout {
			s.stop(r)
		}
	}
}

// evict stops the loop that has been idle for longest and reports whether there
// was one. The caller holds the lock.
func (s *Set) evict() bool {
	var oldest *runningCell
	for _, r := range s.loops {
		if r.openRequests == 0 && (oldest == nil || r.lastUsed.Before(oldest.lastUsed)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	s.stop(oldest)
	return true
}

func (s *Set) stop(r *runningCell) {
	delete(s.loops, r.id)
	_ = s.supervisor.Remove(r.token)
	s.options.Scope.Counter("cell_ends").Inc(1)
	s.options.Scope.Gauge("cells").Update(float64(len(s.loops)))
}

// fetchSnapshot reads an engine's cache snapshot in the background and sends it to
// the loop.
func (s *Set) fetchSnapshot(ctx context.Context, l *loop.Loop, target string) {
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
