package pick

import (
	"math"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// Costs of a choice, relative to the value of one request.
const (
	// lateCost is the cost of a late answer, which is still worth about a third of
	// one in time.
	lateCost = 0.7
	// staleWeightsCost is the cost of an answer computed with replaced weights.
	staleWeightsCost = 0.2
	// failCost is the cost of a failed answer.
	failCost = 1.0
	// recomputeCost is the cost of recomputing 1,000 shared prompt tokens that some
	// engine has cached. Recomputing a long part costs as much as the request is
	// worth.
	recomputeCost = 0.25
	// fetchCost is the cost of copying 1,000 tokens between engines.
	fetchCost = 0.015
	// loadCost balances load among targets that all answer in time: it is the cost
	// of an answer that takes the whole objective.
	loadCost = 0.1
	// overloadCost ranks overloaded targets after all others.
	overloadCost = 10.0
	// nonOwnerCost is the cost of computing a new part on another engine than its
	// owner. It keeps nodes that haven't received each other's reports yet from
	// computing the same part on several engines.
	nonOwnerCost = 0.08
)

const (
	// staleWeightsGrace is the time after the announcement of a new version in which
	// answers with the previous one cost nothing extra.
	staleWeightsGrace = 1200 * time.Millisecond
	// maxQueueShare is the share of the objective that queued work may take; the
	// rest is for the request's own prompt. A longer queue makes all following
	// requests late, including the short and urgent ones.
	maxQueueShare = 0.5
	// shortPromptShare is the share of the objective below which a prompt counts as
	// short.
	shortPromptShare = 0.05
	// shortPromptQueueShare is the share of the time left after a short prompt's
	// own prefill that queued work may take. The rest is a margin for estimation
	// errors.
	shortPromptQueueShare = 0.85
	// maxMemoryShare is the share of an engine's memory that running requests may
	// fill before the engine has to preempt some.
	maxMemoryShare = 0.9
	// fetchOverhead is the fixed time of a copy, without the transfer itself.
	fetchOverhead = 4 * time.Millisecond
	// minFetchTokens is the least number of tokens for which a copy saves time.
	minFetchTokens = 64
	// maxPrivateRatio is the largest ratio of private to shared tokens at which a
	// prompt is saved to a store.
	maxPrivateRatio = 1
	// plainQueuePerSlot is the number of requests that may queue per slot of a
	// plain target. Beyond that it gets no further requests.
	plainQueuePerSlot = 2
	// sampleThreshold is the number of engines above which a request considers only
	// a sample of them: sampledHolders of those that hold the most of its parts,
	// for each version, and sampledRandom at random. TestManyHostsDoNotHerd
	// simulates it with 140 engines.
	sampleThreshold = 24
	sampledHolders  = 3
	sampledRandom   = 6
	// minRetryAfter is the minimum Retry-After for a refused request.
	minRetryAfter = 200 * time.Millisecond
	// outputTokenBytes is the size of one output token on the wire.
	outputTokenBytes = 30
)

// candidate is a target with the cost of choosing it.
type candidate struct {
	dispatch Dispatch
	cost     float64
	// overloaded is true when the target can't take the request without making it
	// or later ones late.
	overloaded bool
	// queueTime is the estimated time to process the work queued at the target.
	queueTime time.Duration
}

// Choose selects a target for a request. It doesn't change the state; [Picker.Start]
// does.
func (s *Picker) Choose(now time.Time, r Request) Decision {
	s.drawDataCentre(now, r)
	targets := s.services[r.Service]
	if len(targets) == 0 {
		return Refuse{Reason: "the service has no target", RetryAfter: time.Second}
	}
	var eligible []*target
	retryable := false
	var deferred deferral
	for _, t := range targets {
		switch s.admit(now, t, r) {
		case admitted:
			switch p := s.options.Needs.Check(now, t.instance()).(type) {
			case needs.Allowed:
				eligible = append(eligible, t)
			case needs.Deferred:
				deferred.add(p)
			case needs.Denied:
			}
		case retryLater:
			retryable = true
		}
	}
	switch {
	case len(eligible) > 0:
	case retryable:
		return Wait{Reason: "every target is full or loads weights"}
	default:
		return deferred.decide(now, r)
	}
	eligible = s.withoutSilent(now, eligible, r)
	var best candidate
	s.assumeLoad(now, r.Service)
	if s.isModel(r) {
		best = s.bestEngine(now, eligible, r)
	} else {
		best = s.bestPlain(now, eligible, r)
	}
	if best.overloaded {
		return Wait{Reason: "the work ahead would take too long", After: best.queueTime}
	}
	if best.dispatch.Expected > r.ClientTimeLeft {
		return Refuse{Reason: "the answer would come too late", RetryAfter: max(best.dispatch.Expected/2, minRetryAfter)}
	}
	return best.dispatch
}

func (s *Picker) isModel(r Request) bool { return r.Prompt.Model != "" }

type admission int

const (
	rejected admission = iota
	retryLater
	admitted
)

// admit reports whether a target can take a request now.
func (s *Picker) admit(now time.Time, t *target, r Request) admission {
	if t.Leaving || slices.Contains(r.Excluded, t.ID) {
		return rejected
	}
	if s.isModel(r) {
		version, ok := t.Versions[r.Prompt.Model]
		if !ok && len(t.Versions) > 0 {
			return rejected
		}
		if version < s.models[r.Prompt.Model].minVersion {
			return retryLater
		}
	}
	if t.draining || now.Before(t.fullUntil) || now.Before(t.suspectUntil) && !r.Idempotent {
		return retryLater
	}
	if !s.isModel(r) {
		load, _ := t.load(now)
		if load.Running >= t.Slots*(1+plainQueuePerSlot) {
			return retryLater
		}
	}
	return admitted
}

// bestPlain returns the cheapest target of a plain service.
func (s *Picker) bestPlain(now time.Time, eligible []*target, r Request) candidate {
	best := candidate{cost: math.Inf(1)}
	for _, t := range eligible {
		load, age := t.load(now)
		slots := max(t.Slots, 1)
		estimate := s.timing.Estimate(now, r.Service, t.timed())
		ahead := plainWorkAhead(estimate, load.Running+1-slots, slots)
		expected := estimate.Expected(ahead, 0)
		awayCost, away := s.plainAwayCost(t)
		cost := s.baseCost(now, t, r, expected) + loadCost*float64(load.Running)/float64(slots) + awayCost
		if s.better(cost, best.cost) {
			best = candidate{cost: cost, dispatch: Dispatch{away: away, Target: t.Target, Expected: expected, Ahead: ahead, Load: load, Age: age, Slowness: estimate.Speed}}
		}
	}
	return best
}

// better reports whether a cost is lower. It breaks ties at random so that nodes
// with the same estimates don't all choose the same target.
func (s *Picker) better(cost, best float64) bool {
	return cost < best || cost == best && s.random.IntN(2) == 0
}

// baseCost returns the part of the cost that plain targets and engines have in
// common.
func (s *Picker) baseCost(now time.Time, t *target, r Request, expected time.Duration) float64 {
	cost := failCost * t.failureRate
	if now.Before(t.suspectUntil) {
		cost += failCost
	}
	if now.Before(t.ColdUntil) {
		cost += loadCost
	}
	objective := max(r.ObjectiveLeft, time.Millisecond)
	share := float64(expected) / float64(objective)
	cost += loadCost * min(share, 4)
	// Estimates are imprecise: the risk of a late answer rises from two thirds of
	// the objective on.
	if risk := (share - 0.66) / 0.34; risk > 0 {
		cost += lateCost * min(risk, 1)
	}
	return cost
}

// bestEngine returns the cheapest model engine.
func (s *Picker) bestEngine(now time.Time, eligible []*target, r Request) candidate {
	partsByVersion := map[uint64][]part{}
	owners := s.owners(now, eligible, r, partsByVersion)
	holders := map[uint64]*partHolders{}
	for _, t := range eligible {
		version := t.Versions[r.Prompt.Model]
		if holders[version] == nil {
			holders[version] = s.findHolders(now, r, version, s.partsFor(partsByVersion, r, version)[:len(r.Prompt.Shared())])
		}
	}
	best := candidate{cost: math.Inf(1), overloaded: true}
	if len(eligible) > sampleThreshold {
		best = s.cheapest(now, s.sample(eligible, owners, holders), r, partsByVersion, owners, holders)
	}
	if best.overloaded {
		best = s.cheapest(now, eligible, r, partsByVersion, owners, holders)
	}
	return best
}

// sample returns a subset of many engines: some of those that hold the most parts,
// the owners of a new part, and some at random. It keeps nodes that work from the
// same stale reports from all choosing the same engine.
func (s *Picker) sample(eligible []*target, owners map[uint64]*target, holders map[uint64]*partHolders) []*target {
	picked := make([]*target, 0, sampledHolders+sampledRandom+len(owners))
	add := func(t *target) {
		if !slices.Contains(picked, t) {
			picked = append(picked, t)
		}
	}
	for _, h := range holders {
		engines := s.nearby(h.engines)
		for range min(sampledHolders, len(engines)) {
			add(engines[s.random.IntN(len(engines))])
		}
	}
	for _, owner := range owners {
		add(owner)
	}
	near := s.nearby(eligible)
	for range sampledRandom {
		add(near[s.random.IntN(len(near))])
	}
	return slices.DeleteFunc(picked, func(t *target) bool { return !slices.Contains(eligible, t) })
}

// cheapest returns the cheapest of the given engines.
func (s *Picker) cheapest(now time.Time, targets []*target, r Request, partsByVersion map[uint64][]part, owners map[uint64]*target, holders map[uint64]*partHolders) candidate {
	versions := s.models[r.Prompt.Model]
	best := candidate{cost: math.Inf(1)}
	var holder Holder
	holderCost := math.Inf(1)
	for _, t := range targets {
		version := t.Versions[r.Prompt.Model]
		o := s.evaluate(now, t, r, version, s.partsFor(partsByVersion, r, version), holders[version])
		if since, replaced := versions.replacedAt(version); replaced {
			o.dispatch.ReplacedFor = now.Sub(since)
			if s.maxReplacedAge > 0 {
				o.dispatch.BeginBy = s.beginBy(since)
				o.overloaded = o.overloaded || now.Add(o.dispatch.Expected).After(o.dispatch.BeginBy)
			}
		}
		if o.dispatch.ReplacedFor > staleWeightsGrace {
			o.cost += staleWeightsCost
		}
		if owner, ok := owners[version]; ok && owner != t && o.dispatch.Cached+o.dispatch.Fetched == 0 {
			o.cost += nonOwnerCost
		}
		if o.overloaded {
			o.cost += overloadCost
		}
		if s.better(o.cost, best.cost) {
			best = o
		}
		if held := holders[version].maxTokens; held > 0 && o.dispatch.Cached >= held && o.cost < holderCost {
			holder, holderCost = Holder{Target: t.ID, Tokens: held, Expected: o.dispatch.Expected, Overloaded: o.overloaded}, o.cost
		}
	}
	best.dispatch.Holder = holder
	return best
}

func (s *Picker) partsFor(partsByVersion map[uint64][]part, r Request, version uint64) []part {
	parts, ok := partsByVersion[version]
	if !ok {
		parts = partKeys(r.Prompt.Model, s.scopeOf(version, r.Workspace), r.Prompt.Parts)
		partsByVersion[version] = parts
	}
	return parts
}

// owners returns, for each version, the engine that computes a new part first,
// chosen by rendezvous hashing.
func (s *Picker) owners(now time.Time, eligible []*target, r Request, partsByVersion map[uint64][]part) map[uint64]*target {
	shared := len(r.Prompt.Shared())
	if shared == 0 {
		return nil
	}
	owners := map[uint64]*target{}
	scores := map[uint64]float64{}
	for _, t := range eligible {
		version := t.Versions[r.Prompt.Model]
		key := s.partsFor(partsByVersion, r, version)[shared-1].key
		score := place.Score(key, s.ownerRank(now, t, r))
		if owners[version] == nil || score > scores[version] {
			owners[version], scores[version] = t, score
		}
	}
	return owners
}

// evaluate returns the cost of running a request at one engine.
func (s *Picker) evaluate(now time.Time, t *target, r Request, version uint64, parts []part, holders *partHolders) candidate {
	estimate := s.timing.Estimate(now, r.Service, t.timed())
	load, age := s.loadWithUnreported(now, t)
	shared := parts[:len(r.Prompt.Shared())]
	cached, _ := t.cache.prefixTokens(parts)
	fetched, from, sameZone := 0, "", true
	sharedTokens := sum(shared)
	if cached < sharedTokens {
		if fetched, from, sameZone = holders.donorFor(t, cached); from == "" {
			from = s.unknownDonor(shared)
		}
	}
	if from == "" && sharedTokens >= minFetchTokens {
		from = holders.otherHolder(t)
	}
	miss := max(r.Prompt.Tokens-cached-fetched, 0)
	fetchTime := s.fetchTime(t, fetched, sameZone)
	ahead := s.workAhead(now, t)
	queueTime := estimate.Wait(ahead)
	expected := fetchTime + estimate.Expected(ahead, miss)
	overloaded := queueTime > allowedWait(r.Objective, estimate.Base, estimate.Prefill(miss))
	slots := max(t.Slots, 1)
	cost := s.baseCost(now, t, r, expected) + loadCost*float64(load.Running)/float64(slots)
	if load.Running >= slots {
		overloaded = true
	}
	if t.engines != nil {
		need := load.Memory + r.Prompt.Tokens + r.Prompt.MaxOutput
		if over := float64(need)/float64(max(t.engines.CacheTokens, 1)) - maxMemoryShare; over > 0 {
			cost += lateCost
			overloaded = overloaded || load.Running > 0
		}
	}
	cost += pauseCost(t, load, r, estimate, ahead, miss)
	cost += float64(fetched) / 1000 * fetchCost
	if recomputed := holders.maxTokens - cached - fetched; recomputed > 0 {
		cost += recomputeCost * float64(recomputed) / 1000
	}
	awayCost, away := s.awayCost(t, r, cached, holders)
	cost += awayCost
	return candidate{cost: cost, overloaded: overloaded, queueTime: queueTime, dispatch: Dispatch{
		away: away, Target: t.Target, Version: version, Scope: s.scopeOf(version, r.Workspace), FetchFrom: from, SaveTo: s.saveTo(parts, shared, cached, fetched),
		Shared: sharedTokens, Cached: cached, Fetched: fetched, Expected: expected, Ahead: ahead, CopyTime: fetchTime, PrefillTime: estimate.Prefill(miss), Base: estimate.Base, Load: load, Age: age, Slowness: estimate.Speed,
	}}
}

func (s *Picker) fetchTime(t *target, tokens int, sameZone bool) time.Duration {
	if tokens == 0 || t.engines == nil || t.engines.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(t.engines.TokenBytes) * 8
	duration := time.Duration(bits / (t.engines.LinkMbps * 1e6) * float64(time.Second))
	if !sameZone {
		duration *= 2
	}
	return duration + fetchOverhead
}

func sum(parts []part) int {
	total := 0
	for _, p := range parts {
		total += p.tokens
	}
	return total
}
