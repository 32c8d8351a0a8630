package pick

import "time"

// holdings is who holds the shared parts of one request under one version.
type holdings struct {
	// most is the largest number of their tokens that any engine is believed to
	// hold.
	most int
	// holders are the engines that hold so many.
	holders []*target
	// best is the holder of the most tokens that can be copied, near the same for
	// each data centre.
	best holder
	near map[string]holder
}

type holder struct {
	tokens  int
	address string
	centre  string
}

func (s *State) holdingsOf(now time.Time, r Request, version uint64, shared []part) *holdings {
	h := &holdings{near: map[string]holder{}}
	if len(shared) == 0 {
		return h
	}
	for _, t := range s.services[r.Service] {
		if t.Versions[r.Prompt.Model] != version || now.Before(t.suspect) {
			continue
		}
		all, sure := t.cache.depth(shared)
		if all > h.most {
			h.most, h.holders = all, h.holders[:0]
		}
		if all > 0 && all == h.most {
			h.holders = append(h.holders, t)
		}
		h.add(holder{tokens: sure, address: t.Address, centre: t.DataCentre})
	}
	for _, st := range s.stores {
		_, sure := st.cache.depth(shared)
		h.add(holder{tokens: sure, address: st.Address, centre: st.DataCentre})
	}
	return h
}

func (h *holdings) add(next holder) {
	if next.tokens > h.best.tokens {
		h.best = next
	}
	if next.tokens > h.near[next.centre].tokens {
		h.near[next.centre] = next
	}
}

// allowedWait is how long the work ahead of a request may take. What little a
// short prompt adds makes nobody late, so that it may come in as long as it is in
// time itself; long ones leave room for it.
func allowedWait(aim, first, own time.Duration) time.Duration {
	allowed := time.Duration(crowdShare * float64(aim))
	if float64(own) < shortShare*float64(aim) {
		allowed = max(allowed, time.Duration(shortWait*float64(aim-first-own)))
	}
	return allowed
}

// donor returns who holds more of the shared parts than an engine itself, the
// nearest of those that hold the most.
func (h *holdings) donor(t *target, cached int) (tokens int, address string, near bool) {
	best := h.best
	if n := h.near[t.DataCentre]; n.tokens == best.tokens {
		best = n
	}
	if best.tokens-cached < minFetch || best.address == t.Address {
		return 0, "", true
	}
	return best.tokens - cached, best.address, best.centre == t.DataCentre
}
