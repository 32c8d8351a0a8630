package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// back puts a drained engine that serves the right version to work again.
func (s State) back(_ time.Time, name string, k known) engine.Order {
	if k.load.Role != RoleDrain || k.load.Loading || !k.loadFrom.IsZero() || k.load.WeightVersion != s.target(s.wanted[name]) {
		return nil
	}
	return engine.SetRole{Role: RoleServe}
}

// emptied reports whether an engine has ended its work, or has had its time to.
func (s State) emptied(now time.Time, k known) bool {
	if k.load.Role != RoleDrain {
		return false
	}
	waited := s.options.Patience > 0 && now.Sub(k.drainFrom) >= s.options.Patience
	return waited || k.load.Running+k.load.Waiting == 0
}

// load loads weights into an engine that has drained.
func (s State) load(now time.Time, name string, k known) engine.Order {
	wanted := s.wanted[name]
	if !s.emptied(now, k) || k.load.Loading || !k.loadFrom.IsZero() || k.load.WeightVersion == s.target(wanted) || !s.mayLoad(now) {
		return nil
	}
	return engine.LoadModel{Model: wanted.Model, WeightVersion: s.target(wanted)}
}

// mayLoad keeps to the bound of the site and to the weight store's rate.
func (s State) mayLoad(now time.Time) bool {
	if now.Before(s.holdLoad) || !s.lastLoad.IsZero() && now.Sub(s.lastLoad) < s.options.LoadInterval {
		return false
	}
	return s.loads() < s.maxLoads()
}

// maxLoads is the number of engines that may load at once.
func (s State) maxLoads() int {
	if s.options.LoadShare <= 0 {
		return s.options.MaxLoads
	}
	return max(s.options.MaxLoads, len(s.wanted)/s.options.LoadShare)
}

// loads counts the loads that may be under way, those of an earlier holder too.
func (s State) loads() int {
	count := 0
	for _, k := range s.engines {
		if k.load.Loading || !k.loadFrom.IsZero() {
			count++
		}
	}
	return count
}

// adapter loads an adapter beside the model; it needs no drain.
func (s State) adapter(_ time.Time, name string, k known) engine.Order {
	wanted := s.wanted[name]
	if k.load.Loading || !k.loadFrom.IsZero() || k.load.WeightVersion != s.target(wanted) {
		return nil
	}
	for _, adapter := range slices.Sorted(maps.Keys(wanted.Adapters)) {
		if k.load.Adapters[adapter] != wanted.Adapters[adapter] {
			return engine.LoadAdapter{Adapter: adapter, Version: wanted.Adapters[adapter]}
		}
	}
	return nil
}

// drain takes an engine with another version out of work, if enough others of
// its model go on and it can be loaded soon.
func (s State) drain(now time.Time, name string, k known) engine.Order {
	wanted := s.wanted[name]
	if k.load.Role == RoleDrain || k.load.Loading || k.load.Leaving || k.load.WeightVersion == s.target(wanted) {
		return nil
	}
	staying, all, out := s.count(now, wanted.Model, name)
	if out >= s.maxLoads() || staying < least(all) {
		return nil
	}
	return engine.SetRole{Role: RoleDrain}
}

// sortOldest puts the engines first whose weights are the oldest: when versions
// are named faster than all engines can load them, none is left far behind.
func (s State) sortOldest(names []string) {
	slices.SortStableFunc(names, func(a, b string) int {
		x, y := s.engines[a].load.WeightVersion, s.engines[b].load.WeightVersion
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y))
	})
}

// nearlyLoaded reports whether an engine's load will end by the time in which
// another engine empties.
func (s State) nearlyLoaded(now time.Time, k known) bool {
	return !k.loadFrom.IsZero() && s.loadTime > 0 && s.options.Patience > 0 && now.Sub(k.loadFrom)+s.options.Patience >= s.loadTime
}

// count counts the other engines of a model that certainly serve, all engines
// of the model, and the engines of the site that are out of work for longer than
// another one needs to empty.
func (s State) count(now time.Time, model, except string) (staying, all, out int) {
	for name, wanted := range s.wanted {
		k, seen := s.engines[name]
		if seen && k.out(now) && !s.nearlyLoaded(now, k) {
			out++
		}
		if wanted.Model != model {
			continue
		}
		all++
		if name != except && seen && s.fresh(now, k) && k.serving(now) {
			staying++
		}
	}
	return staying, all, out
}

// least is the number of engines of a model that must go on serving: two in
// three, and always one where there are two.
func least(all int) int {
	if all < 2 {
		return 0
	}
	return max(1, all*2/3)
}
