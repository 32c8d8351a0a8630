package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// resume orders a drained engine that has its target version to serve again.
func (s State) resume(_ time.Time, name string, k engineState) engine.Order {
	if k.load.Role != RoleDrain || k.load.Loading || !k.loadStarted.IsZero() || k.load.WeightVersion != s.targetVersion(s.wanted[name]) {
		return nil
	}
	return engine.SetRole{Role: RoleServe}
}

// drained reports whether a draining engine has finished its requests or has
// exceeded the time for them.
func (s State) drained(now time.Time, k engineState) bool {
	if k.load.Role != RoleDrain {
		return false
	}
	waited := s.options.DrainTimeout > 0 && now.Sub(k.drainStarted) >= s.options.DrainTimeout
	return waited || k.load.Running+k.load.Waiting == 0
}

// loadWeights orders a drained engine to load its target version.
func (s State) loadWeights(now time.Time, name string, k engineState) engine.Order {
	wanted := s.wanted[name]
	if !s.drained(now, k) || k.load.Loading || !k.loadStarted.IsZero() || k.load.WeightVersion == s.targetVersion(wanted) || !s.mayLoad(now) {
		return nil
	}
	return engine.LoadModel{Model: wanted.Model, WeightVersion: s.targetVersion(wanted)}
}

// mayLoad reports whether the limits of the site and the rate limit of the
// weight store allow another load.
func (s State) mayLoad(now time.Time) bool {
	if now.Before(s.loadsBlockedUntil) || !s.lastLoadAt.IsZero() && now.Sub(s.lastLoadAt) < s.options.LoadInterval {
		return false
	}
	return s.activeLoads() < s.maxLoads()
}

// maxLoads returns the maximum number of concurrent loads.
func (s State) maxLoads() int {
	if s.options.EnginesPerLoad <= 0 {
		return s.options.MaxLoads
	}
	return max(s.options.MaxLoads, len(s.wanted)/s.options.EnginesPerLoad)
}

// activeLoads counts the loads that may be in progress, including those ordered
// by an earlier lease holder.
func (s State) activeLoads() int {
	count := 0
	for _, k := range s.engines {
		if k.load.Loading || !k.loadStarted.IsZero() {
			count++
		}
	}
	return count
}

// loadAdapter orders an engine to load the first adapter that it lacks. Adapters
// are loaded without draining the engine.
func (s State) loadAdapter(_ time.Time, name string, k engineState) engine.Order {
	wanted := s.wanted[name]
	if k.load.Loading || !k.loadStarted.IsZero() || k.load.WeightVersion != s.targetVersion(wanted) {
		return nil
	}
	for _, adapter := range slices.Sorted(maps.Keys(wanted.Adapters)) {
		if k.load.Adapters[adapter] != wanted.Adapters[adapter] {
			return engine.LoadAdapter{Adapter: adapter, Version: wanted.Adapters[adapter]}
		}
	}
	return nil
}

// drain orders an engine with the wrong version to drain, if enough others of
// its model keep serving and a load can start soon.
func (s State) drain(now time.Time, name string, k engineState) engine.Order {
	wanted := s.wanted[name]
	if k.load.Role == RoleDrain || k.load.Loading || k.load.Leaving || k.load.WeightVersion == s.targetVersion(wanted) {
		return nil
	}
	othersServing, all, draining := s.countEngines(now, wanted.Model, name)
	if draining >= s.maxLoads() || othersServing < minServing(all) {
		return nil
	}
	return engine.SetRole{Role: RoleDrain}
}

// sortByVersion sorts engines by weight version, the oldest first. When versions
// change faster than all engines can load them, no engine falls far behind.
func (s State) sortByVersion(names []string) {
	slices.SortStableFunc(names, func(a, b string) int {
		x, y := s.engines[a].load.WeightVersion, s.engines[b].load.WeightVersion
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y))
	})
}

// nearlyLoaded reports whether an engine's load is expected to end within the
// time that another engine may take to drain.
func (s State) nearlyLoaded(now time.Time, k engineState) bool {
	return !k.loadStarted.IsZero() && s.loadDuration > 0 && s.options.DrainTimeout > 0 && now.Sub(k.loadStarted)+s.options.DrainTimeout >= s.loadDuration
}

// countEngines counts the engines of a model other than except that certainly
// serve, all engines of the model, and all draining engines of the site whose
// load does not end before another engine could have drained.
func (s State) countEngines(now time.Time, model, except string) (othersServing, all, draining int) {
	for name, wanted := range s.wanted {
		k, seen := s.engines[name]
		if seen && k.maybeDraining(now) && !s.nearlyLoaded(now, k) {
			draining++
		}
		if wanted.Model != model {
			continue
		}
		all++
		if name != except && seen && s.fresh(now, k) && k.serving(now) {
			othersServing++
		}
	}
	return othersServing, all, draining
}

// minServing returns how many engines of a model must keep serving: two thirds
// of them, and at least one if there are two or more.
func minServing(all int) int {
	if all < 2 {
		return 0
	}
	return max(1, all*2/3)
}
