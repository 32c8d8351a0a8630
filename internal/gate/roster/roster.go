// Package roster tracks the targets listed by the platform. An instance that has
// been seen leaving stays marked as leaving, whatever later entries say.
package roster

import (
	"maps"
	"time"
)

// returnGrace is how long a target whose entry is missing stays usable after the
// store was unavailable. Entries that expired during the outage are written again
// within about two seconds of its end.
const returnGrace = 2 * time.Second

// removedRetention is how long the last entry version and the leaving mark of a removed
// target are kept: longer than a peer's report or a page of the store can be in
// transit.
const removedRetention = time.Minute

// Target is one instance of a target.
type Target struct {
	// ID is the target's name.
	ID string
	// Born is the start time of the instance in Unix milliseconds; zero if unknown.
	Born int64
	// Service is the name of its service.
	Service string
	// Address is the IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is true once the target takes no new work.
	Leaving bool
	// Versions are the versions of its weights by model.
	Versions map[string]uint64
	// ColdUntil is the time at which it has warmed up to full speed.
	ColdUntil time.Time
}

// Change is a written or removed entry of the list.
type Change struct {
	// ID is the target's name.
	ID string
	// Target is the entry; nil when it was removed or can't be decoded.
	Target *Target
	// Invalid says why the entry can't be decoded; empty otherwise.
	Invalid string
	// Version is the version of the entry.
	Version uint64
}

// List is the list of targets. Use [New] to create one.
type List struct {
	targets map[string]Target
	// missingUntil holds the time until which a target with a missing entry stays usable.
	missingUntil map[string]time.Time
	// leaving holds the start times of instances that were seen leaving.
	leaving map[string]int64
	// versions holds the latest version of each entry; older changes are ignored.
	versions map[string]uint64
	// removedAt holds the removal times of targets.
	removedAt       map[string]time.Time
	storeReturnedAt time.Time
}

// New returns an empty list.
func New() *List {
	return &List{targets: map[string]Target{}, missingUntil: map[string]time.Time{}, leaving: map[string]int64{}, versions: map[string]uint64{}, removedAt: map[string]time.Time{}}
}

// StoreRecovered records that the store is available again after an outage.
func (l *List) StoreRecovered(now time.Time) { l.storeReturnedAt = now }

// Apply applies a change and reports whether it was newer than the known entry.
func (l *List) Apply(now time.Time, c Change) bool {
	if c.Version <= l.versions[c.ID] {
		return false
	}
	l.versions[c.ID] = c.Version
	if c.Target == nil {
		l.remove(now, c.ID)
		return true
	}
	l.put(*c.Target)
	return true
}

// Reset applies a snapshot of the whole list at one version. Targets that it lacks
// are removed.
func (l *List) Reset(now time.Time, version uint64, entries []Change) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		l.Apply(now, e)
	}
	for id := range maps.Clone(l.targets) {
		if !listed[id] && l.versions[id] < version {
			l.versions[id] = version
			l.remove(now, id)
		}
	}
}

func (l *List) put(t Target) {
	delete(l.missingUntil, t.ID)
	delete(l.removedAt, t.ID)
	if born, ok := l.leaving[t.ID]; ok && born == t.Born {
		t.Leaving = true
	}
	if t.Leaving {
		l.leaving[t.ID] = t.Born
	} else {
		delete(l.leaving, t.ID)
	}
	l.targets[t.ID] = t
}

// remove removes a target. Just after an outage of the store it keeps the target
// until returnGrace has passed, since the entry may have expired during the outage.
func (l *List) remove(now time.Time, id string) {
	t, ok := l.targets[id]
	if ok && !t.Leaving && now.Sub(l.storeReturnedAt) < returnGrace {
		l.missingUntil[id] = l.storeReturnedAt.Add(returnGrace)
		return
	}
	delete(l.targets, id)
	delete(l.missingUntil, id)
	l.removedAt[id] = now
}

// Expire removes targets whose entries are still missing after the grace period and
// reports whether there were any. It also deletes what is kept of targets removed
// long ago.
func (l *List) Expire(now time.Time) bool {
	expired := false
	for id, until := range l.missingUntil {
		if !now.Before(until) {
			delete(l.missingUntil, id)
			delete(l.targets, id)
			l.removedAt[id] = now
			expired = true
		}
	}
	for id, at := range l.removedAt {
		if now.Sub(at) > removedRetention {
			delete(l.removedAt, id)
			delete(l.leaving, id)
			delete(l.versions, id)
		}
	}
	return expired
}

// Targets returns a copy of the list by target ID.
func (l *List) Targets() map[string]Target { return maps.Clone(l.targets) }
