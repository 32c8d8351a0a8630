// Package needs keeps what targets say of themselves in their answers, and decides
// whether a request may be sent to them. A target in need names a limit, the requests a
// second that it takes from all nodes together; it may say that it is leaving, or ask
// one node for a pause.
//
// A limit is divided without any messages about its use: rendezvous hashing selects a
// few senders among all nodes that may be running, and each has an equal share. So the
// sum holds while nodes are suspended, cut off from each other or restarted, and a node
// that is no sender sends nothing. The limits themselves are passed on to all nodes.
package needs

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/refill"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// maxReports bounds the changes kept for other nodes.
	maxReports = 1024
	// retention is how long the needs of an instance are kept after it has gone from
	// the list of targets, which may lack it for a while.
	retention = time.Minute
	// pauseSpread is the largest extension of a pause, as a fraction of it, and
	// maxPauseSpread as a time, so that nodes don't return at the same moment.
	pauseSpread    = 0.25
	maxPauseSpread = 2 * time.Second
	// endRepeat is for how long after the end of a limit answers without one are
	// reported again, every endRepeatInterval: the end may have overtaken an answer
	// that another node got.
	endRepeat         = 10 * time.Second
	endRepeatInterval = time.Second
	// minReportedChange is the least relative change of a limit that is reported to
	// other nodes.
	minReportedChange = 0.05
)

// Instance is one start of a target. Nothing that it said holds for the next one.
type Instance struct {
	// ID is the target's name.
	ID string
	// Born is the start time in Unix milliseconds; zero if unknown.
	Born int64
}

// Tracker holds the needs of all instances. It is not safe for concurrent use. See
// [New].
type Tracker struct {
	self   string
	random *rand.Rand
	// counted are the nodes that may be running, reached those of them that this node
	// has lately received something of.
	counted, reached []string
	instances        map[Instance]*state
	reports          *oplog.Log[entry]
}

// state is what an instance needs.
type state struct {
	limited bool
	limit   float64
	// namedAt is when an answer last named the limit, reported the limit last reported
	// to other nodes.
	namedAt  time.Time
	reported float64
	// endedAt is when the last limit ended, endReportedAt when that was last reported.
	endedAt, endReportedAt time.Time
	// requests is this node's share of the limit for requests, calls that for others.
	requests, calls refill.Share
	// callsName is true once the answer to a call that is no request has named a limit.
	callsName bool
	leaving   bool
	// pausedUntil is when a pause that it asked of this node ends.
	pausedUntil time.Time
	// listedAt is when the instance was last on the list of targets.
	listedAt time.Time
}

// New returns a tracker of instances that need nothing, for a node with the given name.
//
//	tracker := needs.New("front-1")
//	tracker.SetHosts(now, names, names)
//	tracker.Observe(now, sentAt, needs.Instance{ID: "e", Born: 1}, header.Needs)
//	if _, ok := tracker.Check(now, instance).(needs.Allowed); ok {
//		tracker.Take(now, instance)
//	}
func New(self string) *Tracker {
	seed := place.Hash(self)
	return &Tracker{
		self: self, random: rand.New(rand.NewPCG(seed, seed)), counted: []string{self}, reached: []string{self},
		instances: map[Instance]*state{}, reports: oplog.New[entry](maxReports),
	}
}

// SetHosts sets the sorted names of all nodes that may be running and of those that this
// node has lately received something of, this one included in both.
func (t *Tracker) SetHosts(now time.Time, counted, reached []string) {
	if slices.Equal(counted, t.counted) && slices.Equal(reached, t.reached) {
		return
	}
	t.counted, t.reached = slices.Clone(counted), slices.Clone(reached)
	for of, s := range t.instances {
		t.divide(now, of, s)
	}
}

// divide computes this node's share of the limit of an instance.
func (t *Tracker) divide(now time.Time, of Instance, s *state) {
	if s.limited {
		rate, burst := t.shareOf(of, s.limit)
		s.requests.Set(now, rate, burst)
		rate, burst = callShareOf(s.limit)
		s.calls.Set(now, rate, burst)
	}
}

// shareOf divides a limit among the nodes that this one reaches, if these are most, since
// the others may be gone. If they are few, the others may go on without them: the limit
// is divided among all that may be running, and only a part of the share is used.
func (t *Tracker) shareOf(of Instance, limit float64) (rate, burst float64) {
	if 2*len(t.reached) > len(t.counted) {
		return shareOf(t.self, t.reached, of, limit)
	}
	rate, burst = shareOf(t.self, t.counted, of, limit)
	return minorityShare * rate, burst
}

func (t *Tracker) state(now time.Time, of Instance) *state {
	s, ok := t.instances[of]
	if !ok {
		s = &state{listedAt: now}
		t.instances[of] = s
	}
	return s
}

// Observe applies what an instance said in an answer that has just arrived to a request
// that was sent at the given time, and returns what that changes. An answer without a
// limit ends it only if its request was sent after the limit was last named: answers on
// different connections may overtake each other.
func (t *Tracker) Observe(now, sent time.Time, of Instance, said call.Needs) []Change {
	said, valid := call.Needs{Limited: said.Limited, Limit: said.Limit, Leaving: said.Leaving, Pause: said.Pause}, said.Invalid == ""
	if _, known := t.instances[of]; !known && said == (call.Needs{}) {
		return nil
	}
	s := t.state(now, of)
	var changes []Change
	switch {
	case said.Limited:
		changes = t.name(now, now, of, s, said.Limit)
	case valid:
		changes = t.end(now, sent, of, s)
	}
	if said.Leaving {
		changes = append(changes, t.leave(now, of, s)...)
	}
	if said.Pause > 0 {
		changes = append(changes, t.pause(now, of, s, said.Pause)...)
	}
	return changes
}

// ObserveCall is like Observe for the answer to a call that is no request of a client. It
// ends a limit only if such answers have named one: not all kinds need to.
func (t *Tracker) ObserveCall(now, sent time.Time, of Instance, said call.Needs) []Change {
	s, known := t.instances[of]
	if !known || !s.callsName {
		sent = time.Time{}
	}
	changes := t.Observe(now, sent, of, said)
	if said.Limited {
		t.state(now, of).callsName = true
	}
	return changes
}

// name records that an instance named a limit in an answer that arrived at a time.
func (t *Tracker) name(now, at time.Time, of Instance, s *state, limit float64) []Change {
	if s.limited && !at.After(s.namedAt) || !s.limited && !at.After(s.endedAt) {
		return nil
	}
	began := !s.limited
	changed := began || limit != s.limit
	s.limited, s.limit, s.namedAt = true, limit, at
	if began {
		s.requests, s.calls = refill.Share{}, refill.Share{}
	}
	if !changed {
		return nil
	}
	t.divide(now, of, s)
	if change := limit - s.reported; began || change < -minReportedChange*s.reported || change > minReportedChange*s.reported {
		s.reported = limit
		t.record(entry{of: of, limit: limit, kind: named, at: at})
		return []Change{Limited{Instance: of, PerSecond: limit, Share: s.requests.Rate()}}
	}
	return nil
}

// end records an answer without a limit to a request that was sent at a time.
func (t *Tracker) end(now, sent time.Time, of Instance, s *state) []Change {
	switch {
	case s.limited && sent.After(s.namedAt):
		s.limited, s.endedAt, s.endReportedAt = false, sent, now
		t.record(entry{of: of, kind: ended, at: sent})
		return []Change{Unlimited{Instance: of}}
	case !s.limited && sent.After(s.endedAt) && !s.endedAt.IsZero() && now.Sub(s.endedAt) < endRepeat && now.Sub(s.endReportedAt) >= endRepeatInterval:
		s.endReportedAt = now
		t.record(entry{of: of, kind: ended, at: sent})
	}
	return nil
}

func (t *Tracker) leave(now time.Time, of Instance, s *state) []Change {
	if s.leaving {
		return nil
	}
	s.leaving = true
	t.record(entry{of: of, kind: leaving, at: now})
	return []Change{Leaving{Instance: of}}
}

// pause extends the pause at random, so that nodes return one after the other.
func (t *Tracker) pause(now time.Time, of Instance, s *state, length time.Duration) []Change {
	if !now.Add(length).After(s.pausedUntil) {
		return nil
	}
	spread := min(time.Duration(pauseSpread*float64(length)), maxPauseSpread)
	s.pausedUntil = now.Add(length + time.Duration(t.random.Float64()*float64(spread)))
	return []Change{Paused{Instance: of, For: length}}
}

// Check reports whether a request may be sent to an instance now.
func (t *Tracker) Check(now time.Time, of Instance) Permission {
	s, ok := t.instances[of]
	switch {
	case !ok:
		return Allowed{}
	case s.leaving:
		return Denied{}
	case now.Before(s.pausedUntil):
		return Deferred{Until: s.pausedUntil}
	case s.limited && !available(now, &s.requests):
		return Deferred{Until: availableAt(now, &s.requests)}
	default:
		return Allowed{}
	}
}

// Take counts a request that is sent to an instance.
func (t *Tracker) Take(now time.Time, of Instance) {
	if s, ok := t.instances[of]; ok && s.limited {
		s.requests.Take(now, 1)
	}
}

// TakeCall reports whether a call that is no request of a client may be made to an
// instance, and counts it if so.
func (t *Tracker) TakeCall(now time.Time, of Instance) bool {
	s, ok := t.instances[of]
	switch {
	case !ok:
		return true
	case now.Before(s.pausedUntil), s.limited && !available(now, &s.calls):
		return false
	case s.limited:
		s.calls.Take(now, 1)
	}
	return true
}

// Paused reports whether an instance has asked this node for a pause.
func (t *Tracker) Paused(now time.Time, of Instance) bool {
	s, ok := t.instances[of]
	return ok && now.Before(s.pausedUntil)
}

// Limit returns the limit that an instance names; false if it names none.
func (t *Tracker) Limit(of Instance) (float64, bool) {
	s, ok := t.instances[of]
	if !ok || !s.limited {
		return 0, false
	}
	return s.limit, true
}

// Expire forgets the needs of instances that went from the list of targets long ago.
func (t *Tracker) Expire(now time.Time, listed func(Instance) bool) {
	for of, s := range t.instances {
		if listed(of) {
			s.listedAt = now
		} else if now.Sub(s.listedAt) > retention {
			delete(t.instances, of)
		}
	}
}
