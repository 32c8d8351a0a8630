package crash

import (
	"slices"
	"time"
)

// Entry is the state of one request as exchanged between peers. The time is sent
// as an age, because the clocks of two hosts may differ.
type Entry struct {
	// Fingerprint is a digest of the request's workspace and content.
	Fingerprint uint64 `json:"fingerprint"`
	// Count is 0 for a cleared request, 1 for a suspect and 2 for a convicted one.
	Count int `json:"count"`
	// Age is the time since the count last changed.
	Age time.Duration `json:"ageNanos"`
}

// Entries returns the entries to send to peers, the most recent first.
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
		return compareFingerprints(a.Fingerprint, b.Fingerprint)
	})
	return all
}

func compareFingerprints(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// merge merges a peer's entries. The later change wins; of two changes within
// mergeTolerance, the higher count wins and the local time is kept, so that entries
// passed between peers don't become more recent and still expire.
func (s State) merge(now time.Time, entries []Entry) {
	for _, received := range entries {
		if received.Age < 0 || received.Age >= entryLifetime || received.Count < 0 {
			continue
		}
		next := entry{count: min(received.Count, convicted), at: now.Add(-received.Age)}
		known, ok := s.entries[received.Fingerprint]
		switch {
		case !ok || next.at.Sub(known.at) > mergeTolerance:
			s.set(received.Fingerprint, next)
		case known.at.Sub(next.at) > mergeTolerance:
		case next.count > known.count:
			s.entries[received.Fingerprint] = entry{count: next.count, at: known.at}
		}
	}
}

// set stores an entry, and evicts another one if the table is full.
func (s State) set(fingerprint uint64, e entry) {
	if _, ok := s.entries[fingerprint]; !ok && len(s.entries) >= maxEntries {
		s.evict()
	}
	s.entries[fingerprint] = e
}

// evict removes the oldest entry with the lowest count: cleared requests first,
// then suspects, then convicted ones.
func (s State) evict() {
	var victim uint64
	var victimEntry entry
	found := false
	for fingerprint, e := range s.entries {
		older := e.count < victimEntry.count || (e.count == victimEntry.count && e.at.Before(victimEntry.at))
		tie := e == victimEntry && fingerprint < victim
		if !found || older || tie {
			victim, victimEntry, found = fingerprint, e, true
		}
	}
	delete(s.entries, victim)
}

func (s State) removeExpired(now time.Time) {
	for fingerprint, e := range s.entries {
		if now.Sub(e.at) >= entryLifetime {
			delete(s.entries, fingerprint)
		}
	}
}

// engineFor returns the state of an engine and creates it if needed. If there are
// too many, it first removes those that run nothing and aren't reserved.
func (s State) engineFor(target string) *engineState {
	if engine, ok := s.engines[target]; ok {
		return engine
	}
	if len(s.engines) >= maxEngines {
		for name, engine := range s.engines {
			if len(engine.running) == 0 && engine.reservedFor == "" {
				delete(s.engines, name)
			}
		}
	}
	engine := &engineState{running: map[string]uint64{}}
	s.engines[target] = engine
	return engine
}
