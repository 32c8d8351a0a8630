package crash

import (
	"slices"
	"time"
)

// Entry is what peers tell each other of one request. The time is an age, so
// that no clocks are compared.
type Entry struct {
	// Fingerprint is the digest of workspace and content.
	Fingerprint uint64 `json:"fingerprint"`
	// Count is zero when the request was cleared, one when it is a suspect and
	// two when it is refused.
	Count int `json:"count"`
	// Age is how long ago the count last changed.
	Age time.Duration `json:"ageNanos"`
}

// Entries returns what peers should know, the most recent first.
func (s State) Entries(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.entries))
	for fingerprint, e := range s.entries {
		age := now.Sub(e.at)
		if age < entryLifetime {
			all = append(all, Entry{Fingerprint: fingerprint, Count: e.count, Age: max(0, age)})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		if a.Age != b.Age {
			return int(a.Age - b.Age)
		}
		return compare(a.Fingerprint, b.Fingerprint)
	})
	return all
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// heard merges a peer's entries: the later change wins, and of two at about
// the same time the graver. Within the tolerance an entry keeps its time, so
// that passing it around doesn't make it young again.
func (s State) heard(now time.Time, entries []Entry) {
	for _, heard := range entries {
		if heard.Age < 0 || heard.Age >= entryLifetime || heard.Count < 0 {
			continue
		}
		next := entry{count: min(heard.Count, convicted), at: now.Add(-heard.Age)}
		known, ok := s.entries[heard.Fingerprint]
		switch {
		case !ok || next.at.Sub(known.at) > mergeTolerance:
			s.set(heard.Fingerprint, next)
		case known.at.Sub(next.at) > mergeTolerance:
		case next.count > known.count:
			s.entries[heard.Fingerprint] = entry{count: next.count, at: known.at}
		}
	}
}

// set stores an entry; a full table gives up its oldest.
func (s State) set(fingerprint uint64, e entry) {
	if _, ok := s.entries[fingerprint]; !ok && len(s.entries) >= maxEntries {
		s.evict()
	}
	s.entries[fingerprint] = e
}

// evict removes the oldest entry, cleared ones first, then suspects.
func (s State) evict() {
	var victim uint64
	var worst entry
	found := false
	for fingerprint, e := range s.entries {
		older := e.count < worst.count || (e.count == worst.count && e.at.Before(worst.at))
		tie := e == worst && fingerprint < victim
		if !found || older || tie {
			victim, worst, found = fingerprint, e, true
		}
	}
	delete(s.entries, victim)
}

func (s State) expire(now time.Time) {
	for fingerprint, e := range s.entries {
		if now.Sub(e.at) >= entryLifetime {
			delete(s.entries, fingerprint)
		}
	}
}

// room finds or makes the record of an engine. Records of engines that run
// nothing are dropped when there are too many.
func (s State) room(target string) *room {
	if engine, ok := s.engines[target]; ok {
		return engine
	}
	if len(s.engines) >= maxEngines {
		for name, engine := range s.engines {
			if len(engine.running) == 0 && engine.alone == "" {
				delete(s.engines, name)
			}
		}
	}
	engine := &room{running: map[string]uint64{}}
	s.engines[target] = engine
	return engine
}
