package pick

import (
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// store is a store of prompt parts with its estimated contents.
type store struct {
	plan.Store
	rank  place.Target
	cache *cacheIndex
}

// setStores replaces the stores and keeps the estimated contents of those whose
// name and address stay the same.
func (s *Picker) setStores(stores []plan.Store) {
	old := s.stores
	s.stores = nil
	for _, next := range stores {
		kept := &store{
			Store: next, cache: newCacheIndex(next.CacheTokens),
			rank: place.Target{Name: next.Name, Hash: place.Hash(next.Name), Weight: float64(max(next.CacheTokens, 1))},
		}
		for _, o := range old {
			if o.Name == next.Name && o.Address == next.Address {
				kept.cache = o.cache
			}
		}
		s.stores = append(s.stores, kept)
	}
}

// home returns the store that keeps the parts that end with the given one. Rendezvous
// hashing spreads the parts over the stores: each keeps parts that the others lack.
func (s *Picker) home(last part) *store {
	var home *store
	highest := 0.0
	for _, st := range s.stores {
		if score := place.Score(last.key, st.rank); home == nil || score > highest {
			home, highest = st, score
		}
	}
	return home
}

// unknownDonor returns the address of the store that keeps a prompt's shared parts, if
// nothing is known of its contents, as after a start of all hosts; empty otherwise. To
// ask a store in vain costs a millisecond.
func (s *Picker) unknownDonor(shared []part) string {
	if len(shared) == 0 {
		return ""
	}
	if home := s.home(shared[len(shared)-1]); home != nil && home.cache.parts.Len() == 0 {
		return home.Address
	}
	return ""
}

// saveTo returns the address of the store for the shared parts that an engine is
// about to compute; empty if a store has them. The whole prompt is saved, so a prompt
// with a long private part would evict more than it adds.
func (s *Picker) saveTo(parts, shared []part, cached, fetched int) string {
	total := sum(shared)
	if len(s.stores) == 0 || cached+fetched >= total || sum(parts)-total > total*maxPrivateRatio {
		return ""
	}
	for _, st := range s.stores {
		if _, kept := st.cache.prefixTokens(shared); kept >= total {
			return ""
		}
	}
	return s.home(shared[len(shared)-1]).Address
}
