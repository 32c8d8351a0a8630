// Package crash recognises requests that crash the engines that run them, so
// that they are refused before they take down one engine after another, while
// the requests that were merely beside them go on.
//
// Every request in flight on an engine that dies becomes a suspect. A suspect
// runs alone: its engine gets no other work meanwhile. When an engine dies
// under a suspect that was alone on it, the suspect is convicted and refused
// from then on; when the suspect finishes, it is cleared. A crash in company
// never convicts, so an innocent request is not refused for its neighbours.
package crash

import (
	"time"
)

const (
	suspected = 1
	convicted = 2

	entryLifetime  = 15 * time.Minute
	maxEntries     = 4096
	mergeTolerance = time.Second
	aloneWait      = 10 * time.Second
	maxEngines     = 4096
	reservedPart   = 4
)

// State is everything that the slice remembers.
type State struct {
	entries map[uint64]entry
	engines map[string]*room
	waiting []*waiter
}

type entry struct {
	count int
	at    time.Time
}

// room is one engine with what runs on it.
type room struct {
	incarnation string
	running     map[string]uint64
	alone       string
}

// waiter is a suspect that waits for its engine to be empty.
type waiter struct {
	job         string
	fingerprint uint64
	target      string
	until       time.Time
}

// New returns a state without suspects.
//
//	state := crash.New()
//	state, commands := state.Update(now, crash.Place{Job: id, Fingerprint: print, Target: "engine-1"})
func New() State {
	return State{entries: map[uint64]entry{}, engines: map[string]*room{}}
}

// Update takes one message and returns the new state and what must be done.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Place:
		s, commands = s.place(now, m)
	case Seen:
		s.seen(now, m)
	case Died:
		s.died(now, m)
	case Left:
		s.left(now, m)
		s.waiting = without(s.waiting, m.Job)
	case Heard:
		s.heard(now, m.Entries)
	case Tick:
		s.expire(now)
	}
	var started []Command
	s, started = s.wake(now)
	return s, append(commands, started...)
}

// Convicted reports whether a request must be refused.
func (s State) Convicted(now time.Time, fingerprint uint64) bool {
	return s.count(now, fingerprint) >= convicted
}

// Suspect reports whether a request was in flight when an engine died.
func (s State) Suspect(now time.Time, fingerprint uint64) bool {
	return s.count(now, fingerprint) == suspected
}

// Wake returns when the next waiting suspect gives up waiting; false means
// that none waits.
func (s State) Wake() (time.Time, bool) {
	var first time.Time
	for _, w := range s.waiting {
		if first.IsZero() || w.until.Before(first) {
			first = w.until
		}
	}
	return first, !first.IsZero()
}

func (s State) count(now time.Time, fingerprint uint64) int {
	e, ok := s.entries[fingerprint]
	if !ok || now.Sub(e.at) >= entryLifetime {
		return 0
	}
	return e.count
}

// place answers at once where it can; a suspect may have to wait.
func (s State) place(now time.Time, m Place) (State, []Command) {
	engine := s.room(m.Target)
	switch {
	case s.Convicted(now, m.Fingerprint):
		return s, []Command{Refuse{Job: m.Job}}
	case s.Suspect(now, m.Fingerprint):
		s.waiting = append(s.waiting, &waiter{job: m.Job, fingerprint: m.Fingerprint, target: m.Target, until: now.Add(aloneWait)})
		return s, nil
	case engine.alone != "":
		return s, []Command{Move{Job: m.Job}}
	default:
		engine.running[m.Job] = m.Fingerprint
		return s, []Command{Go{Job: m.Job}}
	}
}

// wake starts each waiting suspect whose engine is empty, in company when it
// has waited too long, and refuses those convicted meanwhile.
func (s State) wake(now time.Time) (State, []Command) {
	var commands []Command
	var still []*waiter
	for _, w := range s.waiting {
		engine := s.room(w.target)
		s.reserve(engine, w)
		switch {
		case s.Convicted(now, w.fingerprint):
			engine.release(w.job)
			commands = append(commands, Refuse{Job: w.job})
		case engine.alone == w.job && len(engine.running) == 0:
			engine.running[w.job] = w.fingerprint
			commands = append(commands, Go{Job: w.job, Alone: true})
		case !now.Before(w.until):
			engine.alone = ""
			engine.running[w.job] = w.fingerprint
			commands = append(commands, Go{Job: w.job})
		default:
			still = append(still, w)
		}
	}
	s.waiting = still
	return s, commands
}

// reserve keeps an engine for a suspect, unless too many are kept already.
func (s State) reserve(engine *room, w *waiter) {
	if engine.alone != "" {
		return
	}
	kept := 0
	for _, other := range s.engines {
		if other.alone != "" {
			kept++
		}
	}
	if kept < max(1, len(s.engines)/reservedPart) {
		engine.alone = w.job
	}
}

func (r *room) release(job string) {
	if r.alone == job {
		r.alone = ""
	}
}

// seen learns an engine's present incarnation. Another than before means that
// the engine died with all that was in flight on it.
func (s State) seen(now time.Time, m Seen) {
	engine, ok := s.engines[m.Target]
	if !ok || m.Incarnation == "" {
		return
	}
	if engine.incarnation != "" && engine.incarnation != m.Incarnation {
		s.charge(now, engine, m.Job, true)
	}
	engine.incarnation = m.Incarnation
}

// died charges what was in flight on an engine. The word of a request that was
// charged already is about the same death.
func (s State) died(now time.Time, m Died) {
	engine, ok := s.engines[m.Target]
	if !ok {
		return
	}
	if _, ok := engine.running[m.Job]; !ok {
		return
	}
	s.charge(now, engine, "", !m.Silent)
	engine.incarnation = ""
}

// charge makes suspects of all requests on an engine but the one named, and
// convicts a suspect that was alone. Only a crash that is certain convicts.
func (s State) charge(now time.Time, engine *room, except string, certain bool) {
	for job, fingerprint := range engine.running {
		if job == except {
			continue
		}
		count := suspected
		if certain && engine.alone == job && s.count(now, fingerprint) >= suspected {
			count = convicted
		}
		count = max(count, s.count(now, fingerprint))
		s.set(fingerprint, entry{count: count, at: now})
		delete(engine.running, job)
		engine.release(job)
	}
}

func (s State) left(now time.Time, m Left) {
	engine, ok := s.engines[m.Target]
	if !ok {
		return
	}
	delete(engine.running, m.Job)
	engine.release(m.Job)
	if m.Finished && s.count(now, m.Fingerprint) == suspected {
		s.set(m.Fingerprint, entry{at: now})
	}
}

func without(all []*waiter, job string) []*waiter {
	var kept []*waiter
	for _, w := range all {
		if w.job != job {
			kept = append(kept, w)
		}
	}
	return kept
}
