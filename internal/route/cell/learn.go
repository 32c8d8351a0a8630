package cell

import "time"

const (
	// fetchInterval is the least time between two snapshots of one engine.
	fetchInterval = 2 * time.Second
	// moveAfter is how long a request waits before another engine is considered.
	moveAfter = 200 * time.Millisecond
	// maxMoves bounds the requests reconsidered in one tick.
	maxMoves = 64
	// moveGain and moveCost are the part of the cost and the time that a move
	// must save.
	moveGain = 0.3
	moveCost = 300 * time.Millisecond
)

// replace takes a new list of engines. What is known of engines that stay is
// kept, and so is the leaving mark, which belongs to an incarnation. Of a new
// engine it asks for a snapshot.
func (s *State) replace(now time.Time, m Targets) []Command {
	s.weights = newWeights(m.TailTTFT, m.Recomputation)
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
	s.store.present = m.HasStore
	for _, t := range m.gone(known) {
		t.gone = true
		commands = append(commands, s.clear(now, t)...)
	}
	return commands
}

// leave marks an engine as leaving and finds other engines for what waits.
func (s *State) leave(now time.Time, name string) []Command {
	t := s.find(name)
	if t == nil || t.Leaving {
		return nil
	}
	t.Leaving = true
	return s.clear(now, t)
}

func (s *State) report(now time.Time, m Reported) []Command {
	t := s.find(m.Target)
	if t == nil || !t.meet(m.Load.Incarnation) {
		return nil
	}
	t.weigh(m.Load.WeightVersion)
	t.load.Report(now, m.Load)
	if m.Load.Leaving {
		return s.leave(now, m.Target)
	}
	return s.dispatch(now, t)
}

// cached takes cache events. After a gap it asks for a snapshot.
func (s *State) cached(now time.Time, m Cached) []Command {
	t := s.find(m.Target)
	if t == nil || !t.meet(m.Batch.Incarnation) {
		return nil
	}
	if !t.cache.Apply(now, m.Batch) {
		return nil
	}
	s.count.Gaps++
	return s.fetch(now, t)
}

func (s *State) fetch(now time.Time, t *target) []Command {
	if now.Sub(t.fetched) < fetchInterval {
		return nil
	}
	t.fetched = now
	return []Command{Fetch{Target: t.Name}}
}

func (s *State) snapshot(now time.Time, m Snapshot) {
	if t := s.find(m.Target); t != nil && t.meet(m.Snapshot.Incarnation) {
		t.cache.Load(now, m.Snapshot)
	}
}

// tick sends what can be sent, ends what is too late, and moves waiting
// requests to engines that have become better.
func (s *State) tick(now time.Time) []Command {
	var commands []Command
	moves := maxMoves
	for _, t := range s.targets {
		if t.cache.Suspect() {
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
		if r.importing != nil && !now.Before(r.importUntil) {
			s.endImport(r)
		}
		switch {
		case !now.Before(r.deadline()):
			s.dequeue(r)
			commands = append(commands, s.refuse(r, "deadline", "the first token did not come in time", 0)...)
		case *moves > 0 && r.importing == nil && now.Sub(r.placed) >= moveAfter:
			*moves--
			r.placed = now
			commands = append(commands, s.reconsider(now, r)...)
		}
	}
	return commands
}

// reconsider moves a waiting request if another engine is clearly better.
func (s *State) reconsider(now time.Time, r *run) []Command {
	from := r.target
	best := s.choose(now, r)
	stay := s.offer(now, r, from, s.recompute(), source{})
	if best.target == nil || best.target == from || best.cost > min(stay.cost*(1-moveGain), stay.cost-moveCost.Seconds()) {
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
