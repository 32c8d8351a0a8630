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
	// LoadTimeout is how long a load may take before it is given up.
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
		s.applyWant(m)
	case Reported:
		s.applySeen(now, m)
	case Ended:
		s.applyEnded(now, m)
	case Tick:
		return s.reconcile(now)
	}
	return s, nil
}

// applyWant replaces the configuration. The failure count of a version is reset
// only when an engine's wanted version changes to it.
func (s *State) applyWant(m Configure) {
	for name, next := range m.Engines {
		if old, ok := s.wanted[name]; ok && old.WeightVersion != next.WeightVersion {
			delete(s.failures, modelVersion{next.Model, next.WeightVersion})
		}
	}
	s.wanted = m.Engines
	maps.DeleteFunc(s.engines, func(name string, _ engineState) bool { _, ok := m.Engines[name]; return !ok })
}

func (s *State) applySeen(now time.Time, m Reported) {
	if _, ok := s.wanted[m.Engine]; !ok {
		return
	}
	k := s.engines[m.Engine]
	if k.load.Incarnation != "" && k.load.Incarnation != m.Load.Incarnation {
		s.resetEngine(&k)
	}
	k.load, k.seenAt = m.Load, now
	if !k.loadStarted.IsZero() && !m.Load.Loading && m.Load.WeightVersion == k.loadVersion.weights {
		s.loadDuration = now.Sub(k.loadStarted)
		k.loadStarted = time.Time{}
		k.settledAt = time.Time{}
	}
	if k.loadUnsure && !k.loadStarted.IsZero() && !m.Load.Loading && k.pendingID == 0 && !now.Before(k.settledAt) {
		// The engine is not loading, so the order was lost or is still delayed. An
		// engine refuses a delayed order once it has accepted a later one.
		k.loadStarted, k.loadUnsure = time.Time{}, false
	}
	s.engines[m.Engine] = k
}

// resetEngine clears the orders of an engine that has restarted. A load that was
// in progress counts as failed.
func (s *State) resetEngine(k *engineState) {
	if !k.loadStarted.IsZero() {
		s.failures[k.loadVersion]++
	}
	k.loadStarted, k.settledAt, k.orderedRole = time.Time{}, time.Time{}, ""
}

func (s *State) applyEnded(now time.Time, m Ended) {
	k, ok := s.engines[m.Engine]
	if !ok || k.pendingID != m.ID {
		return
	}
	k.pendingID = 0
	k.settledAt = now.Add(s.options.ReportDelay)
	switch m.Result {
	case Accepted:
	case Unsure:
		k.loadUnsure = true
	case RateLimited:
		k.loadStarted = time.Time{}
		s.loadsBlockedUntil = now.Add(m.RetryAfter)
	case Refused:
		if !k.loadStarted.IsZero() {
			s.failures[k.loadVersion]++
		}
		k.loadStarted = time.Time{}
	case NotSent:
		k.loadStarted, k.settledAt, k.orderedRole = time.Time{}, time.Time{}, ""
	}
	s.engines[m.Engine] = k
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
			k := s.engines[name]
			if k.pendingID != 0 || now.Before(k.settledAt) || now.Before(s.wanted[name].NotBefore) || !s.fresh(now, k) {
				continue
			}
			if o := decide(now, name, k); o != nil {
				commands = append(commands, s.send(now, name, o))
			}
		}
	}
	return s, commands
}

// Settled reports whether every known engine serves its target version and
// adapters, with no order in progress. Reports may then be polled less often.
func (s State) Settled() bool {
	for name, k := range s.engines {
		wanted := s.wanted[name]
		busy := k.pendingID != 0 || !k.loadStarted.IsZero() || k.load.Loading || k.load.Role == RoleDrain
		if busy || k.load.WeightVersion != s.targetVersion(wanted) {
			return false
		}
		for adapter, at := range wanted.Adapters {
			if k.load.Adapters[adapter] != at {
				return false
			}
		}
	}
	return len(s.engines) > 0
}

// expireLoads gives up loads that exceeded the load timeout. They count as failed
// unless the order may not have reached the engine.
func (s *State) expireLoads(now time.Time) {
	for name, k := range s.engines {
		if k.loadStarted.IsZero() || now.Sub(k.loadStarted) < s.options.LoadTimeout {
			continue
		}
		if !k.loadUnsure {
			s.failures[k.loadVersion]++
		}
		k.loadStarted = time.Time{}
		s.engines[name] = k
	}
}

// updateLastGood records the versions that all engines of a model serve.
func (s *State) updateLastGood(now time.Time) {
	allServing := map[modelVersion]bool{}
	for name, wanted := range s.wanted {
		key := modelVersion{wanted.Model, wanted.WeightVersion}
		k, seen := s.engines[name]
		at := seen && s.fresh(now, k) && k.load.WeightVersion == wanted.WeightVersion
		before, counted := allServing[key]
		allServing[key] = at && (before || !counted)
	}
	for key, all := range allServing {
		if all {
			s.lastGood[key.model] = key.weights
		}
	}
}

func (s *State) send(now time.Time, name string, o engine.Order) Command {
	s.lastID++
	k := s.engines[name]
	k.pendingID = s.lastID
	if load, ok := o.(engine.LoadModel); ok {
		k.loadVersion = modelVersion{load.Model, load.WeightVersion}
		k.loadStarted, s.lastLoadAt = now, now
		k.loadUnsure = false
	}
	if role, ok := o.(engine.SetRole); ok {
		k.orderedRole = role.Role
		if role.Role == RoleDrain {
			k.drainStarted = now
		}
	}
	s.engines[name] = k
	return Send{ID: s.lastID, Engine: name, Order: o}
}

func (s State) fresh(now time.Time, k engineState) bool { return now.Sub(k.seenAt) <= s.options.MaxAge }

// maybeDraining reports whether an engine may be draining: its report says so,
// or the report may be older than an order to drain.
func (k engineState) maybeDraining(now time.Time) bool {
	recent := k.pendingID != 0 || now.Before(k.settledAt)
	return k.load.Role == RoleDrain || k.orderedRole == RoleDrain && recent
}

// serving reports whether an engine certainly accepts requests.
func (k engineState) serving(now time.Time) bool {
	return !k.maybeDraining(now) && !k.load.Leaving && !k.load.Loading && k.loadStarted.IsZero()
}
