// Package order reconciles the engines of a site with the configuration: it
// decides which orders to send so that each engine ends up serving the model,
// weights and adapters configured for it.
//
// It is level-triggered. Each decision compares the wanted state with the
// latest engine reports and does not depend on the events that led to them, so
// a new lease holder can continue after its predecessor crashed at any step.
package order

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// The roles of an engine.
const (
	// RoleServe accepts requests.
	RoleServe = "serve"
	// RoleDrain finishes running requests and accepts no new ones.
	RoleDrain = "drain"
)

// maxFailures is the number of failed loads after which a version is no longer
// tried.
const maxFailures = 2

// Options limit concurrent loads and set the timeouts of orders and reports.
type Options struct {
	// MaxLoads is the maximum number of concurrent weight loads at the site.
	MaxLoads int
	// EnginesPerLoad raises the maximum to one load for every EnginesPerLoad engines,
	// if that is more than MaxLoads; zero disables it.
	EnginesPerLoad int
	// LoadInterval is the minimum time between the starts of two loads.
	LoadInterval time.Duration
	// LoadTimeout is how long a load may take before it counts as failed.
	LoadTimeout time.Duration
	// ReportDelay is how long after an order reports may still show the state before
	// it.
	ReportDelay time.Duration
	// MaxAge is the age after which a report is ignored.
	MaxAge time.Duration
	// DrainTimeout is how long a draining engine may finish its requests before
	// weights are loaded while some still run; zero waits without a limit.
	DrainTimeout time.Duration
	// RetryForever retries failed loads without a limit instead of rolling back to
	// the last good version.
	RetryForever bool
}

// Wanted is what an engine should serve.
type Wanted struct {
	Model         string
	WeightVersion string
	// Adapters maps adapter names to versions.
	Adapters map[string]string
	// NotBefore is the earliest time of the first order to the engine. By then
	// the orders of an earlier lease holder have ended.
	NotBefore time.Time
}

// State holds the wanted configuration and the last known state of each engine.
type State struct {
	options Options
	wanted  map[string]Wanted
	engines map[string]engineState
	// lastGood maps each model to the last wanted version that all of its engines
	// reported at the same time.
	lastGood map[string]string
	// failures counts the failed loads per model and version.
	failures   map[modelVersion]int
	lastLoadAt time.Time
	// loadsBlockedUntil is set when the weight store rejected a load because of
	// its rate limit.
	loadsBlockedUntil time.Time
	// loadDuration is how long the last completed load took; zero before the
	// first one.
	loadDuration time.Duration
	lastID       uint64
}

type modelVersion struct{ model, weights string }

// engineState is the last report of one engine and the order in progress on it.
type engineState struct {
	load   engine.LoadReport
	seenAt time.Time
	// pendingID is the order that was sent and has no result yet; zero means none.
	pendingID   uint64
	loadVersion modelVersion
	// loadStarted is when the load in progress was ordered; zero means none.
	loadStarted time.Time
	// loadUnsure is true when that load order may not have reached the engine.
	loadUnsure bool
	// orderedRole is the role last ordered; drainStarted is the time of the last
	// order to drain.
	orderedRole  string
	drainStarted time.Time
	// settledAt is the time from which reports reflect the last order.
	settledAt time.Time
}

// New returns a state without a configuration.
//
//	state := order.New(order.Options{MaxLoads: 2, LoadInterval: time.Second})
//	state, commands := state.Update(now, order.Configure{Engines: wanted})
func New(options Options) State {
	return State{
		options: options, wanted: map[string]Wanted{}, engines: map[string]engineState{},
		lastGood: map[string]string{}, failures: map[modelVersion]int{},
	}
}

// FailedVersions returns the number of model versions that failed to load too often
// and are no longer tried.
func (s State) FailedVersions() int {
	count := 0
	for _, failed := range s.failures {
		if failed >= maxFailures {
			count++
		}
	}
	return count
}

// Update applies a message and returns the orders to send. Only [Tick] produces
// orders; the caller sends it only while it holds the lease.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Configure:
		s.applyConfigure(m)
	case Reported:
		s.applyReported(now, m)
	case Ended:
		s.applyEnded(now, m)
	case Tick:
		return s.reconcile(now)
	}
	return s, nil
}

// applyConfigure replaces the configuration. The failure count of a version is reset
// only when an engine's wanted version changes to it.
func (s *State) applyConfigure(m Configure) {
	for name, next := range m.Engines {
		if old, ok := s.wanted[name]; ok && old.WeightVersion != next.WeightVersion {
			delete(s.failures, modelVersion{next.Model, next.WeightVersion})
		}
	}
	s.wanted = m.Engines
	maps.DeleteFunc(s.engines, func(name string, _ engineState) bool { _, ok := m.Engines[name]; return !ok })
}

func (s *State) applyReported(now time.Time, m Reported) {
	if _, ok := s.wanted[m.Engine]; !ok {
		return
	}
	e := s.engines[m.Engine]
	if e.load.Incarnation != "" && e.load.Incarnation != m.Load.Incarnation {
		s.resetEngine(&e)
	}
	e.load, e.seenAt = m.Load, now
	if !e.loadStarted.IsZero() && !m.Load.Loading && m.Load.WeightVersion == e.loadVersion.weights {
		s.loadDuration = now.Sub(e.loadStarted)
		e.loadStarted = time.Time{}
		e.settledAt = time.Time{}
	}
	if e.loadUnsure && !e.loadStarted.IsZero() && !m.Load.Loading && e.pendingID == 0 && !now.Before(e.settledAt) {
		// The engine is not loading, so the order was lost or is still delayed. An
		// engine refuses a delayed order once it has accepted a later one.
		e.loadStarted, e.loadUnsure = time.Time{}, false
	}
	s.engines[m.Engine] = e
}

// resetEngine clears the orders of an engine that has restarted. A load that was
// in progress counts as failed.
func (s *State) resetEngine(e *engineState) {
	if !e.loadStarted.IsZero() {
		s.failures[e.loadVersion]++
	}
	e.loadStarted, e.settledAt, e.orderedRole = time.Time{}, time.Time{}, ""
}

func (s *State) applyEnded(now time.Time, m Ended) {
	e, ok := s.engines[m.Engine]
	if !ok || e.pendingID != m.ID {
		return
	}
	e.pendingID = 0
	e.settledAt = now.Add(s.options.ReportDelay)
	switch m.Result {
	case Accepted:
	case Unsure:
		e.loadUnsure = true
	case RateLimited:
		e.loadStarted = time.Time{}
		s.loadsBlockedUntil = now.Add(m.RetryAfter)
	case Refused:
		if !e.loadStarted.IsZero() {
			s.failures[e.loadVersion]++
		}
		e.loadStarted = time.Time{}
	case NotSent:
		e.loadStarted, e.settledAt, e.orderedRole = time.Time{}, time.Time{}, ""
	}
	s.engines[m.Engine] = e
}

// targetVersion returns the version that an engine should serve: the wanted one,
// or the last good one if the wanted one failed to load too often.
func (s State) targetVersion(wanted Wanted) string {
	good, ok := s.lastGood[wanted.Model]
	if ok && !s.options.RetryForever && s.failures[modelVersion{wanted.Model, wanted.WeightVersion}] >= maxFailures {
		return good
	}
	return wanted.WeightVersion
}

// reconcile decides the next order of every engine. It resumes drained engines
// before it drains others, to keep as many as possible serving.
func (s State) reconcile(now time.Time) (State, []Command) {
	s.expireLoads(now)
	s.updateLastGood(now)
	var commands []Command
	names := slices.Sorted(maps.Keys(s.engines))
	s.sortByVersion(names)
	for _, decide := range []func(time.Time, string, engineState) engine.Order{s.resume, s.loadWeights, s.loadAdapter, s.drain} {
		for _, name := range names {
			e := s.engines[name]
			if e.pendingID != 0 || now.Before(e.settledAt) || now.Before(s.wanted[name].NotBefore) || !s.fresh(now, e) {
				continue
			}
			if o := decide(now, name, e); o != nil {
				commands = append(commands, s.send(now, name, o))
			}
		}
	}
	return s, commands
}

// Settled reports whether every engine that has reported serves its target version
// and adapters, with no order in progress. Reports may then be polled less often.
func (s State) Settled() bool {
	for name, e := range s.engines {
		wanted := s.wanted[name]
		busy := e.pendingID != 0 || !e.loadStarted.IsZero() || e.load.Loading || e.load.Role == RoleDrain
		if busy || e.load.WeightVersion != s.targetVersion(wanted) {
			return false
		}
		for adapter, at := range wanted.Adapters {
			if e.load.Adapters[adapter] != at {
				return false
			}
		}
	}
	return len(s.engines) > 0
}

// expireLoads ends loads that exceeded the load timeout. They count as failed,
// unless the order may not have reached the engine.
func (s *State) expireLoads(now time.Time) {
	for name, e := range s.engines {
		if e.loadStarted.IsZero() || now.Sub(e.loadStarted) < s.options.LoadTimeout {
			continue
		}
		if !e.loadUnsure {
			s.failures[e.loadVersion]++
		}
		e.loadStarted = time.Time{}
		s.engines[name] = e
	}
}

// updateLastGood records the versions that all engines of a model serve.
func (s *State) updateLastGood(now time.Time) {
	allServing := map[modelVersion]bool{}
	for name, wanted := range s.wanted {
		key := modelVersion{wanted.Model, wanted.WeightVersion}
		e, seen := s.engines[name]
		servesWanted := seen && s.fresh(now, e) && e.load.WeightVersion == wanted.WeightVersion
		before, counted := allServing[key]
		allServing[key] = servesWanted && (before || !counted)
	}
	for key, all := range allServing {
		if all {
			s.lastGood[key.model] = key.weights
		}
	}
}

func (s *State) send(now time.Time, name string, o engine.Order) Command {
	s.lastID++
	e := s.engines[name]
	e.pendingID = s.lastID
	if load, ok := o.(engine.LoadModel); ok {
		e.loadVersion = modelVersion{load.Model, load.WeightVersion}
		e.loadStarted, s.lastLoadAt = now, now
		e.loadUnsure = false
	}
	if role, ok := o.(engine.SetRole); ok {
		e.orderedRole = role.Role
		if role.Role == RoleDrain {
			e.drainStarted = now
		}
	}
	s.engines[name] = e
	return Send{ID: s.lastID, Engine: name, Order: o}
}

func (s State) fresh(now time.Time, e engineState) bool { return now.Sub(e.seenAt) <= s.options.MaxAge }

// maybeDraining reports whether an engine may be draining: its report says so,
// or the report may be older than an order to drain.
func (e engineState) maybeDraining(now time.Time) bool {
	recent := e.pendingID != 0 || now.Before(e.settledAt)
	return e.load.Role == RoleDrain || e.orderedRole == RoleDrain && recent
}

// serving reports whether an engine certainly accepts requests.
func (e engineState) serving(now time.Time) bool {
	return !e.maybeDraining(now) && !e.load.Leaving && !e.load.Loading && e.loadStarted.IsZero()
}
