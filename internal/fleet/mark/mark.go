// Package mark records which incarnations of targets are leaving. A mark holds
// for its incarnation until it expires; the target gets new work again only
// under another incarnation.
package mark

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

const (
	// maxMarkAge is longer than a process can live that was marked as leaving.
	maxMarkAge         = 24 * time.Hour
	maxTargets         = 4096
	marksPerTarget     = 4
	unknownIncarnation = ""
)

// Set holds the marks known to a node. The zero value is not usable; use
// [New].
type Set struct {
	targets map[string]*target
	digest  *uint64
}

type target struct {
	lastSeen string
	marked   []markedIncarnation
	listed   bool
}

type markedIncarnation struct {
	incarnation string
	at          time.Time
}

// New returns an empty set.
//
//	marks := mark.New()
//	marks.Add(now, note.Mark{Target: "engine-1", Incarnation: "engine-1-3"})
//	marks.Leaving("engine-1", "engine-1-3") // true
func New() Set { return Set{targets: map[string]*target{}, digest: new(uint64)} }

// Add marks an incarnation of a target and reports whether the mark is new. It
// refuses a mark without an incarnation, which would apply to later starts,
// too.
func (s Set) Add(now time.Time, m note.Mark) bool {
	if m.Incarnation == unknownIncarnation || m.Target == "" {
		return false
	}
	t := s.getOrAdd(m.Target)
	if t == nil || t.hasMark(m.Incarnation) {
		return false
	}
	t.marked = append(t.marked, markedIncarnation{incarnation: m.Incarnation, at: now})
	*s.digest ^= digest(m.Target, m.Incarnation)
	if len(t.marked) > marksPerTarget {
		*s.digest ^= digest(m.Target, t.marked[0].incarnation)
		t.marked = slices.Delete(t.marked, 0, 1)
	}
	return true
}

// RecordIncarnation records the incarnation under which a target last answered.
func (s Set) RecordIncarnation(name, incarnation string) {
	if incarnation == unknownIncarnation {
		return
	}
	if t := s.getOrAdd(name); t != nil {
		t.lastSeen = incarnation
	}
}

// ApplyHostList takes the names of the targets that the platform's list shows as
// leaving, and returns the marks that it adds. It marks the last seen
// incarnation of a target only when the target is newly listed: as the list
// lags, a later incarnation may be unaffected. A target whose incarnation is
// unknown counts as leaving while it is listed.
func (s Set) ApplyHostList(now time.Time, leaving []string) []note.Mark {
	before := map[string]bool{}
	for name, t := range s.targets {
		if t.listed {
			before[name] = true
			t.listed = false
		}
	}
	var added []note.Mark
	for _, name := range leaving {
		t := s.getOrAdd(name)
		if t == nil {
			continue
		}
		t.listed = true
		if before[name] {
			continue
		}
		m := note.Mark{Target: name, Incarnation: t.lastSeen}
		if s.Add(now, m) {
			added = append(added, m)
		}
	}
	return added
}

// Leaving reports whether a target must get no new work. An empty incarnation
// means the one last seen; if none was seen, any mark counts.
func (s Set) Leaving(name, incarnation string) bool {
	t, ok := s.targets[name]
	if !ok {
		return false
	}
	if t.listed && t.lastSeen == unknownIncarnation {
		return true
	}
	if incarnation == unknownIncarnation {
		incarnation = t.lastSeen
	}
	if incarnation == unknownIncarnation {
		return len(t.marked) > 0
	}
	return t.hasMark(incarnation)
}

// LeavingTargets returns the sorted names of the targets that must get no new work.
func (s Set) LeavingTargets() []string {
	var names []string
	for name := range s.targets {
		if s.Leaving(name, unknownIncarnation) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// All returns every mark, sorted by target.
func (s Set) All() []note.Mark {
	var all []note.Mark
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		for _, m := range s.targets[name].marked {
			all = append(all, note.Mark{Target: name, Incarnation: m.incarnation})
		}
	}
	return all
}

// Digest returns a hash that is equal for sets with the same marks.
func (s Set) Digest() uint64 { return *s.digest }

func digest(target, incarnation string) uint64 {
	return xxh3.HashStringSeed(incarnation, xxh3.HashString(target))
}

// Expire drops the marks that are older than [maxMarkAge], except for the
// incarnation last seen of a target.
func (s Set) Expire(now time.Time) {
	for name, t := range s.targets {
		t.marked = slices.DeleteFunc(t.marked, func(m markedIncarnation) bool {
			if now.Sub(m.at) <= maxMarkAge || m.incarnation == t.lastSeen {
				return false
			}
			*s.digest ^= digest(name, m.incarnation)
			return true
		})
		if len(t.marked) == 0 && !t.listed && t.lastSeen == unknownIncarnation {
			delete(s.targets, name)
		}
	}
}

// getOrAdd returns the record of a target and adds it if needed. A full set
// evicts a target without marks; if there is none, getOrAdd returns nil.
func (s Set) getOrAdd(name string) *target {
	if t, ok := s.targets[name]; ok {
		return t
	}
	if len(s.targets) >= maxTargets && !s.evict() {
		return nil
	}
	t := &target{}
	s.targets[name] = t
	return t
}

func (s Set) evict() bool {
	for name, t := range s.targets {
		if len(t.marked) == 0 && !t.listed {
			delete(s.targets, name)
			return true
		}
	}
	return false
}

func (t *target) hasMark(incarnation string) bool {
	return slices.ContainsFunc(t.marked, func(m markedIncarnation) bool { return m.incarnation == incarnation })
}
