package pick

import "time"

// partHolders lists the caches that hold the shared parts of one request for one
// version of the weights.
type partHolders struct {
	// maxTokens is the largest number of shared tokens that any engine is estimated
	// to hold.
	maxTokens int
	// engines are the engines that hold maxTokens.
	engines []*target
	// bestDonor is the cache with the most tokens that can be copied,
	// bestByDataCentre the same for each data centre.
	bestDonor        donor
	bestByDataCentre map[string]donor
}

type donor struct {
	tokens     int
	address    string
	dataCentre string
}

func (s *Picker) findHolders(now time.Time, r Request, version uint64, shared []part) *partHolders {
	h := &partHolders{bestByDataCentre: map[string]donor{}}
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
	if next.tokens > h.bestDonor.tokens {
		h.bestDonor = next
	}
	if next.tokens > h.bestByDataCentre[next.dataCentre].tokens {
		h.bestByDataCentre[next.dataCentre] = next
	}
}

// allowedWait returns how long the queue ahead of a request may be. A short prompt
// delays the others little, so it is admitted as long as it is in time itself; long
// prompts leave room for it.
func allowedWait(aim, firstToken, prefill time.Duration) time.Duration {
	allowed := time.Duration(maxQueueShare * float64(aim))
	if float64(prefill) < shortPromptShare*float64(aim) {
		allowed = max(allowed, time.Duration(shortPromptQueueShare*float64(aim-firstToken-prefill)))
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
