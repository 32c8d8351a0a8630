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

// LocalRunner runs requests on this node.
type LocalRunner interface {
	// Best returns the best cell for a job, or false if no cell serves it.
	Best(j job.Job) (group.Cell, bool)
	// Candidates returns the cells that serve a job, best first.
	Candidates(j job.Job) []group.Cell
	// Run runs a job on a cell.
	Run(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error
}

// RemoteRunner forwards jobs to other nodes.
type RemoteRunner interface {
	// Run has the node at address run a job on a cell; see [hop.Client.Run].
	Run(ctx context.Context, address, cell string, j job.Job, sink func(engine.Event) error) error
}

// Fleet provides the home nodes of cells.
type Fleet interface {
	// Homes returns up to count home nodes of a cell, best first.
	Homes(cell, dataCentre string, count int) []Home
	// ReportFailure reports that a request to a node failed, so that its membership
	// state is checked.
	ReportFailure(name string)
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

// Forwarder forwards requests to home nodes. It implements the Runner of package
// front.
type Forwarder struct {
	local  LocalRunner
	remote RemoteRunner
	fleet  Fleet
	scope  tally.Scope

	mu      sync.Mutex
	avoided map[string]time.Time
}

// New returns a Forwarder.
//
//	runner := steer.New(set, hops, fleet, scope)
//	handler := front.New("node-1", applied.Config, runner)
func New(local LocalRunner, remote RemoteRunner, fleet Fleet, scope tally.Scope) *Forwarder {
	return &Forwarder{local: local, remote: remote, fleet: fleet, scope: scope, avoided: map[string]time.Time{}}
}

// Run runs a request that a caller sent to this node.
func (f *Forwarder) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	first, ok := f.local.Best(j)
	if !ok {
		return &fault.Error{
			Code: "noEngine", Status: http.StatusServiceUnavailable, Outcome: effect.NotRun{Reason: "no engine serves the application"},
			RetryAfter: time.Second, Message: "no engine serves the application",
		}
	}
	d := newDispatch(f, j, sink)
	err := d.tryCell(ctx, first)
	if d.canTryOtherCell(err) {
		err = f.tryOtherCells(ctx, d, first, err)
	}
	return d.finalError(err)
}

// tryOtherCells tries further cells after the first one had no engine for the
// request. Ranking all cells is left to this rare case.
func (f *Forwarder) tryOtherCells(ctx context.Context, d *dispatch, first group.Cell, err error) error {
	tried := 1
	for _, c := range f.local.Candidates(d.job) {
		if c.ID == first.ID {
			continue
		}
		if tried >= maxCells || !d.canTryOtherCell(err) {
			break
		}
		tried++
		f.count("steer_other_cells")
		err = d.tryCell(ctx, c)
	}
	return err
}

// RunForwarded runs a request that another node forwarded to this one. It never
// forwards the request again, which rules out loops.
func (f *Forwarder) RunForwarded(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
	f.count("steer_taken")
	return f.local.Run(ctx, cell, j, sink)
}

func (f *Forwarder) count(name string) { f.scope.Counter(name).Inc(1) }

// avoid skips a failed node for the next requests, for avoidTime.
func (f *Forwarder) avoid(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for other, until := range f.avoided {
		if !now.Before(until) {
			delete(f.avoided, other)
		}
	}
	if len(f.avoided) < maxAvoided {
		f.avoided[name] = now.Add(avoidTime)
	}
}

func (f *Forwarder) isAvoided(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.avoided[name])
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
