// Package mark remembers which starts of targets are leaving. A mark never goes
// away for the incarnation that it names; a target takes work again only under
// another incarnation.
package mark

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

const (
	maxAge         = 24 * time.Hour
	maxTargets     = 4096
	marksPerTarget = 4
	unknown        = ""
)

// Set holds the marks of a node. Its zero value is not usable; see [New].
type Set struct {
	targets map[string]*target
	sum     *uint64
}

type target struct {
	seen   string
	marked []marked
	listed bool
}

type marked struct {
	incarnation string
	at          time.Time
}

// New returns a set without marks.
//
//	marks := mark.New()
//	marks.Add(now, note.Mark{Target: "engine-1", Incarnation: "engine-1-3"})
//	marks.Leaving("engine-1", "engine-1-3") // true
func New() Set { return Set{targets: map[string]*target{}, sum: new(uint64)} }

// Add marks one incarnation of a target and reports whether that is new. A mark
// without an incarnation is refused: it could never be told from a later start.
func (s Set) Add(now time.Time, m note.Mark) bool {
	if m.Incarnation == unknown || m.Target == "" {
		return false
	}
	t := s.get(m.Target)
	if t == nil || t.has(m.Incarnation) {
		return false
	}
	t.marked = append(t.marked, marked{incarnation: m.Incarnation, at: now})
	*s.sum ^= digest(m.Target, m.Incarnation)
	if len(t.marked) > marksPerTarget {
		*s.sum ^= digest(m.Target, t.marked[0].incarnation)
		t.marked = slices.Delete(t.marked, 0, 1)
	}
	return true
}

// Saw records the incarnation that a target showed last.
func (s Set) Saw(name, incarnation string) {
	if incarnation == unknown {
		return
	}
	if t := s.get(name); t != nil {
		t.seen = incarnation
	}
}

// List takes the names of targets that the platform's list shows as leaving. It
// marks the incarnation seen last of each that the list did not show before, and
// returns the new marks; a later incarnation is not to blame for a list that
// lags. A target whose incarnation is unknown counts as leaving while the list
// says so.
func (s Set) List(now time.Time, leaving []string) []note.Mark {
	before := map[string]bool{}
	for name, t := range s.targets {
		if t.listed {
			before[name] = true
			t.listed = false
		}
	}
	var added []note.Mark
	for _, name := range leaving {
		t := s.get(name)
		if t == nil {
			continue
		}
		t.listed = true
		if before[name] {
			continue
		}
		m := note.Mark{Target: name, Incarnation: t.seen}
		if s.Add(now, m) {
			added = append(added, m)
		}
	}
	return added
}

// Leaving reports whether a target may get no new work. With an unknown
// incarnation the one seen last counts; if none was seen, any mark does.
func (s Set) Leaving(name, incarnation string) bool {
	t, ok := s.targets[name]
	if !ok {
		return false
	}
	if t.listed && t.seen == unknown {
		return true
	}
	if incarnation == unknown {
		incarnation = t.seen
	}
	if incarnation == unknown {
		return len(t.marked) > 0
	}
	return t.has(incarnation)
}

// Names returns the targets that may get no new work, in order.
func (s Set) Names() []string {
	var names []string
	for name := range s.targets {
		if s.Leaving(name, unknown) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// All returns every mark, in order.
func (s Set) All() []note.Mark {
	var all []note.Mark
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		for _, m := range s.targets[name].marked {
			all = append(all, note.Mark{Target: name, Incarnation: m.incarnation})
		}
	}
	return all
}

// Digest returns a number that two sets share when they hold the same marks.
func (s Set) Digest() uint64 { return *s.sum }

func digest(target, incarnation string) uint64 {
	return xxh3.HashStringSeed(incarnation, xxh3.HashString(target))
}

// Expire drops marks that are so old that no process of that start can live,
// unless it is the start that was seen last.
func (s Set) Expire(now time.Time) {
	for name, t := range s.targets {
		t.marked = slices.DeleteFunc(t.marked, func(m marked) bool {
			if now.Sub(m.at) <= maxAge || m.incarnation == t.seen {
				return false
			}
			*s.sum ^= digest(name, m.incarnation)
			return true
		})
		if len(t.marked) == 0 && !t.listed && t.seen == unknown {
			delete(s.targets, name)
		}
	}
}

// get finds or adds a target. A full set gives up a target that has no mark;
// when all are marked, the new one is not remembered.
func (s Set) get(name string) *target {
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

func (t *target) has(incarnation string) bool {
	return slices.ContainsFunc(t.marked, func(m marked) bool { return m.incarnation == incarnation })
}
