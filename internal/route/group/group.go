// Package group divides a configuration's engines into cells: sets small
// enough for one node to know exactly. The result depends on the configuration
// alone, so every node computes the same cells without a message.
package group

import (
	"math/bits"
	"slices"
	"sync"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// minEngines is the number of engines from which a data centre has cells of
	// its own; below it the data centres of a region are pooled. A cell of a
	// large pool has between minEngines and twice as many on average.
	minEngines = 16
	// spreadFactor is how many times its share of the cells a workspace may use.
	spreadFactor = 2
	// leafBlock is the block that spreads requests over cells when the levels of
	// the prompt are unknown.
	leafBlock = 3
)

// Cell is a set of engines that one node decides for.
type Cell struct {
	// ID is the same on every node with this configuration.
	ID string
	// Region holds all engines of the cell.
	Region string
	// DataCentre holds all engines of the cell; empty when they are pooled over
	// the data centres of the region.
	DataCentre string
	// Applications are the applications that some engine of the cell answers.
	Applications []string
	// Engines are the names of the engines, in order.
	Engines []string
	// Capacity is the sum of the engines' capacities.
	Capacity float64
}

// Groups are the cells of one configuration. It is never changed after New.
type Groups struct {
	cells   []Cell
	targets []place.Target
	serving map[string][]int
	regions map[string]string
	shares  map[string]float64
	total   map[string]float64
	own     *sync.Map
	config  site.Config
}

// New computes the cells of a configuration.
//
//	groups := group.New(config)
//	for _, cell := range groups.Cells() {
//		home := homeOf(cell.ID)
//	}
func New(config site.Config) Groups {
	g := Groups{serving: map[string][]int{}, regions: regions(config)}
	g.share(config)
	g.cells = split(config, g.regions)
	for i, cell := range g.cells {
		g.targets = append(g.targets, place.Target{Name: cell.ID, Hash: place.Hash(cell.ID), Weight: cell.Capacity})
		for _, application := range cell.Applications {
			g.serving[application] = append(g.serving[application], i)
		}
	}
	return g
}

// With computes the cells of the next configuration. It is like [New], and
// keeps the cells when the lists that they come from are the same in memory, as
// they are after a change that concerns workspaces only.
func (g Groups) With(config site.Config) Groups {
	if !same(g.config.Engines, config.Engines) || !same(g.config.Applications, config.Applications) || !same(g.config.Regions, config.Regions) {
		return New(config)
	}
	g.share(config)
	return g
}

// share takes over what workspaces there are.
func (g *Groups) share(config site.Config) {
	g.config, g.own, g.shares, g.total = config, &sync.Map{}, map[string]float64{}, map[string]float64{}
	for _, w := range config.Workspaces {
		g.shares[w.Name] = positive(w.Share)
		for _, application := range w.Applications {
			g.total[application] += positive(w.Share)
		}
	}
}

// same tells whether two lists are one in memory. Configurations never change,
// so one in memory has one content.
func same[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// Cells returns all cells, ordered by ID.
func (g Groups) Cells() []Cell { return g.cells }

// Candidates returns the IDs of the cells that may answer a job, best first.
//
//	for _, id := range groups.Candidates(j) {
//		try(id)
//	}
func (g Groups) Candidates(j job.Job) []string {
	return g.rank(j, g.serving[j.Application])
}

// Near is like [Groups.Candidates], with the cells that lie in or are pooled
// over a data centre first, then those of its region, then the rest.
func (g Groups) Near(j job.Job, dataCentre string) []string {
	here, near, far := g.distances(j, dataCentre)
	return slices.Concat(g.rank(j, here), g.rank(j, near), g.rank(j, far))
}

// distances sorts the cells that may answer a job by their distance.
func (g Groups) distances(j job.Job, dataCentre string) (here, near, far []int) {
	region := g.regions[dataCentre]
	for _, i := range g.serving[j.Application] {
		cell := g.cells[i]
		switch {
		case cell.Region == region && (cell.DataCentre == dataCentre || cell.DataCentre == ""):
			here = append(here, i)
		case cell.Region == region:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	return here, near, far
}

// rank orders cells for a job: the workspace's own cells by the leaf of its
// prompt, then the others by workspace.
func (g Groups) rank(j job.Job, cells []int) []string {
	if len(cells) == 0 {
		return nil
	}
	targets, order := g.byWorkspace(j, cells)
	own := make([]place.Target, g.spread(j, len(cells)))
	for i := range own {
		own[i] = targets[order[i]]
	}
	ids := make([]string, 0, len(cells))
	for _, i := range place.Rank(Leaf(j), own, len(own)) {
		ids = append(ids, own[i].Name)
	}
	for _, i := range order[len(own):] {
		ids = append(ids, targets[i].Name)
	}
	return ids
}

// byWorkspace returns cells as rendezvous targets, and the order in which they
// are a workspace's own.
func (g Groups) byWorkspace(j job.Job, cells []int) (targets []place.Target, order []int) {
	targets = make([]place.Target, len(cells))
	for i, c := range cells {
		targets[i] = g.targets[c]
	}
	return targets, place.Rank(place.Hash(j.Workspace), targets, len(targets))
}

// spread returns the number of cells that a workspace's requests go to.
func (g Groups) spread(j job.Job, cells int) int {
	share := positive(g.shares[j.Workspace])
	total := max(g.total[j.Application], share)
	return max(1, min(cells, int(spreadFactor*float64(cells)*share/total)))
}

// Leaf returns the hash of the deepest level of a job's prompt that other
// requests may share.
func Leaf(j job.Job) uint64 {
	if len(j.Blocks) == 0 {
		return j.Fingerprint
	}
	last := len(j.Blocks) - 1
	if n := len(j.Levels); n > 0 && j.Levels[n-1] > 0 {
		return j.Blocks[min(last, j.Levels[n-1]-1)]
	}
	return j.Blocks[min(last, leafBlock)]
}

func regions(config site.Config) map[string]string {
	of := map[string]string{}
	for _, region := range config.Regions {
		for _, dataCentre := range region.DataCentres {
			of[dataCentre] = region.Name
		}
	}
	return of
}

// slots returns the number of cells of a pool. It doubles when the pool does,
// so that most changes of the configuration move no engine.
func slots(engines int) int {
	if engines < 2*minEngines {
		return 1
	}
	return 1 << (bits.Len(uint(engines/minEngines)) - 1)
}

func positive(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
