// Package order decides which orders the engines of a site get, so that they
// come to serve what the configuration wants.
//
// It is level-triggered: each decision looks at what is wanted and at what the
// engines report now, never at how things came to be so. A holder that crashed
// in any step is therefore simply followed by one that looks again.
package order

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// The roles of an engine.
const (
	// RoleServe takes work.
	RoleServe = "serve"
	// RoleDrain ends its work and takes no more.
	RoleDrain = "drain"
)

// maxFailures is the number of failed loads after which a version is given up.
const maxFailures = 2

// Options bound what goes on at a time.
type Options struct {
	// MaxLoads is the number of weight loads at once at the site.
	MaxLoads int
	// LoadShare raises MaxLoads to one in so many engines; zero leaves it.
	LoadShare int
	// LoadInterval is the least time between the starts of two loads.
	LoadInterval time.Duration
	// LoadTimeout is when a load that is not seen done counts as failed.
	LoadTimeout time.Duration
	// Settle is how long a report may lag behind an order that was obeyed.
	Settle time.Duration
	// MaxAge is how old a report may be to count.
	MaxAge time.Duration
	// Patience is how long an engine may take to end its work before weights are
	// loaded beside what is left of it; zero means as long as it needs.
	Patience time.Duration
	// KeepTrying is true when a version is never given up for failed loads.
	KeepTrying bool
}

// Wanted is what an engine should serve.
type Wanted struct {
	// Model is the model.
	Model string
	// WeightVersion is the version of its weights.
	WeightVersion string
	// Adapters are the versions of its adapters by name.
	Adapters map[string]string
	// NotBefore is when the engine may get its first order, so that orders of an
	// earlier holder have ended.
	NotBefore time.Time
}

// State is what is wanted and what is known of the engines.
type State struct {
	options Options
	wanted  map[string]Wanted
	engines map[string]known
	// good is the last version of a model that was wanted and that all of its
	// engines were seen to serve.
	good map[string]string
	// failures counts failed loads of a version of a model.
	failures map[version]int
	lastLoad time.Time
	holdLoad time.Time
	// loadTime is how long a load has taken lately; zero before the first.
	loadTime time.Duration
	lastID   uint64
}

type version struct{ model, weights string }

// known is one engine as it was last seen, with the order under way to it.
type known struct {
	load   engine.Load
	seenAt time.Time
	// id is the order that was sent and not answered yet; zero means none.
	id     uint64
	loaded version
	// loadFrom is when a load was begun; zero means that none is under way.
	loadFrom time.Time
	// unsure is true when that load may not have reached the engine.
	unsure bool
	// role is the last role ordered, and drainFrom when that was to drain.
	role      string
	drainFrom time.Time
	// quiet is until when reports may still be older than the last order.
	quiet time.Time
}

// New returns a state that wants nothing.
//
//	state := order.New(order.Options{MaxLoads: 2, LoadInterval: time.Second})
//	state, commands := state.Update(now, order.Want{Engines: wanted})
func New(options Options) State {
	return State{
		options: options, wanted: map[string]Wanted{}, engines: map[string]known{},
		good: map[string]string{}, failures: map[version]int{},
	}
}

// GivenUp returns the number of versions that failed to load and are not tried
// again.
func (s State) GivenUp() int {
	count := 0
	for _, failed := range s.failures {
		if failed >= maxFailures {
			count++
		}
	}
	return count
}

// Update takes a message at a time and returns the orders to give. Orders are
// made on [Tick] alone, which the shell sends only while it holds the lease.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Want:
		s.want(m)
	case Seen:
		s.see(now, m)
	case Ended:
		s.end(now, m)
	case Tick:
		return s.reconcile(now)
	}
	return s, nil
}

// want takes a new configuration; versions given up before get a new chance
// only when the wanted version of their model changes.
func (s *State) want(m Want) {
	for name, next := range m.Engines {
		if old, ok := s.wanted[name]; ok && old.WeightVersion != next.WeightVersion {
			delete(s.failures, version{next.Model, next.WeightVersion})
		}
	}
	s.wanted = m.Engines
	maps.DeleteFunc(s.engines, func(name string, _ known) bool { _, ok := m.Engines[name]; return !ok })
}

func (s *State) see(now time.Time, m Seen) {
	if _, ok := s.wanted[m.Engine]; !ok {
		return
	}
	k := s.engines[m.Engine]
	if k.load.Incarnation != "" && k.load.Incarnation != m.Load.Incarnation {
		s.restarted(&k)
	}
	k.load, k.seenAt = m.Load, now
	if !k.loadFrom.IsZero() && !m.Load.Loading && m.Load.WeightVersion == k.loaded.weights {
		s.loadTime = now.Sub(k.loadFrom)
		k.loadFrom = time.Time{}
		k.quiet = time.Time{}
	}
	if k.unsure && !k.loadFrom.IsZero() && !m.Load.Loading && k.id == 0 && !now.Before(k.quiet) {
		// The engine does not load: the order was lost, or is yet to come, which
		// the engine refuses once it has accepted the next one.
		k.loadFrom, k.unsure = time.Time{}, false
	}
	s.engines[m.Engine] = k
}

// restarted forgets what was ordered; a load that ended in a crash has failed.
func (s *State) restarted(k *known) {
	if !k.loadFrom.IsZero() {
		s.failures[k.loaded]++
	}
	k.loadFrom, k.quiet, k.role = time.Time{}, time.Time{}, ""
}

func (s *State) end(now time.Time, m Ended) {
	k, ok := s.engines[m.Engine]
	if !ok || k.id != m.ID {
		return
	}
	k.id = 0
	k.quiet = now.Add(s.options.Settle)
	switch m.Result {
	case Obeyed:
	case Unsure:
		k.unsure = true
	case Limited:
		k.loadFrom = time.Time{}
		s.holdLoad = now.Add(m.RetryAfter)
	case Refused:
		if !k.loadFrom.IsZero() {
			s.failures[k.loaded]++
		}
		k.loadFrom = time.Time{}
	case NotSent:
		k.loadFrom, k.quiet, k.role = time.Time{}, time.Time{}, ""
	}
	s.engines[m.Engine] = k
}

// target is the version that an engine should come to: the wanted one, or the
// last good one when the wanted one fails to load.
func (s State) target(wanted Wanted) string {
	good, ok := s.good[wanted.Model]
	if ok && !s.options.KeepTrying && s.failures[version{wanted.Model, wanted.WeightVersion}] >= maxFailures {
		return good
	}
	return wanted.WeightVersion
}

// reconcile looks at every engine in turn. Putting engines back to work goes
// before taking others out of it.
func (s State) reconcile(now time.Time) (State, []Command) {
	s.expire(now)
	s.learn(now)
	var commands []Command
	names := slices.Sorted(maps.Keys(s.engines))
	s.sortOldest(names)
	for _, decide := range []func(time.Time, string, known) engine.Order{s.back, s.load, s.adapter, s.drain} {
		for _, name := range names {
			k := s.engines[name]
			if k.id != 0 || now.Before(k.quiet) || now.Before(s.wanted[name].NotBefore) || !s.fresh(now, k) {
				continue
			}
			if o := decide(now, name, k); o != nil {
				commands = append(commands, s.send(now, name, o))
			}
		}
	}
	return s, commands
}

// Settled reports whether every engine that was seen serves what is wanted, with
// no order under way. Reports may then be read less often.
func (s State) Settled() bool {
	for name, k := range s.engines {
		wanted := s.wanted[name]
		busy := k.id != 0 || !k.loadFrom.IsZero() || k.load.Loading || k.load.Role == RoleDrain
		if busy || k.load.WeightVersion != s.target(wanted) {
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

// expire ends loads that took too long.
func (s *State) expire(now time.Time) {
	for name, k := range s.engines {
		if k.loadFrom.IsZero() || now.Sub(k.loadFrom) < s.options.LoadTimeout {
			continue
		}
		if !k.unsure {
			s.failures[k.loaded]++
		}
		k.loadFrom = time.Time{}
		s.engines[name] = k
	}
}

// learn notes the versions that every engine of a model has come to serve.
func (s *State) learn(now time.Time) {
	whole := map[version]bool{}
	for name, wanted := range s.wanted {
		key := version{wanted.Model, wanted.WeightVersion}
		k, seen := s.engines[name]
		at := seen && s.fresh(now, k) && k.load.WeightVersion == wanted.WeightVersion
		before, counted := whole[key]
		whole[key] = at && (before || !counted)
	}
	for key, all := range whole {
		if all {
			s.good[key.model] = key.weights
		}
	}
}

func (s *State) send(now time.Time, name string, o engine.Order) Command {
	s.lastID++
	k := s.engines[name]
	k.id = s.lastID
	if load, ok := o.(engine.LoadModel); ok {
		k.loaded = version{load.Model, load.WeightVersion}
		k.loadFrom, s.lastLoad = now, now
		k.unsure = false
	}
	if role, ok := o.(engine.SetRole); ok {
		k.role = role.Role
		if role.Role == RoleDrain {
			k.drainFrom = now
		}
	}
	s.engines[name] = k
	return Send{ID: s.lastID, Engine: name, Order: o}
}

func (s State) fresh(now time.Time, k known) bool { return now.Sub(k.seenAt) <= s.options.MaxAge }

// out reports whether an engine may be out of work: its report says so, or the
// report may be older than an order to drain.
func (k known) out(now time.Time) bool {
	recent := k.id != 0 || now.Before(k.quiet)
	return k.load.Role == RoleDrain || k.role == RoleDrain && recent
}

// serving reports whether an engine certainly takes work.
func (k known) serving(now time.Time) bool {
	return !k.out(now) && !k.load.Leaving && !k.load.Loading && k.loadFrom.IsZero()
}
