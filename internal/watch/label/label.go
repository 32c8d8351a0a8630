// Package label bounds the number of label values that a metric may take.
package label

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Other is the label of every name without one of its own.
const Other = "other"

// issueFactor bounds the labels of a process's whole life: a name that fell
// out of the ranking keeps its series, because a scrape page never shrinks.
const issueFactor = 2

// Set gives the most important names a label of their own and all others
// [Other]. Nodes that saw the same rankings give the same labels.
type Set struct {
	limit  int
	mu     sync.Mutex
	issued map[string]bool
	labels atomic.Pointer[map[string]bool]
}

// New returns a set that gives up to limit names a label at a time, and up to
// twice as many over its life.
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

// Rank tells which names matter now, the most important first.
func (s *Set) Rank(names []string) {
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
	if len(s.issued) >= issueFactor*s.limit {
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

// Admit gives a name a label of its own for as long as there is room, and
// returns its label. It suits names that only this program makes up, such as
// error codes.
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
