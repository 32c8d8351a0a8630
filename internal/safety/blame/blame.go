// Package blame recognises requests that crash one target after another, by
// counting for each request the targets that died while they ran it.
//
// Unlike package crash it keeps no target apart for a suspect: where targets are
// few and crash for other reasons too, that would cost more than it saves. A
// request that was merely beside such a one is blamed only if it is sent again,
// and runs on a dying target, each time.
package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// limit is the number of targets that a request may crash.
	limit = 3
	// lifetime is how long a crash is held against a request.
	lifetime = 5 * time.Minute
	// doubtTime is how long after a request broke its target may turn out to
	// have died: three intervals of a target's registration and some.
	doubtTime = 8 * time.Second
	// mergeTime is the difference of ages within which two nodes speak of the
	// same crash.
	mergeTime = 500 * time.Millisecond
	// maxEntries bounds what is remembered.
	maxEntries = 4096
)

// Entry is what nodes tell each other of one request. The times are ages, so
// that no clocks are compared.
type Entry struct {
	// Request is the digest of its workspace, path and body.
	Request uint64 `json:"request"`
	// Target is the target that died.
	Target string `json:"target"`
	// Age is how long ago it died.
	Age time.Duration `json:"ageNanos"`
}

// State counts crashes. See [New].
type State struct {
	broken  map[string][]doubt
	crashes map[uint64][]crash
	// worked are requests that targets have answered: they crash none.
	worked *simplelru.LRU[uint64, struct{}]
}

// doubt is a request that broke on a target which may have died.
type doubt struct {
	request uint64
	at      time.Time
}

type crash struct {
	target string
	at     time.Time
}

// New returns a state in which no request is to blame.
//
//	state := blame.New()
//	state.Broke(now, digest, "engine-1")
//	state.Died(now, "engine-1")
//	if state.Refused(now, digest) {
//		refuse()
//	}
func New() *State {
	worked, _ := simplelru.NewLRU[uint64, struct{}](maxEntries, nil)
	return &State{broken: map[string][]doubt{}, crashes: map[uint64][]crash{}, worked: worked}
}

// Worked notes that a target has answered a request. The same request is then
// innocent of what targets die of while they run it: many callers may send it.
func (s *State) Worked(request uint64) {
	s.worked.Add(request, struct{}{})
	delete(s.crashes, request)
}

// Broke notes that a target's connection broke while it ran a request.
func (s *State) Broke(now time.Time, request uint64, target string) {
	s.expire(now)
	if len(s.broken) < maxEntries {
		s.broken[target] = append(s.broken[target], doubt{request: request, at: now})
	}
}

// Died charges the requests that have just broken on a target, and returns what
// other nodes do not know yet.
func (s *State) Died(now time.Time, target string) []Entry {
	var fresh []Entry
	for _, d := range s.broken[target] {
		if now.Sub(d.at) <= doubtTime && s.charge(d.request, crash{target: target, at: d.at}) {
			fresh = append(fresh, Entry{Request: d.request, Target: target, Age: now.Sub(d.at)})
		}
	}
	delete(s.broken, target)
	return fresh
}

// charge holds a crash against a request and reports whether it is news.
func (s *State) charge(request uint64, c crash) bool {
	if s.worked.Contains(request) || len(s.crashes) >= maxEntries && s.crashes[request] == nil {
		return false
	}
	for _, known := range s.crashes[request] {
		if known.target == c.target && known.at.Sub(c.at).Abs() < mergeTime {
			return false
		}
	}
	s.crashes[request] = append(s.crashes[request], c)
	return true
}

// Refused reports whether a request has crashed too many targets.
func (s *State) Refused(now time.Time, request uint64) bool {
	count := 0
	for _, c := range s.crashes[request] {
		if now.Sub(c.at) < lifetime {
			count++
		}
	}
	return count >= limit
}

// Entries returns all that is known, for a node that has just come.
func (s *State) Entries(now time.Time) []Entry {
	s.expire(now)
	var all []Entry
	for _, request := range slices.Sorted(maps.Keys(s.crashes)) {
		for _, c := range s.crashes[request] {
			all = append(all, Entry{Request: request, Target: c.target, Age: now.Sub(c.at)})
		}
	}
	return all
}

// Hear takes another node's entries and returns those that are news.
func (s *State) Hear(now time.Time, entries []Entry) []Entry {
	var fresh []Entry
	for _, e := range entries {
		if e.Age < lifetime && s.charge(e.Request, crash{target: e.Target, at: now.Add(-e.Age)}) {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

func (s *State) expire(now time.Time) {
	for target, doubts := range s.broken {
		doubts = slices.DeleteFunc(doubts, func(d doubt) bool { return now.Sub(d.at) > doubtTime })
		if len(doubts) == 0 {
			delete(s.broken, target)
			continue
		}
		s.broken[target] = doubts
	}
	for request, crashes := range s.crashes {
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return now.Sub(c.at) >= lifetime })
		if len(crashes) == 0 {
			delete(s.crashes, request)
			continue
		}
		s.crashes[request] = crashes
	}
}
