package cell

import "time"

const (
	// minFetchInterval is the least time between two snapshots of one engine.
	minFetchInterval = 2 * time.Second
	// moveAfter is how long a request is queued before it may move to another
	// engine.
	moveAfter = 200 * time.Millisecond
	// maxMoves bounds the requests reconsidered in one tick.
	maxMoves = 64
	// A move must save at least the fraction minMoveGain of the cost and the time
	// minMoveSaving.
	minMoveGain   = 0.3
	minMoveSaving = 300 * time.Millisecond
)

// replace applies a new list of engines. Engines that stay listed keep their
// estimates and their leaving mark, which only a new incarnation clears. For a
// new engine it fetches a snapshot.
func (s *State) replace(now time.Time, m Targets) []Command {
	s.costWeights = newCostWeights(m.TailTTFT, m.Recomputation)
	known := map[string]*target{}
	for _, t := range s.targets {
		known[t.Name] = t
	}
	s.targets = nil
	var commands []Command
	for i, next := range m.All {
		t, ok := known[next.Name]
		if !ok {
			t = newTarget(next)
			commands = append(commands, s.fetch(now, t)...)
		}
		delete(known, next.Name)
		leaving, weights := t.Leaving, t.WeightVersion
		capacity := t.Capacity
		t.Target = next
		t.Leaving = next.Leaving || leaving
		if next.WeightVersion == "" {
			t.WeightVersion = weights
		}
		if next.Capacity <= 0 {
			t.Capacity = capacity
		}
		t.index = i
		s.targets = append(s.targets, t)
	}
	s.owners = newOwners(m.Shares)
	s.kvStore.present = m.HasStore
	for _, t := range m.removed(known) {
		t.removed = true
		commands = append(commands, s.requeue(now, t)...)
	}
	return commands
}

// markLeaving marks an engine as leaving and places its queued requests anew.
func (s *State) markLeaving(now time.Time, name string) []Command {
	t := s.find(name)
	if t == nil || t.Leaving {
		return nil
	}
	t.Leaving = true
	return s.requeue(now, t)
}

func (s *State) report(now time.Time, m LoadReport) []Command {
	t := s.find(m.Target)
	if t == nil || !t.setIncarnation(m.Load.Incarnation) {
		return nil
	}
	t.setWeights(m.Load.WeightVersion)
	t.load.Report(now, m.Load)
	if m.Load.Leaving {
		return s.markLeaving(now, m.Target)
	}
	return s.dispatch(now, t)
}

// cacheEvents applies cache events. After a gap it fetches a snapshot.
func (s *State) cacheEvents(now time.Time, m CacheEvents) []Command {
	t := s.find(m.Target)
	if t == nil || !t.setIncarnation(m.Batch.Incarnation) {
		return nil
	}
	if !t.cache.ApplyEvents(now, m.Batch) {
		return nil
	}
	s.count.Gaps++
	return s.fetch(now, t)
}

func (s *State) fetch(now time.Time, t *target) []Command {
	if now.Sub(t.fetchedAt) < minFetchInterval {
		return nil
	}
	t.fetchedAt = now
	return []Command{FetchSnapshot{Target: t.Name}}
}

func (s *State) snapshot(now time.Time, m Snapshot) {
	if t := s.find(m.Target); t != nil && t.setIncarnation(m.Snapshot.Incarnation) {
		t.cache.ApplySnapshot(now, m.Snapshot)
	}
}

// tick dispatches queued requests, refuses those past their deadline, and moves
// requests to engines that have become cheaper. It fetches a snapshot where
// cache events were missed.
func (s *State) tick(now time.Time) []Command {
	var commands []Command
	moves := maxMoves
	for _, t := range s.targets {
		if t.cache.MissedEvents() {
			commands = append(commands, s.fetch(now, t)...)
		}
		commands = append(commands, s.dispatch(now, t)...)
		commands = append(commands, s.review(now, t, &moves)...)
	}
	return commands
}

func (s *State) review(now time.Time, t *target, moves *int) []Command {
	var commands []Command
	for _, id := range t.queue.IDs() {
		r := t.queued[id]
		if r.importBlocks != nil && !now.Before(r.importUntil) {
			s.endImport(r)
		}
		switch {
		case !now.Before(r.deadline()):
			s.dequeue(r)
			commands = append(commands, s.refuse(r, "deadline", "the first token did not come in time", 0)...)
		case *moves > 0 && r.importBlocks == nil && now.Sub(r.queuedAt) >= moveAfter:
			*moves--
			r.queuedAt = now
			commands = append(commands, s.reconsider(now, r)...)
		}
	}
	return commands
}

// reconsider moves a queued request if another engine is cheaper by the margins
// minMoveGain and minMoveSaving.
func (s *State) reconsider(now time.Time, r *request) []Command {
	from := r.target
	best := s.choose(now, r)
	current := s.estimate(now, r, from, s.recomputeWeight(), source{})
	if best.target == nil || best.target == from || best.cost > min(current.cost*(1-minMoveGain), current.cost-minMoveSaving.Seconds()) {
		return nil
	}
	s.dequeue(r)
	s.enqueue(now, r, best)
	s.count.Moved++
	return s.dispatch(now, best.target)
}

func (s *State) find(name string) *target {
	for _, t := range s.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}
