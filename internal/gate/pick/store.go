package pick

import "github.com/cicadamill/cicadamill/internal/gate/plan"

// store is a store of prompt parts with its estimated contents.
type store struct {
	plan.Store
	cache *cacheIndex
}

// setStores replaces the stores and keeps the estimated contents of those whose
// name and address stay the same.
func (s *Picker) setStores(stores []plan.Store) {
	old := s.stores
	s.stores = nil
	for _, next := range stores {
		kept := &store{Store: next, cache: newCacheIndex(next.CacheTokens)}
		for _, o := range old {
			if o.Name == next.Name && o.Address == next.Address {
				kept.cache = o.cache
			}
		}
		s.stores = append(s.stores, kept)
	}
}
