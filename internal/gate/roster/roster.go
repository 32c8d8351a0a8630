// Package roster tracks the targets listed by the platform. An instance that has
// been seen leaving stays marked as leaving, even if later entries don't mark it.
package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/epoch"
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
	// Invalid is the reason why the entry can't be decoded; empty otherwise.
	Invalid string
	// Version is the version of the entry.
	Version uint64
}

// List is the list of targets. Use [New] to create one.
type List struct {
	targets map[string]Target
	// missingUntil holds the time until which a target with a missing entry stays usable.
	missingUntil map[string]time.Time
	// leaving holds the instances that were seen leaving or removed.
	leaving map[instance]departure
	// versions holds the latest version of each entry; older changes are ignored.
	versions map[string]uint64
	// removedAt holds the removal times of targets.
	removedAt       map[string]time.Time
	storeReturnedAt time.Time
}

// instance is one start of a target.
type instance struct {
	id   string
	born int64
}

// departure is how an instance left.
type departure struct {
	// said is true if the entry or the instance itself said so, and false if the entry
	// was removed without a word.
	said bool
	// epoch is that of the version at which the entry was removed.
	epoch uint64
	at    time.Time
}

// New returns an empty list.
func New() *List {
	return &List{targets: map[string]Target{}, missingUntil: map[string]time.Time{}, leaving: map[instance]departure{}, versions: map[string]uint64{}, removedAt: map[string]time.Time{}}
}

// StoreRecovered records that the store is available again after an outage.
func (l *List) StoreRecovered(now time.Time) { l.storeReturnedAt = now }

// Apply applies a change and reports whether it was newer than the known entry.
func (l *List) Apply(now time.Time, c Change) bool {
	last := l.versions[c.ID]
	if c.Version <= last {
		return false
	}
	l.versions[c.ID] = c.Version
	if c.Target == nil {
		l.remove(now, c.ID, c.Version)
		return true
	}
	restored := last > 0 && epoch.Version(last).Epoch() != epoch.Version(c.Version).Epoch()
	if old, ok := l.targets[c.ID]; restored && ok && c.Target.Born < old.Born {
		// The copy has the entry of an earlier start.
		return true
	}
	l.put(now, *c.Target, c.Version, restored)
	return true
}

// SetLeaving marks an instance as leaving, since it has said so itself, and reports
// whether that is new.
func (l *List) SetLeaving(now time.Time, id string, born int64) bool {
	l.leaving[instance{id, born}] = departure{said: true, at: now}
	t, ok := l.targets[id]
	if !ok || t.Born != born || t.Leaving {
		return false
	}
	t.Leaving = true
	l.targets[id] = t
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
			l.remove(now, id, version)
		}
	}
}

// put adds an entry. If it comes with a restoration of the store, it may be one that was
// removed after the copy was made: an instance that is not there any more.
func (l *List) put(now time.Time, t Target, version uint64, restored bool) {
	delete(l.missingUntil, t.ID)
	delete(l.removedAt, t.ID)
	of := instance{t.ID, t.Born}
	left, known := l.leaving[of]
	switch {
	case t.Leaving, known && left.said:
		t.Leaving = true
		l.leaving[of] = departure{said: true, at: now}
	case known && restored && left.epoch < epoch.Version(version).Epoch():
		t.Leaving = true
	case known:
		// It was silent for a while and has written its entry again.
		delete(l.leaving, of)
	}
	l.targets[t.ID] = t
}

// remove removes a target. Just after an outage of the store it keeps the target
// until returnGrace has passed, since the entry may have expired during the outage.
func (l *List) remove(now time.Time, id string, version uint64) {
	t, ok := l.targets[id]
	if ok && !t.Leaving && now.Sub(l.storeReturnedAt) < returnGrace {
		l.missingUntil[id] = l.storeReturnedAt.Add(returnGrace)
		return
	}
	l.drop(now, id, version)
}

func (l *List) drop(now time.Time, id string, version uint64) {
	if t, ok := l.targets[id]; ok {
		of := instance{id, t.Born}
		l.leaving[of] = departure{said: t.Leaving || l.leaving[of].said, epoch: epoch.Version(version).Epoch(), at: now}
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
			l.drop(now, id, l.versions[id])
			expired = true
		}
	}
	for id, at := range l.removedAt {
		if now.Sub(at) > removedRetention {
			delete(l.removedAt, id)
			delete(l.versions, id)
		}
	}
	for of, left := range l.leaving {
		if t, ok := l.targets[of.id]; (!ok || t.Born != of.born) && now.Sub(left.at) > removedRetention {
			delete(l.leaving, of)
		}
	}
	return expired
}

// Missing returns the sorted IDs of the targets that stay usable although their entries
// are missing.
func (l *List) Missing() []string { return slices.Sorted(maps.Keys(l.missingUntil)) }

// Targets returns a copy of the list by target ID.
func (l *List) Targets() map[string]Target { return maps.Clone(l.targets) }
