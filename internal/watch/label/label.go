// Package label bounds the number of values of a metric label.
package label

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Other is the label of all names without a label of their own.
const Other = "other"

// lifetimeFactor is the ratio of the labels issued over a process's lifetime to
// those at a time. A name that drops out of the ranking still counts, because its
// series stay on the scrape page.
const lifetimeFactor = 2

// Set assigns the highest-ranked names a label of their own and all others
// [Other]. Nodes that receive the same rankings assign the same labels.
type Set struct {
	limit  int
	mu     sync.Mutex
	issued map[string]bool
	labels atomic.Pointer[map[string]bool]
}

// New returns a set that assigns up to limit labels at a time, and up to twice as
// many over its lifetime.
//
//	set := label.New(32)
//	set.Rank([]string{"members", "sellers"})
//	set.Label("members") // "members"
//	set.Label("unknown") // "other"
func New(limit int) *Set {
	s := &Set{limit: limit, issued: map[string]bool{}}
	s.labels.Store(&map[string]bool{})
	return s
}

// SetRanking replaces the ranking. The most important name comes first.
func (s *Set) SetRanking(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]bool, s.limit)
	for _, name := range names[:min(s.limit, len(names))] {
		if s.issue(name) {
			next[name] = true
		}
	}
	s.labels.Store(&next)
}

func (s *Set) issue(name string) bool {
	if s.issued[name] {
		return true
	}
	if len(s.issued) >= lifetimeFactor*s.limit {
		return false
	}
	s.issued[name] = true
	return true
}

// Label returns the label of a name.
func (s *Set) Label(name string) string {
	if (*s.labels.Load())[name] {
		return name
	}
	return Other
}

// Admit returns the label of a name, and assigns a new name a label of its own
// while the limit allows. It is meant for names that are defined by this program,
// such as error codes.
func (s *Set) Admit(name string) string {
	if label := s.Label(name); label != Other {
		return label
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.issue(name) {
		return Other
	}
	next := maps.Clone(*s.labels.Load())
	next[name] = true
	s.labels.Store(&next)
	return name
}
