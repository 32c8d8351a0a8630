package pick

import (
	"math/rand/v2"
	"time"
)

// partHolders lists the caches that hold the shared parts of one request for one
// version of the weights.
type partHolders struct {
	// maxTokens is the largest number of shared tokens that any engine is estimated
	// to hold.
	maxTokens int
	// engines are the engines that hold maxTokens.
	engines []*target
	// bestDonor is the cache with the most tokens that can be copied,
	// bestByDataCentre the best one in each data centre.
	bestDonor        donor
	bestByDataCentre map[string]donor
	random           *rand.Rand
}

type donor struct {
	tokens int
	// equals is the number of caches considered that hold as many tokens.
	equals     int
	address    string
	dataCentre string
}

func (s *Picker) findHolders(now time.Time, r Request, version uint64, shared []part) *partHolders {
	h := &partHolders{bestByDataCentre: map[string]donor{}, random: s.random}
	if len(shared) == 0 {
		return h
	}
	for _, t := range s.services[r.Service] {
		if t.Versions[r.Prompt.Model] != version || now.Before(t.suspectUntil) {
			continue
		}
		cached, confirmed := t.cache.prefixTokens(shared)
		if cached > h.maxTokens {
			h.maxTokens, h.engines = cached, h.engines[:0]
		}
		if cached > 0 && cached == h.maxTokens {
			h.engines = append(h.engines, t)
		}
		h.add(donor{tokens: confirmed, address: t.Address, dataCentre: t.DataCentre})
	}
	for _, st := range s.stores {
		_, confirmed := st.cache.prefixTokens(shared)
		h.add(donor{tokens: confirmed, address: st.Address, dataCentre: st.DataCentre})
	}
	return h
}

func (h *partHolders) add(next donor) {
	if next.tokens == 0 {
		return
	}
	h.bestDonor = h.better(next, h.bestDonor)
	h.bestByDataCentre[next.dataCentre] = h.better(next, h.bestByDataCentre[next.dataCentre])
}

// better returns the donor with more tokens, and of equal ones each with the same
// probability: the link of a single donor would be busy while all others are idle.
func (h *partHolders) better(next, best donor) donor {
	switch {
	case next.tokens > best.tokens:
		next.equals = 1
		return next
	case next.tokens < best.tokens:
		return best
	}
	equals := best.equals + 1
	if h.random.IntN(equals) == 0 {
		best = next
	}
	best.equals = equals
	return best
}

// allowedWait returns the longest time that a request may queue at an engine. A
// short prompt delays others little, so it may use most of its own objective. A
// long prompt may use only maxQueueShare of it, to leave room for short ones.
func allowedWait(objective, firstToken, prefill time.Duration) time.Duration {
	allowed := time.Duration(maxQueueShare * float64(objective))
	if float64(prefill) < shortPromptShare*float64(objective) {
		allowed = max(allowed, time.Duration(shortPromptQueueShare*float64(objective-firstToken-prefill)))
	}
	return allowed
}

// donorFor returns the cache from which an engine copies shared parts: of those
// with the most tokens, one in its own data centre if there is one.
func (h *partHolders) donorFor(t *target, cached int) (tokens int, address string, sameZone bool) {
	best := h.bestDonor
	if n := h.bestByDataCentre[t.DataCentre]; n.tokens == best.tokens {
		best = n
	}
	if best.tokens-cached < minFetchTokens || best.address == t.Address {
		return 0, "", true
	}
	return best.tokens - cached, best.address, best.dataCentre == t.DataCentre
}

// otherHolder returns the address of another cache that holds shared parts; empty if none
// is known. An engine copies from there only what it lacks itself, so it serves for parts
// that the engine has evicted since it was last known to hold them.
func (h *partHolders) otherHolder(t *target) string {
	for _, d := range []donor{h.bestByDataCentre[t.DataCentre], h.bestDonor} {
		if d.tokens > 0 && d.address != t.Address {
			return d.address
		}
	}
	return ""
}
