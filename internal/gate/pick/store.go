package pick

import "github.com/cicadamill/cicadamill/internal/gate/plan"

// store is what is believed of a store of parts.
type store struct {
	plan.Store
	cache *belief
}

// setStores keeps what is believed of stores that stay as they are.
func (s *State) setStores(stores []plan.Store) {
	old := s.stores
	s.stores = nil
	for _, next := range stores {
		kept := &store{Store: next, cache: newBelief(next.CacheTokens)}
		for _, o := range old {
			if o.Name == next.Name && o.Address == next.Address {
				kept.cache = o.cache
			}
		}
		s.stores = append(s.stores, kept)
	}
}
