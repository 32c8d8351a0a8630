package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

// replicationTimeout is the time after which a replication that has not ended no
// longer blocks the next one.
const replicationTimeout = 5 * time.Second

// replicate copies a hot prefix to one more engine before queues build up at its
// holders. The number of holders follows the load that requests for each prefix
// level cause, with hysteresis. When the load falls, surplus copies are no longer
// renewed and get evicted.
func (s *State) replicate(now time.Time, r *request) []Command {
	work := time.Duration(float64(r.uncachedTokens(r.cachedBlocks)+answerCostTokens) * r.target.load.TokenTime() * float64(time.Second))
	for _, depth := range r.levels[:max(0, len(r.levels)-1)] {
		key := r.job.Blocks[depth-1]
		wanted := s.meter.Add(now, key, work)
		if wanted <= 1 || depth < minImportBlocks || now.Before(s.replication.until) {
			continue
		}
		if command, ok := s.startReplication(now, r, depth, wanted); ok {
			return []Command{command}
		}
	}
	return nil
}

// startReplication imports the first depth blocks of a prompt into the best-ranked
// engine that lacks them, if fewer than wanted engines hold them.
func (s *State) startReplication(now time.Time, r *request, depth, wanted int) (Command, bool) {
	key, holders := r.job.Blocks[depth-1], 0
	var from, best *target
	score := 0.0
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || !t.sameWeights(r) {
			continue
		}
		if t.cache.Depth(r.job.Blocks) >= depth {
			holders++
			if t.readyDepth(r) >= depth {
				from = t
			}
			continue
		}
		at := place.Score(key, place.Target{Hash: t.hash, Weight: t.Capacity})
		if t.cache.Incarnation() != "" && s.canImport(t, false) && (best == nil || at > score) {
			best, score = t, at
		}
	}
	if from == nil || best == nil || holders >= wanted {
		return nil, false
	}
	s.replication.until = now.Add(replicationTimeout)
	s.replication.target, s.replication.blocks = best, r.job.Blocks[:depth]
	s.replication.weightVersion = r.job.WeightVersion
	s.count.Replicated++
	return Import{
		Target: best.Name, Incarnation: best.cache.Incarnation(), Source: from.Name, Workspace: r.job.Workspace,
		WeightVersion: r.job.WeightVersion, Blocks: r.job.Blocks[:depth],
	}, true
}

// replication is the copy in progress; a cell runs one at a time.
type replication struct {
	until         time.Time
	target        *target
	blocks        []uint64
	weightVersion string
}

// endReplication records the copied blocks, provided that the engine has not
// restarted and the weight version is the one that was asked for.
func (s *State) endReplication(now time.Time, m Imported) {
	c := *s.replication
	*s.replication = replication{}
	if c.target == nil || c.target.Name != m.Target || m.Blocks == 0 {
		return
	}
	if c.target.cache.Incarnation() == m.Incarnation && c.weightVersion == m.WeightVersion {
		c.target.cache.Touch(now, c.blocks[:min(m.Blocks, len(c.blocks))])
	}
}
