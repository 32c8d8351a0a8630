package group

import (
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// ownKey is the cache key of a workspace's own cells, as seen from a data centre.
type ownKey struct{ workspace, application, dataCentre string }

// Nearest returns the first cell of [Partition.CandidatesNear], or "" when no cell
// serves the application. It caches the cells of each workspace, so that its cost
// does not grow with the number of engines.
//
//	home := homeOf(groups.Nearest(j, "tema"))
func (p Partition) Nearest(j job.Job, dataCentre string) string {
	key := ownKey{j.Workspace, j.Application, dataCentre}
	own, ok := p.own.Load(key)
	if !ok {
		own, _ = p.own.LoadOrStore(key, p.ownCells(j, dataCentre))
	}
	leaf, best, score := LeafHash(j), "", 0.0
	for _, target := range own.([]place.Target) {
		if s := place.Score(leaf, target); best == "" || s > score {
			best, score = target.Name, s
		}
	}
	return best
}

// ownCells returns a workspace's own cells among those nearest to a data centre.
func (p Partition) ownCells(j job.Job, dataCentre string) []place.Target {
	here, near, far := p.distances(j, dataCentre)
	for _, cells := range [][]int{here, near, far} {
		if len(cells) > 0 {
			targets, order := p.byWorkspace(j, cells)
			own := make([]place.Target, p.ownCount(j, len(cells)))
			for i := range own {
				own[i] = targets[order[i]]
			}
			return own
		}
	}
	return nil
}
