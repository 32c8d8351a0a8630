// Package group partitions a configuration's engines into cells, which are small
// enough for one node to schedule. The partition depends on the configuration
// alone, so that all nodes compute the same cells without communication.
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
	// minEngines is the number of engines from which a data centre has cells of its
	// own; smaller data centres of a region are pooled. On average, a cell of a
	// large pool has between one and two times minEngines.
	minEngines = 16
	// spreadFactor is the factor by which the cells of a workspace may exceed its
	// share of the cells.
	spreadFactor = 2
	// leafBlock is the index of the block that selects the cell when the levels of
	// the prompt are unknown.
	leafBlock = 3
)

// Cell is a set of engines that one node schedules.
type Cell struct {
	// ID is the same on every node with this configuration.
	ID string
	// Region is the region of all engines of the cell.
	Region string
	// DataCentre is the data centre of all engines of the cell; empty when they are
	// pooled over the data centres of the region.
	DataCentre string
	// Applications are the applications served by at least one engine of the cell,
	// sorted.
	Applications []string
	// Engines are the sorted names of the engines.
	Engines []string
	// Capacity is the sum of the engines' capacities.
	Capacity float64
}

// Partition holds the cells of one configuration. It is immutable, except for a
// concurrent cache of the cells of each workspace.
type Partition struct {
	cells []Cell
	// targets are the cells as rendezvous targets, by the same index.
	targets []place.Target
	// serving lists the indexes of the cells that serve an application.
	serving map[string][]int
	// regions maps data centres to regions.
	regions map[string]string
	// shares are the shares of workspaces, shareTotals their sums by application.
	shares      map[string]float64
	shareTotals map[string]float64
	// own caches the cells of each workspace; see [Partition.Nearest].
	own    *sync.Map
	config site.Config
}

// New computes the cells of a configuration.
//
//	groups := group.New(config)
//	for _, cell := range groups.Cells() {
//		home := homeOf(cell.ID)
//	}
func New(config site.Config) Partition {
	g := Partition{serving: map[string][]int{}, regions: regions(config)}
	g.setWorkspaces(config)
	g.cells = split(config, g.regions)
	for i, cell := range g.cells {
		g.targets = append(g.targets, place.Target{Name: cell.ID, Hash: place.Hash(cell.ID), Weight: cell.Capacity})
		for _, application := range cell.Applications {
			g.serving[application] = append(g.serving[application], i)
		}
	}
	return g
}

// Update returns the cells of the next configuration, with the result of [New]. It
// reuses the cells when the configuration's engines, applications and regions are
// the same slices in memory, as they are after a change to workspaces only.
func (p Partition) Update(config site.Config) Partition {
	if !sameSlice(p.config.Engines, config.Engines) || !sameSlice(p.config.Applications, config.Applications) || !sameSlice(p.config.Regions, config.Regions) {
		return New(config)
	}
	p.setWorkspaces(config)
	return p
}

// setWorkspaces sets the configuration, with the shares of its workspaces and an
// empty cache of their cells.
func (p *Partition) setWorkspaces(config site.Config) {
	p.config, p.own, p.shares, p.shareTotals = config, &sync.Map{}, map[string]float64{}, map[string]float64{}
	for _, w := range config.Workspaces {
		p.shares[w.Name] = orOne(w.Share)
		for _, application := range w.Applications {
			p.shareTotals[application] += orOne(w.Share)
		}
	}
}

// sameSlice reports whether two slices share their memory and length. Since
// configurations are immutable, their content is then the same too.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// Cells returns all cells, ordered by ID.
func (p Partition) Cells() []Cell { return p.cells }

// Candidates returns the IDs of the cells that serve a job's application, best
// first.
//
//	for _, id := range groups.Candidates(j) {
//		try(id)
//	}
func (p Partition) Candidates(j job.Job) []string {
	return p.rank(j, p.serving[j.Application])
}

// CandidatesNear is like [Partition.Candidates], but orders by distance first: the
// cells in a data centre and those pooled over its region, then other cells of the
// region, then the rest.
func (p Partition) CandidatesNear(j job.Job, dataCentre string) []string {
	here, near, far := p.distances(j, dataCentre)
	return slices.Concat(p.rank(j, here), p.rank(j, near), p.rank(j, far))
}

// distances groups the cells that serve a job's application by their distance
// from a data centre.
func (p Partition) distances(j job.Job, dataCentre string) (here, near, far []int) {
	region := p.regions[dataCentre]
	for _, i := range p.serving[j.Application] {
		cell := p.cells[i]
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

// rank orders cells for a job: first the workspace's own cells, ranked by the
// prompt's [LeafHash], then the others, ranked by workspace.
func (p Partition) rank(j job.Job, cells []int) []string {
	if len(cells) == 0 {
		return nil
	}
	targets, order := p.byWorkspace(j, cells)
	own := make([]place.Target, p.ownCount(j, len(cells)))
	for i := range own {
		own[i] = targets[order[i]]
	}
	ids := make([]string, 0, len(cells))
	for _, i := range place.Rank(LeafHash(j), own, len(own)) {
		ids = append(ids, own[i].Name)
	}
	for _, i := range order[len(own):] {
		ids = append(ids, targets[i].Name)
	}
	return ids
}

// byWorkspace returns cells as rendezvous targets, and their rank for the job's
// workspace, whose own cells come first.
func (p Partition) byWorkspace(j job.Job, cells []int) (targets []place.Target, order []int) {
	targets = make([]place.Target, len(cells))
	for i, c := range cells {
		targets[i] = p.targets[c]
	}
	return targets, place.Rank(place.Hash(j.Workspace), targets, len(targets))
}

// ownCount returns the number of a workspace's own cells.
func (p Partition) ownCount(j job.Job, cells int) int {
	share := orOne(p.shares[j.Workspace])
	total := max(p.shareTotals[j.Application], share)
	return max(1, min(cells, int(spreadFactor*float64(cells)*share/total)))
}

// LeafHash returns the block hash at the end of the deepest level of a job's prompt
// that other requests may share.
func LeafHash(j job.Job) uint64 {
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

// cellCount returns the number of cells of a pool. It is a power of two, so that
// it seldom changes and most configuration changes move no engine.
func cellCount(engines int) int {
	if engines < 2*minEngines {
		return 1
	}
	return 1 << (bits.Len(uint(engines/minEngines)) - 1)
}

func orOne(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
