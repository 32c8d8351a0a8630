package auth

import (
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Cache holds the [Keys] of the last configuration used, so that they are built
// once per list of workspaces and not once per request. The zero value is ready
// to use.
//
//	workspace, ok := cache.Of(config).Workspace(request.Header)
type Cache struct {
	current atomic.Pointer[cacheEntry]
}

type cacheEntry struct {
	first *site.Workspace
	count int
	keys  Keys
}

// Keys returns the keys of a configuration. A configuration is immutable once
// parsed, so the address and length of its list of workspaces identify the keys.
func (c *Cache) Keys(config site.Config) Keys {
	if len(config.Workspaces) == 0 {
		return Keys{}
	}
	first, count := &config.Workspaces[0], len(config.Workspaces)
	current := c.current.Load()
	if current != nil && current.first == first && current.count == count {
		return current.keys
	}
	next := &cacheEntry{first: first, count: count, keys: New(config)}
	c.current.Store(next)
	return next.keys
}
