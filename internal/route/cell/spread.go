package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

// spreadTimeout is how long a spreading import may last before another is tried.
const spreadTimeout = 5 * time.Second

// spread copies a hot prefix to one more engine before the queue at its holders
// grows. It goes by the work that the requests for each level bring; hysteresis
// keeps the number of holders steady, and once a prefix cools its copies are no
// longer renewed and are evicted.
func (s *State) spread(now time.Time, r *run) []Command {
	work := time.Duration(float64(r.uncached(r.cached)+answerTokens) * r.target.load.Rate() * float64(time.Second))
	for _, depth := range r.levels[:max(0, len(r.levels)-1)] {
		key := r.job.Blocks[depth-1]
		wanted := s.meter.Add(now, key, work)
		if wanted <= 1 || depth < minImport || now.Before(s.spreading.until) {
			continue
		}
		if command, ok := s.copy(now, r, depth, wanted); ok {
			return []Command{command}
		}
	}
	return nil
}

// copy imports the first blocks of a prompt into the best engine that lacks
// them, if fewer than wanted hold them.
func (s *State) copy(now time.Time, r *run, depth, wanted int) (Command, bool) {
	key, holders := r.job.Blocks[depth-1], 0
	var from, best *target
	score := 0.0
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || !t.names(r) {
			continue
		}
		if t.cache.Depth(r.job.Blocks) >= depth {
			holders++
			if t.ready(r) >= depth {
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
	s.spreading.until = now.Add(spreadTimeout)
	s.spreading.target, s.spreading.blocks = best, r.job.Blocks[:depth]
	s.spreading.weights = r.job.WeightVersion
	s.count.Spread++
	return Import{
		Target: best.Name, Incarnation: best.cache.Incarnation(), Source: from.Name, Workspace: r.job.Workspace,
		WeightVersion: r.job.WeightVersion, Blocks: r.job.Blocks[:depth],
	}, true
}

// spreading is the copy under way; there is one at a time.
type spreading struct {
	until   time.Time
	target  *target
	blocks  []uint64
	weights string
}

// endSpread takes the end of a copy. It counts only for the engine start and
// the weights that it was made for.
func (s *State) endSpread(now time.Time, m Imported) {
	c := *s.spreading
	*s.spreading = spreading{}
	if c.target == nil || c.target.Name != m.Target || m.Blocks == 0 {
		return
	}
	if c.target.cache.Incarnation() == m.Incarnation && c.weights == m.WeightVersion {
		c.target.cache.Touch(now, c.blocks[:min(m.Blocks, len(c.blocks))])
	}
}
