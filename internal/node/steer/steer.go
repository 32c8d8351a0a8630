// Package steer forwards each request to the node that schedules it. The node
// that receives a request selects a cell and forwards the request to the cell's
// home node, which knows exactly what is in flight on the cell's engines. If the
// home node fails or is too slow, the next one is tried, and then the receiving
// node schedules the request itself: losing a home node costs cache hits rather
// than requests.
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

// Local runs requests on this node.
type Local interface {
	// First returns the best cell for a job, or false if no cell serves it.
	First(j job.Job) (group.Cell, bool)
	// Candidates returns the cells that serve a job, best first.
	Candidates(j job.Job) []group.Cell
	// Run runs a job on a cell.
	Run(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error
}

// Remote forwards jobs to other nodes.
type Remote interface {
	// Run has the node at address run a job on a cell; see [hop.Client.Run].
	Run(ctx context.Context, address, cell string, j job.Job, sink func(engine.Event) error) error
}

// Fleet provides the home nodes of cells.
type Fleet interface {
	// Homes returns up to count home nodes of a cell, best first.
	Homes(cell, dataCentre string, count int) []Home
	// Doubt reports that a request to a node failed, so that its membership state
	// is checked.
	Doubt(name string)
}

// Home is a home node of a cell.
type Home struct {
	// Name is the node's name.
	Name string
	// Address is the address of its peer listener.
	Address string
	// Self is true if it is this node.
	Self bool
}

// Steer forwards requests to home nodes. It implements the Runner of package
// front.
type Steer struct {
	local  Local
	remote Remote
	fleet  Fleet
	scope  tally.Scope

	mu      sync.Mutex
	avoided map[string]time.Time
}

// New returns a Steer.
//
//	runner := steer.New(set, hops, fleet, scope)
//	handler := front.New("node-1", applied.Config, runner)
func New(local Local, remote Remote, fleet Fleet, scope tally.Scope) *Steer {
	return &Steer{local: local, remote: remote, fleet: fleet, scope: scope, avoided: map[string]time.Time{}}
}

// Run runs a request that a caller sent to this node.
func (s *Steer) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	first, ok := s.local.First(j)
	if !ok {
		return &fault.Error{
			Code: "noEngine", Status: http.StatusServiceUnavailable, Outcome: effect.NotRun{Reason: "no engine serves the application"},
			RetryAfter: time.Second, Message: "no engine serves the application",
		}
	}
	d := newDispatch(s, j, sink)
	err := d.tryCell(ctx, first)
	if d.canTryOtherCell(err) {
		err = s.tryOtherCells(ctx, d, first, err)
	}
	return d.finalError(err)
}

// tryOtherCells tries further cells after the first one had no engine for the
// request. Ranking all cells is left to this rare case.
func (s *Steer) tryOtherCells(ctx context.Context, d *dispatch, first group.Cell, err error) error {
	tried := 1
	for _, c := range s.local.Candidates(d.job) {
		if c.ID == first.ID {
			continue
		}
		if tried >= maxCells || !d.canTryOtherCell(err) {
			break
		}
		tried++
		s.count("steer_other_cells")
		err = d.tryCell(ctx, c)
	}
	return err
}

// RunHere runs a request that another node forwarded to this one. It never
// forwards the request again, which rules out loops.
func (s *Steer) RunHere(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
	s.count("steer_taken")
	return s.local.Run(ctx, cell, j, sink)
}

func (s *Steer) count(name string) { s.scope.Counter(name).Inc(1) }

// avoid skips a failed node for the next requests, for avoidTime.
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

// isNodeFailure reports whether another node should be tried after an error, and
// whether the failed node may have run the request.
func isNodeFailure(err error) (effect.Outcome, bool) {
	var lostError *hop.LostError
	if errors.As(err, &lostError) {
		return lostError.Outcome, true
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
