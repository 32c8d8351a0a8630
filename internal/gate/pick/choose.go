package pick

import (
	"math"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

// The costs of a choice, as parts of what a request is worth.
const (
	// lateCost is what a late answer loses: it is worth about a third.
	lateCost = 0.7
	// oldCost is what an answer on replaced weights loses.
	oldCost = 0.2
	// failCost is what a broken answer loses.
	failCost = 1.0
	// rereadCost is the cost of reading 1,000 shared prompt tokens that some
	// engine holds, so that reading a long part again costs as much as the
	// request is worth.
	rereadCost = 0.25
	// fetchCost is the cost of copying 1,000 tokens between engines.
	fetchCost = 0.015
	// zoneCost is the cost of 10 kB between data centres.
	zoneCost = 0.006
	// waitCost spreads work among targets that are all in time: it is the cost
	// of taking the whole objective.
	waitCost = 0.1
	// crowdCost puts targets last that can't take more in time.
	crowdCost = 10.0
	// strayCost keeps nodes that don't know of each other's choice yet from
	// reading a new part on several engines.
	strayCost = 0.08
)

const (
	// oldGrace is how long after a version was named answers on the one before
	// cost nothing.
	oldGrace = 1200 * time.Millisecond
	// crowdShare is the part of the objective that the work ahead of a request may
	// take: the rest is for its own prompt. Work beyond it makes all that follows
	// late, the short and urgent requests too.
	crowdShare = 0.5
	// shortShare is the part of the objective below which a prompt counts as short.
	shortShare = 0.05
	// shortWait is the part of the time left beside its own for which the work
	// ahead of a short prompt may last: estimates are rough.
	shortWait = 0.85
	// memoryShare is the part of an engine's memory that running requests may
	// fill before the engine has to preempt some.
	memoryShare = 0.9
	// fetchSetup is the time that a copy takes beside its bytes.
	fetchSetup = 4 * time.Millisecond
	// minFetch is the number of tokens from which on a copy saves time.
	minFetch = 64
	// saveOwnShare is how many times longer than its shared parts a prompt's own
	// part may be for the prompt to be saved.
	saveOwnShare = 1
	// plainQueue is how many requests wait at a plain target for each slot
	// before it refuses more.
	plainQueue = 2
	// manyTargets is the number of engines above which a request looks at some of
	// them: at sampledHolders that hold the most of its parts for each version, and
	// sampledOthers at random. TestManyHostsDoNotHerd simulates it with 140 engines.
	manyTargets    = 24
	sampledHolders = 3
	sampledOthers  = 6
	// minRetryAfter is the least pause that a refused client is asked to make.
	minRetryAfter = 200 * time.Millisecond
	// tokenText is the size of one output token on the wire, in bytes.
	tokenText = 30
)

// option is one target with what it would cost to choose it.
type option struct {
	verdict Go
	cost    float64
	// crowded is true when the work ahead would make this and others late.
	crowded bool
	// wait is how long the work ahead takes.
	wait time.Duration
}

// Choose decides about a request. It changes nothing; [State.Start] does.
func (s *State) Choose(now time.Time, r Request) Verdict {
	targets := s.services[r.Service]
	if len(targets) == 0 {
		return Refuse{Reason: "the service has no target", RetryAfter: time.Second}
	}
	var open []*target
	soon := false
	for _, t := range targets {
		switch s.admit(now, t, r) {
		case admitted:
			open = append(open, t)
		case soonAgain:
			soon = true
		}
	}
	if len(open) == 0 {
		if soon {
			return Wait{Reason: "every target is full or loads weights"}
		}
		return Refuse{Reason: "no target takes new work", RetryAfter: time.Second}
	}
	var best option
	if s.isModel(r) {
		best = s.bestEngine(now, open, r)
	} else {
		best = s.bestPlain(now, open, r)
	}
	if best.crowded {
		return Wait{Reason: "the work ahead would take too long", After: best.wait}
	}
	if best.verdict.Expected > r.Left {
		return Refuse{Reason: "the answer would come too late", RetryAfter: max(best.verdict.Expected/2, minRetryAfter)}
	}
	return best.verdict
}

func (s *State) isModel(r Request) bool { return r.Prompt.Model != "" }

type admission int

const (
	never admission = iota
	soonAgain
	admitted
)

// admit reports whether a target can take a request now.
func (s *State) admit(now time.Time, t *target, r Request) admission {
	if t.Leaving || slices.Contains(r.Excluded, t.ID) {
		return never
	}
	if s.isModel(r) {
		version, ok := t.Versions[r.Prompt.Model]
		if !ok && len(t.Versions) > 0 {
			return never
		}
		if version < s.wanted[r.Prompt.Model].floor {
			return soonAgain
		}
	}
	if t.emptied || now.Before(t.full) || now.Before(t.suspect) && !r.Idempotent {
		return soonAgain
	}
	if !s.isModel(r) {
		count, _ := t.work(now)
		if count.Running >= t.Slots*(1+plainQueue) {
			return soonAgain
		}
	}
	return admitted
}

// bestPlain chooses among targets of a plain service.
func (s *State) bestPlain(now time.Time, open []*target, r Request) option {
	work := s.speed(r.Service).work
	best := option{cost: math.Inf(1)}
	for _, t := range open {
		count, age := t.work(now)
		slots := max(t.Slots, 1)
		expected := work
		if ahead := count.Running + 1 - slots; ahead > 0 {
			expected += work * time.Duration(ahead) / time.Duration(slots)
		}
		cost := s.common(now, t, r, expected) + waitCost*float64(count.Running)/float64(slots)
		if t.DataCentre != s.options.DataCentre {
			cost += zoneCost
		}
		if s.better(cost, best.cost) {
			best = option{cost: cost, verdict: Go{Target: t.Target, Expected: expected, Load: count, Age: age}}
		}
	}
	return best
}

// better breaks ties at random, so that nodes with the same figures don't all
// choose the same target.
func (s *State) better(cost, best float64) bool {
	return cost < best || cost == best && s.random.IntN(2) == 0
}

// common is the cost that does not depend on the kind of target.
func (s *State) common(now time.Time, t *target, r Request, expected time.Duration) float64 {
	cost := failCost * t.failing
	if now.Before(t.suspect) {
		cost += failCost
	}
	if now.Before(t.ColdUntil) {
		cost += waitCost
	}
	objective := max(r.Objective, time.Millisecond)
	share := float64(expected) / float64(objective)
	cost += waitCost * min(share, 4)
	// Estimates are rough: the risk of being late rises from two thirds of the
	// objective on.
	if risk := (share - 0.66) / 0.34; risk > 0 {
		cost += lateCost * min(risk, 1)
	}
	return cost
}

// bestEngine chooses among model engines.
func (s *State) bestEngine(now time.Time, open []*target, r Request) option {
	chains := map[uint64][]part{}
	owners := s.owners(open, r, chains)
	known := map[uint64]*holdings{}
	for _, t := range open {
		version := t.Versions[r.Prompt.Model]
		if known[version] == nil {
			known[version] = s.holdingsOf(now, r, version, s.chainOf(chains, r, version)[:len(r.Prompt.Shared())])
		}
	}
	best := option{cost: math.Inf(1), crowded: true}
	if len(open) > manyTargets {
		best = s.bestOf(now, s.sample(open, owners, known), r, chains, owners, known)
	}
	if best.crowded {
		best = s.bestOf(now, open, r, chains, owners, known)
	}
	return best
}

// sample returns some targets of many: engines that hold the most, those that
// should read a new part, and others at random. Nodes that all see the same
// target as the best one, by figures of before each other's choice, must not all
// choose it.
func (s *State) sample(open []*target, owners map[uint64]*target, known map[uint64]*holdings) []*target {
	picked := make([]*target, 0, sampledHolders+sampledOthers+len(owners))
	add := func(t *target) {
		if !slices.Contains(picked, t) {
			picked = append(picked, t)
		}
	}
	for _, h := range known {
		for range min(sampledHolders, len(h.holders)) {
			add(h.holders[s.random.IntN(len(h.holders))])
		}
	}
	for _, owner := range owners {
		add(owner)
	}
	for range sampledOthers {
		add(open[s.random.IntN(len(open))])
	}
	return slices.DeleteFunc(picked, func(t *target) bool { return !slices.Contains(open, t) })
}

// bestOf chooses among some engines.
func (s *State) bestOf(now time.Time, among []*target, r Request, chains map[uint64][]part, owners map[uint64]*target, known map[uint64]*holdings) option {
	named := s.wanted[r.Prompt.Model]
	best := option{cost: math.Inf(1)}
	for _, t := range among {
		version := t.Versions[r.Prompt.Model]
		o := s.weigh(now, t, r, version, s.chainOf(chains, r, version), known[version])
		if since, old := named.replaced(version); old && now.Sub(since) > oldGrace {
			o.cost += oldCost
		}
		if owner, ok := owners[version]; ok && owner != t && o.verdict.Cached+o.verdict.Fetched == 0 {
			o.cost += strayCost
		}
		if o.crowded {
			o.cost += crowdCost
		}
		if s.better(o.cost, best.cost) {
			best = o
		}
	}
	return best
}

func (s *State) chainOf(chains map[uint64][]part, r Request, version uint64) []part {
	parts, ok := chains[version]
	if !ok {
		parts = chain(r.Prompt.Model, scopeOf(version, r.Scope), r.Prompt.Parts)
		chains[version] = parts
	}
	return parts
}

// owners computes, for each version, the engine that reads a part first.
func (s *State) owners(open []*target, r Request, chains map[uint64][]part) map[uint64]*target {
	shared := len(r.Prompt.Shared())
	if shared == 0 {
		return nil
	}
	owners := map[uint64]*target{}
	scores := map[uint64]float64{}
	for _, t := range open {
		version := t.Versions[r.Prompt.Model]
		key := s.chainOf(chains, r, version)[shared-1].key
		score := place.Score(key, t.rank)
		if owners[version] == nil || score > scores[version] {
			owners[version], scores[version] = t, score
		}
	}
	return owners
}

// weigh works out what a request would cost at one engine.
func (s *State) weigh(now time.Time, t *target, r Request, version uint64, parts []part, known *holdings) option {
	v := s.speed(r.Service)
	count, age := t.work(now)
	shared := parts[:len(r.Prompt.Shared())]
	cached, _ := t.cache.depth(parts)
	fetched, from, sameZone := 0, "", true
	sharedTokens := sum(shared)
	if cached < sharedTokens {
		fetched, from, sameZone = known.donor(t, cached)
	}
	miss := max(r.Prompt.Tokens-cached-fetched, 0)
	fetchTime := s.fetchTime(t, fetched, sameZone)
	wait := v.token * time.Duration(count.Prefill)
	expected := v.first + fetchTime + wait + v.token*time.Duration(miss)
	crowded := wait > allowedWait(r.Aim, v.first, v.token*time.Duration(miss))
	slots := max(t.Slots, 1)
	cost := s.common(now, t, r, expected) + waitCost*float64(count.Running)/float64(slots)
	if count.Running >= slots {
		crowded = true
	}
	if t.engines != nil {
		need := count.Memory + r.Prompt.Tokens + r.Prompt.MaxOutput
		if over := float64(need)/float64(max(t.engines.CacheTokens, 1)) - memoryShare; over > 0 {
			cost += lateCost
			crowded = crowded || count.Running > 0
		}
	}
	cost += float64(fetched) / 1000 * fetchCost
	if reread := known.most - cached - fetched; reread > 0 {
		cost += rereadCost * float64(reread) / 1000
	}
	if t.DataCentre != s.options.DataCentre {
		cost += zoneCost * float64(2*r.Prompt.Tokens+tokenText*r.Prompt.MaxOutput) / 10_000
	}
	return option{cost: cost, crowded: crowded, wait: wait, verdict: Go{
		Target: t.Target, Version: version, Scope: scopeOf(version, r.Scope), FetchFrom: from, SaveTo: s.saveTo(parts, shared, cached, fetched),
		Shared: sharedTokens, Cached: cached, Fetched: fetched, Expected: expected, Load: count, Age: age,
	}}
}

func (s *State) fetchTime(t *target, tokens int, sameZone bool) time.Duration {
	if tokens == 0 || t.engines == nil || t.engines.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(t.engines.TokenBytes) * 8
	took := time.Duration(bits / (t.engines.LinkMbps * 1e6) * float64(time.Second))
	if !sameZone {
		took *= 2
	}
	return took + fetchSetup
}

// saveTo names a store for shared parts that it lacks and that the engine reads
// now. The whole prompt goes there: one with a long part of its own would push
// out more than it brings.
func (s *State) saveTo(parts, shared []part, cached, fetched int) string {
	total := sum(shared)
	if len(s.stores) == 0 || cached+fetched >= total || sum(parts)-total > total*saveOwnShare {
		return ""
	}
	st := s.stores[0]
	if _, kept := st.cache.depth(shared); kept >= total {
		return ""
	}
	return st.Address
}

func sum(parts []part) int {
	total := 0
	for _, p := range parts {
		total += p.tokens
	}
	return total
}
