// Package steer decides which node decides. The node that a request enters
// picks the cell and hands the request to the cell's home, which knows exactly
// what is in flight there. When the home is lost or slow, its successor is
// tried, and then this node decides alone: a lost home costs hits, not answers.
package steer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/peer/hop"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	maxHomes   = 2
	maxCells   = 2
	avoidTime  = 2 * time.Second
	maxAvoided = 1024
)

// Local decides for cells on this node.
type Local interface {
	// First returns the best cell for a job; false means that there is none.
	First(j job.Job) (group.Cell, bool)
	// Candidates returns the cells that may answer a job, best first.
	Candidates(j job.Job) []group.Cell
	// Run answers a job on a cell.
	Run(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error
}

// Remote hands a job to another node.
type Remote interface {
	// Run has the node at address answer a job; see [hop.Client.Run].
	Run(ctx context.Context, address, cell string, j job.Job, sink func(engine.Event) error) error
}

// Fleet knows the other nodes.
type Fleet interface {
	// Homes returns the nodes that look after a cell, best first.
	Homes(cell, dataCentre string, count int) []Home
	// Doubt tells that a node could not be used.
	Doubt(name string)
}

// Home is a node that looks after a cell.
type Home struct {
	// Name is the node's name.
	Name string
	// Address is where other nodes reach it.
	Address string
	// Self is true for this node.
	Self bool
}

// Steer implements the runner of the entry.
type Steer struct {
	local  Local
	remote Remote
	fleet  Fleet
	scope  tally.Scope

	mu      sync.Mutex
	avoided map[string]time.Time
}

// New returns a runner.
//
//	runner := steer.New(set, hops, fleet, scope)
//	handler := front.New("node-1", applied.Config, runner)
func New(local Local, remote Remote, fleet Fleet, scope tally.Scope) *Steer {
	return &Steer{local: local, remote: remote, fleet: fleet, scope: scope, avoided: map[string]time.Time{}}
}

// Run answers a request that entered at this node.
func (s *Steer) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	first, ok := s.local.First(j)
	if !ok {
		return &fault.Error{
			Code: "noEngine", Status: http.StatusServiceUnavailable, Outcome: effect.NotRun{Reason: "no engine serves the application"},
			RetryAfter: time.Second, Message: "no engine serves the application",
		}
	}
	t := newTrip(s, j, sink)
	err := t.visit(ctx, first)
	if t.isElsewhere(err) {
		err = s.elsewhere(ctx, t, first, err)
	}
	return t.close(err)
}

// elsewhere tries the cells after the first, which had no engine for a request.
// Only then are all cells ranked.
func (s *Steer) elsewhere(ctx context.Context, t *trip, first group.Cell, err error) error {
	visits := 1
	for _, c := range s.local.Candidates(t.job) {
		if c.ID == first.ID {
			continue
		}
		if visits >= maxCells || !t.isElsewhere(err) {
			break
		}
		visits++
		s.count("steer_other_cells")
		err = t.visit(ctx, c)
	}
	return err
}

// RunHere answers a request that another node handed to this one. It never
// hands it on.
func (s *Steer) RunHere(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
	s.count("steer_taken")
	return s.local.Run(ctx, cell, j, sink)
}

func (s *Steer) count(name string) { s.scope.Counter(name).Inc(1) }

// avoid keeps a node that was lost out of the way for a moment.
func (s *Steer) avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for other, until := range s.avoided {
		if !now.Before(until) {
			delete(s.avoided, other)
		}
	}
	if len(s.avoided) < maxAvoided {
		s.avoided[name] = now.Add(avoidTime)
	}
}

func (s *Steer) isAvoided(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoided[name])
}

// isLost reports whether another node should be tried, and what is known of the
// work at the one that failed.
func isLost(err error) (effect.Outcome, bool) {
	var lost *hop.LostError
	if errors.As(err, &lost) {
		return lost.Outcome, true
	}
	var refused *fault.Error
	if !errors.As(err, &refused) {
		return nil, false
	}
	switch refused.Code {
	case "stopping", "unknownCell", "tooManyCells", "hopLimit":
		return refused.Outcome, true
	default:
		return nil, false
	}
}
