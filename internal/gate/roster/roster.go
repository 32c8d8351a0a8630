// Package roster keeps the list of targets as the platform tells it. A target
// that leaves gets no new work, whatever the list says of that start later.
package roster

import (
	"maps"
	"time"
)

// returnGrace is how long a target stays usable whose entry is missing just
// after the store was away. Entries that lapsed meanwhile are written again
// within about two seconds of its return.
const returnGrace = 2 * time.Second

// memory is how long it is remembered that a target which is gone was leaving and
// which version of its entry was the last: longer than a peer's word or a page of
// the store can be under way.
const memory = time.Minute

// Target is one start of a target.
type Target struct {
	// ID is the target's name.
	ID string
	// Born is when it started, in Unix milliseconds; zero if not told.
	Born int64
	// Service is the service that it belongs to.
	Service string
	// Address is its IP number and port.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving is true once it wants no new work.
	Leaving bool
	// Versions are the versions of its weights by model.
	Versions map[string]uint64
	// ColdUntil is when it has reached its full speed.
	ColdUntil time.Time
}

// Change is one entry of the list that was written or removed.
type Change struct {
	// ID names the target.
	ID string
	// Target is the entry; nil when it was removed or can't be read.
	Target *Target
	// Unreadable is why the entry names no target; empty otherwise.
	Unreadable string
	// Version is the version of the entry.
	Version uint64
}

// State is the list. Its zero value is empty and usable.
type State struct {
	targets map[string]Target
	// lost holds the time until which a missing target is still used.
	lost map[string]time.Time
	// left holds the starts that were seen leaving.
	left map[string]int64
	// versions holds the version of each entry, to drop what is older.
	versions map[string]uint64
	// gone holds when targets were removed.
	gone     map[string]time.Time
	returned time.Time
}

// New returns an empty list.
func New() *State {
	return &State{targets: map[string]Target{}, lost: map[string]time.Time{}, left: map[string]int64{}, versions: map[string]uint64{}, gone: map[string]time.Time{}}
}

// Returned notes that the store answers again after an outage.
func (s *State) Returned(now time.Time) { s.returned = now }

// Apply takes one change and reports whether it is news.
func (s *State) Apply(now time.Time, c Change) bool {
	if c.Version <= s.versions[c.ID] {
		return false
	}
	s.versions[c.ID] = c.Version
	if c.Target == nil {
		s.drop(now, c.ID)
		return true
	}
	s.put(*c.Target)
	return true
}

// Reset takes the whole list as of one version. What is not on it is gone.
func (s *State) Reset(now time.Time, version uint64, entries []Change) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		s.Apply(now, e)
	}
	for id := range maps.Clone(s.targets) {
		if !listed[id] && s.versions[id] < version {
			s.versions[id] = version
			s.drop(now, id)
		}
	}
}

func (s *State) put(t Target) {
	delete(s.lost, t.ID)
	delete(s.gone, t.ID)
	if born, ok := s.left[t.ID]; ok && born == t.Born {
		t.Leaving = true
	}
	if t.Leaving {
		s.left[t.ID] = t.Born
	} else {
		delete(s.left, t.ID)
	}
	s.targets[t.ID] = t
}

// drop removes a target, at once unless the store has just returned: its entry
// may have lapsed with the store away.
func (s *State) drop(now time.Time, id string) {
	t, ok := s.targets[id]
	if ok && !t.Leaving && now.Sub(s.returned) < returnGrace {
		s.lost[id] = s.returned.Add(returnGrace)
		return
	}
	delete(s.targets, id)
	delete(s.lost, id)
	s.gone[id] = now
}

// Expire drops targets whose entries have stayed missing, and reports whether
// there were any. What is long gone is forgotten.
func (s *State) Expire(now time.Time) bool {
	expired := false
	for id, until := range s.lost {
		if !now.Before(until) {
			delete(s.lost, id)
			delete(s.targets, id)
			s.gone[id] = now
			expired = true
		}
	}
	for id, at := range s.gone {
		if now.Sub(at) > memory {
			delete(s.gone, id)
			delete(s.left, id)
			delete(s.versions, id)
		}
	}
	return expired
}

// Targets returns all targets of the list.
func (s *State) Targets() map[string]Target { return maps.Clone(s.targets) }
