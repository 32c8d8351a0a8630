// Package poison detects requests that crash one target after another, by counting
// for each request the targets that crashed while they ran it.
//
// Unlike package crash it reserves no target to run a suspect alone: where there
// are few targets, which also crash for other reasons, that would cost more than
// it saves. A request that ran beside a crashing one is refused only if it is sent
// again and runs on a crashing target each time.
package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCrashes is the number of crashes from which a request is refused.
	maxCrashes = 3
	// crashLifetime is how long a crash counts against a request.
	crashLifetime = 5 * time.Minute
	// deathDelay is the maximum time between a broken connection and the detection
	// that its target crashed: slightly more than three registration intervals of
	// a target.
	deathDelay = 8 * time.Second
	// mergeTolerance is the maximum difference between the times of a crash as
	// reported by two nodes.
	mergeTolerance = 500 * time.Millisecond
	// maxEntries is the maximum size of each table.
	maxEntries = 4096
)

// Entry is one crash as exchanged between nodes. The time is sent as an age,
// because the clocks of two hosts may differ.
type Entry struct {
	// Request is a digest of the request's workspace, path and body.
	Request uint64 `json:"request"`
	// Target is the target that crashed.
	Target string `json:"target"`
	// Age is the time since the crash.
	Age time.Duration `json:"ageNanos"`
}

// Counter counts the crashes of each request.
type Counter struct {
	// broken maps targets to the requests whose connections broke lately.
	broken  map[string][]brokenRequest
	crashes map[uint64][]crash
	// answered holds requests that a target has answered; crashes don't count
	// against them.
	answered *simplelru.LRU[uint64, struct{}]
}

// brokenRequest is a request whose connection broke, perhaps because its target
// crashed.
type brokenRequest struct {
	request uint64
	at      time.Time
}

type crash struct {
	target string
	at     time.Time
}

// New returns a state without crashes.
//
//	counter := poison.New()
//	state.Broke(now, digest, "engine-1")
//	state.Died(now, "engine-1")
//	if state.Refused(now, digest) {
//		refuse()
//	}
func New() *Counter {
	worked, _ := simplelru.NewLRU[uint64, struct{}](maxEntries, nil)
	return &Counter{broken: map[string][]brokenRequest{}, crashes: map[uint64][]crash{}, answered: worked}
}

// Answered records that a target has answered a request. From then on crashes don't
// count against the same request, which many clients may send.
func (s *Counter) Answered(request uint64) {
	s.answered.Add(request, struct{}{})
	delete(s.crashes, request)
}

// ConnectionBroke records that the connection to a target broke while it ran a
// request.
func (s *Counter) ConnectionBroke(now time.Time, request uint64, target string) {
	s.removeExpired(now)
	if len(s.broken) < maxEntries {
		s.broken[target] = append(s.broken[target], brokenRequest{request: request, at: now})
	}
}

// TargetCrashed records a crash of a target against the requests whose connections
// to it broke within deathDelay, and returns the new entries, to be sent to other
// nodes.
func (s *Counter) TargetCrashed(now time.Time, target string) []Entry {
	var added []Entry
	for _, d := range s.broken[target] {
		if now.Sub(d.at) <= deathDelay && s.addCrash(d.request, crash{target: target, at: d.at}) {
			added = append(added, Entry{Request: d.request, Target: target, Age: now.Sub(d.at)})
		}
	}
	delete(s.broken, target)
	return added
}

// addCrash counts a crash against a request and reports whether it was new.
func (s *Counter) addCrash(request uint64, c crash) bool {
	if s.answered.Contains(request) || len(s.crashes) >= maxEntries && s.crashes[request] == nil {
		return false
	}
	for _, known := range s.crashes[request] {
		if known.target == c.target && known.at.Sub(c.at).Abs() < mergeTolerance {
			return false
		}
	}
	s.crashes[request] = append(s.crashes[request], c)
	return true
}

// Refused reports whether a request has crashed too many targets.
func (s *Counter) Refused(now time.Time, request uint64) bool {
	count := 0
	for _, c := range s.crashes[request] {
		if now.Sub(c.at) < crashLifetime {
			count++
		}
	}
	return count >= maxCrashes
}

// Entries returns all entries, to be sent to a node that has joined.
func (s *Counter) Entries(now time.Time) []Entry {
	s.removeExpired(now)
	var all []Entry
	for _, request := range slices.Sorted(maps.Keys(s.crashes)) {
		for _, c := range s.crashes[request] {
			all = append(all, Entry{Request: request, Target: c.target, Age: now.Sub(c.at)})
		}
	}
	return all
}

// Merge merges another node's entries and returns those that were new.
func (s *Counter) Merge(now time.Time, entries []Entry) []Entry {
	var added []Entry
	for _, e := range entries {
		if e.Age < crashLifetime && s.addCrash(e.Request, crash{target: e.Target, at: now.Add(-e.Age)}) {
			added = append(added, e)
		}
	}
	return added
}

func (s *Counter) removeExpired(now time.Time) {
	for target, doubts := range s.broken {
		doubts = slices.DeleteFunc(doubts, func(d brokenRequest) bool { return now.Sub(d.at) > deathDelay })
		if len(doubts) == 0 {
			delete(s.broken, target)
			continue
		}
		s.broken[target] = doubts
	}
	for request, crashes := range s.crashes {
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return now.Sub(c.at) >= crashLifetime })
		if len(crashes) == 0 {
			delete(s.crashes, request)
			continue
		}
		s.crashes[request] = crashes
	}
}
