// Package crash detects requests that crash the engines running them, so that
// they are refused before they crash one engine after another, while other
// requests that ran on the same engines are still served.
//
// Every request in flight on an engine that crashes becomes a suspect. A suspect
// is run alone: its engine gets no other requests meanwhile. If an engine crashes
// while it runs only a suspect, the suspect is convicted and refused from then
// on; if the suspect finishes, it is cleared. A crash of an engine that ran
// several requests convicts none of them, so no request is refused because of
// others on the same engine.
package crash

import (
	"time"
)

const (
	suspected = 1
	convicted = 2

	entryLifetime   = 15 * time.Minute
	maxEntries      = 4096
	mergeTolerance  = time.Second
	maxAloneWait    = 10 * time.Second
	maxEngines      = 4096
	reservedDivisor = 4
)

// State holds the suspects, the requests running on each engine and the suspects
// that wait for an engine.
type State struct {
	entries map[uint64]entry
	engines map[string]*engineState
	waiting []*waiter
}

type entry struct {
	count int
	at    time.Time
}

// engineState holds the requests that run on an engine.
type engineState struct {
	incarnation string
	// running maps jobs to fingerprints.
	running map[string]uint64
	// reservedFor is the job of the suspect that runs or waits to run alone; empty
	// if there is none.
	reservedFor string
}

// waiter is a suspect that waits until its engine runs no requests.
type waiter struct {
	job         string
	fingerprint uint64
	target      string
	deadline    time.Time
}

// New returns a state without suspects.
//
//	state := crash.New()
//	state, commands := state.Update(now, crash.Admit{Job: id, Fingerprint: print, Target: "engine-1"})
func New() State {
	return State{entries: map[uint64]entry{}, engines: map[string]*engineState{}}
}

// Update applies a message and returns the new state and the commands to run.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Admit:
		s, commands = s.place(now, m)
	case Reported:
		s.applySeen(now, m)
	case Crashed:
		s.applyDied(now, m)
	case Ended:
		s.applyLeft(now, m)
		s.waiting = removeJob(s.waiting, m.Job)
	case Received:
		s.merge(now, m.Entries)
	case Tick:
		s.removeExpired(now)
	}
	var started []Command
	s, started = s.startWaiting(now)
	return s, append(commands, started...)
}

// Convicted reports whether a request is refused because it crashed an engine.
func (s State) Convicted(now time.Time, fingerprint uint64) bool {
	return s.count(now, fingerprint) >= convicted
}

// Suspect reports whether a request was in flight on an engine that crashed and
// has been neither convicted nor cleared.
func (s State) Suspect(now time.Time, fingerprint uint64) bool {
	return s.count(now, fingerprint) == suspected
}

// NextDeadline returns the earliest time at which a waiting suspect stops waiting;
// false means that no suspect waits.
func (s State) NextDeadline() (time.Time, bool) {
	var first time.Time
	for _, w := range s.waiting {
		if first.IsZero() || w.deadline.Before(first) {
			first = w.deadline
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

// place returns the command for a request, or none if it is a suspect that has to
// wait.
func (s State) place(now time.Time, m Admit) (State, []Command) {
	engine := s.engineFor(m.Target)
	switch {
	case s.Convicted(now, m.Fingerprint):
		return s, []Command{Refuse{Job: m.Job}}
	case s.Suspect(now, m.Fingerprint):
		s.waiting = append(s.waiting, &waiter{job: m.Job, fingerprint: m.Fingerprint, target: m.Target, deadline: now.Add(maxAloneWait)})
		return s, nil
	case engine.reservedFor != "":
		return s, []Command{Move{Job: m.Job}}
	default:
		engine.running[m.Job] = m.Fingerprint
		return s, []Command{Start{Job: m.Job}}
	}
}

// startWaiting starts each waiting suspect whose engine runs no requests, starts
// those that have waited too long beside other requests, and refuses those that
// have been convicted.
func (s State) startWaiting(now time.Time) (State, []Command) {
	var commands []Command
	var stillWaiting []*waiter
	for _, w := range s.waiting {
		engine := s.engineFor(w.target)
		s.reserveEngine(engine, w)
		switch {
		case s.Convicted(now, w.fingerprint):
			engine.release(w.job)
			commands = append(commands, Refuse{Job: w.job})
		case engine.reservedFor == w.job && len(engine.running) == 0:
			engine.running[w.job] = w.fingerprint
			commands = append(commands, Start{Job: w.job, Alone: true})
		case !now.Before(w.deadline):
			engine.reservedFor = ""
			engine.running[w.job] = w.fingerprint
			commands = append(commands, Start{Job: w.job})
		default:
			stillWaiting = append(stillWaiting, w)
		}
	}
	s.waiting = stillWaiting
	return s, commands
}

// reserveEngine reserves an engine for a suspect, unless too many engines are
// reserved already.
func (s State) reserveEngine(engine *engineState, w *waiter) {
	if engine.reservedFor != "" {
		return
	}
	reserved := 0
	for _, other := range s.engines {
		if other.reservedFor != "" {
			reserved++
		}
	}
	if reserved < max(1, len(s.engines)/reservedDivisor) {
		engine.reservedFor = w.job
	}
}

func (r *engineState) release(job string) {
	if r.reservedFor == job {
		r.reservedFor = ""
	}
}

// applySeen records an engine's current incarnation. If it has changed, the
// previous one crashed with all requests in flight on it, that is all except m.Job.
func (s State) applySeen(now time.Time, m Reported) {
	engine, ok := s.engines[m.Target]
	if !ok || m.Incarnation == "" {
		return
	}
	if engine.incarnation != "" && engine.incarnation != m.Incarnation {
		s.recordCrash(now, engine, m.Job, true)
	}
	engine.incarnation = m.Incarnation
}

// applyDied records a crash against the requests in flight on an engine. A report
// from a request that is no longer listed there is about a crash already recorded.
func (s State) applyDied(now time.Time, m Crashed) {
	engine, ok := s.engines[m.Target]
	if !ok {
		return
	}
	if _, ok := engine.running[m.Job]; !ok {
		return
	}
	s.recordCrash(now, engine, "", !m.Silent)
	engine.incarnation = ""
}

// recordCrash marks all requests on an engine except exceptJob as suspects, and
// convicts a suspect that ran alone if it is certain that the engine crashed.
func (s State) recordCrash(now time.Time, engine *engineState, exceptJob string, certain bool) {
	for job, fingerprint := range engine.running {
		if job == exceptJob {
			continue
		}
		count := suspected
		if certain && engine.reservedFor == job && s.count(now, fingerprint) >= suspected {
			count = convicted
		}
		count = max(count, s.count(now, fingerprint))
		s.set(fingerprint, entry{count: count, at: now})
		delete(engine.running, job)
		engine.release(job)
	}
}

func (s State) applyLeft(now time.Time, m Ended) {
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

func removeJob(all []*waiter, job string) []*waiter {
	var kept []*waiter
	for _, w := range all {
		if w.job != job {
			kept = append(kept, w)
		}
	}
	return kept
}
